"""Wait for what another task or process brings about."""

import asyncio
from collections.abc import Callable
from typing import Any

POLL_SECONDS = 0.01


async def wait_until(holds: Callable[[], Any], seconds: float = 10.0) -> None:
    """Wait until a condition holds; raise TimeoutError."""
    async with asyncio.timeout(seconds):
        while True:
            if holds():
                return
            await asyncio.sleep(POLL_SECONDS)
