"""Restart the background tasks of a process when they fail."""

import asyncio
from collections.abc import Awaitable, Callable

from .journal import Journal

RESTART_DELAY_SECONDS = 0.5


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    journal: Journal,
    clock: Callable[[], float],
) -> None:
    """Run a task until cancelled; restart it when it fails or returns."""
    while True:
        try:
            await run()
        except Exception as error:
            # One failing task must not end a process that serves callers.
            journal.write("part-failed", clock(), part=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_SECONDS)
