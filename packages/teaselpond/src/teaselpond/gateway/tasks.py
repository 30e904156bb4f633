"""Keep the long-running parts of a process running."""

import asyncio
from collections.abc import Awaitable, Callable

from .journal import Journal

# A part that failed is started again after this time, in seconds.
RESTART_SECONDS = 0.5


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    journal: Journal,
    clock: Callable[[], float],
) -> None:
    """Run a part until cancelled, and start it again when it fails."""
    while True:
        try:
            await run()
        except Exception as error:
            # One failing part must not end a process that serves callers.
            journal.write("part-failed", clock(), part=name, error=repr(error))
        await asyncio.sleep(RESTART_SECONDS)
