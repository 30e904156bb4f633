"""Define the program that Fire exposes as teaselpondctl."""

from typing import Any

import attrs
from fire import decorators

from .commands import (
    ConfigCommand,
    CountersCommand,
    ExplainPlacementCommand,
    HostCommand,
    LocateCommand,
    QuarantineCommand,
    RolloutCommand,
    StatusCommand,
    TraceCommand,
    WhyCommand,
    ZoneCommand,
)
from .output import Output
from .settings import Settings, settings_from_process


@decorators.SetParseFn(str, "platform", "daemons", "operator_key", "who")
class Program:
    """Operate a teaselpond fleet.

    Every setting is a flag, or a TEASELPOND_ environment variable.
    """

    def __init__(
        self,
        *,
        platform: str | None = None,
        daemons: Any = None,
        operator_key: str | None = None,
        who: str | None = None,
        timeout_seconds: float | None = None,
        json: bool | None = None,
    ) -> None:
        settings = settings_from_process(
            {
                "platform": platform,
                "daemons": daemons,
                "operator_key": operator_key,
                "who": who,
                "timeout_seconds": timeout_seconds,
                "json": json,
            }
        )
        output = Output(settings.json)
        self.config = ConfigCommand(settings, output)
        self.zone = ZoneCommand(settings, output)
        self.host = HostCommand(settings, output)
        self.status = StatusCommand(settings, output).__call__
        self.locate = LocateCommand(settings, output).__call__
        self.counters = CountersCommand(settings, output).__call__
        self.why = WhyCommand(settings, output).__call__
        self.trace = TraceCommand(settings, output).__call__
        self.explain_placement = ExplainPlacementCommand(settings, output).__call__
        self.rollout = RolloutCommand(settings, output)
        self.quarantine = QuarantineCommand(settings, output)


def _add_flag_help() -> None:
    # Fire takes the help texts of the flags from the docstring.
    lines = [
        f"    {setting.name}: {setting.metadata['description']}"
        for setting in attrs.fields(Settings)
    ]
    Program.__doc__ = "\n".join([Program.__doc__, "Args:", *lines])


_add_flag_help()
