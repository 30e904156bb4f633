"""Wait for conditions that another task or process fulfils."""

import asyncio
from collections.abc import Callable
from typing import Any

POLL_SECONDS = 0.01


async def wait_until(condition: Callable[[], Any], seconds: float = 10.0) -> None:
    """Wait until a condition is true.

    Raise TimeoutError after ``seconds``.
    """
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(POLL_SECONDS)
