"""Start the daemon from the command line."""

import asyncio
import inspect
import sys

import attrs
import fire

from .checks import run_checks
from .daemon import Daemon
from .logs import set_up_logs
from .settings import Settings, settings_from_process


def serve(**flags) -> None:
    """Run a teaselpond daemon until it receives SIGTERM or SIGINT."""
    try:
        settings = settings_from_process(flags)
        run_checks(settings)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        sys.exit(2)
    set_up_logs(settings.daemon_id, settings.log_level)
    asyncio.run(Daemon(settings).run())


def _describe_flags() -> None:
    # Fire reads the flags and their help from the signature and docstring.
    fields = attrs.fields(Settings)
    serve.__signature__ = inspect.Signature(
        [
            inspect.Parameter(field.name, inspect.Parameter.KEYWORD_ONLY, default=None)
            for field in fields
        ]
    )
    lines = [f"    {f.name}: {f.metadata['description']}" for f in fields]
    serve.__doc__ = "\n".join([serve.__doc__, "", "Args:", *lines])


def main() -> None:
    """Run the command line."""
    _describe_flags()
    fire.Fire(serve, name="teaselpond")


if __name__ == "__main__":
    main()
