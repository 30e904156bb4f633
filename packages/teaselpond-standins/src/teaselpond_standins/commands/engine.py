"""Serve an engine's stand-in."""

import asyncio
from typing import Any

import attrs
from fire.core import FireError

from teaselpond_model.contracts import HostKind

from ..engine import EngineSettings, EngineStandin
from ..serving import Registration, serve


class EngineCommand:
    """Serve an engine's stand-in until SIGTERM."""

    name = "engine"

    def __call__(
        self,
        port: int = 0,
        platform: str = "",
        host_id: str = "engine-1",
        zone: str = "zone-1",
        **settings: Any,
    ) -> None:
        """Serve an engine; other flags set the fields of EngineSettings."""
        standin = EngineStandin(make_settings(settings), port)
        registration = Registration(platform, str(host_id), str(zone), HostKind.ENGINE)
        asyncio.run(serve(standin, registration))


def make_settings(flags: dict[str, Any]) -> EngineSettings:
    """Return settings from flags; raise FireError for an unknown flag."""
    defaults = attrs.asdict(EngineSettings())
    unknown = sorted(set(flags) - set(defaults))
    if unknown:
        raise FireError(
            f"unknown engine flags {unknown}; expected some of {sorted(defaults)}"
        )
    # Fire parses a model version such as 1 as a number.
    typed = {name: type(defaults[name])(value) for name, value in flags.items()}
    return EngineSettings(**typed)
