"""Run teaselpondctl and map its errors to exit codes."""

import asyncio
import sys
from collections.abc import Sequence

import fire

from teaselpond_model.configuration import ConfigurationConflict
from teaselpond_model.exceptions import StoreUnavailable, TeaselpondError

from .exceptions import CommandUsage
from .program import Program

EXIT_REFUSED = 1
EXIT_USAGE = 2
STORE_HINT = (
    "zones and hosts can be taken out without the platform: "
    "use --by_links and --daemons=ip:port,..."
)


def run(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    command = None if arguments is None else list(arguments)
    try:
        _fire(command)
    except CommandUsage as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except ConfigurationConflict as error:
        print(f"{error}\n{error.diff}", file=sys.stderr)
        return EXIT_REFUSED
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        return EXIT_REFUSED
    except StoreUnavailable as error:
        print(f"{error}\n{STORE_HINT}", file=sys.stderr)
        return EXIT_REFUSED
    except TeaselpondError as error:
        print(error, file=sys.stderr)
        return EXIT_REFUSED
    return 0


def _fire(command: list[str] | None) -> None:
    # Fire runs coroutine commands in the current event loop.
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        fire.Fire(Program, command=command, name="teaselpondctl")
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def main() -> None:
    """Run the program and exit with its code.

    Fire exits with 2 by itself on a usage error.
    """
    sys.exit(run())


if __name__ == "__main__":
    main()
