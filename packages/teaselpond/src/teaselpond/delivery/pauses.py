"""Keep a daemon that stood still from sending before it has caught up."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

CHECK_INTERVAL_SECONDS = 0.25
# A loop that was not run for this long may have missed what peers told.
MIN_PAUSE_SECONDS = 1.0
# Links that broke in the pause are open again within this time; without a
# peer there is nobody to catch up with.
CATCH_UP_TIMEOUT_SECONDS = 2.0
CATCH_UP_RETRY_SECONDS = 0.05


@define(eq=False)
class PauseGuard:
    """Notice pauses of this process, and hold work until peers were heard.

    ``catch_up`` takes in what one peer knows, and tells whether one answered.
    """

    catch_up: Callable[[], Awaitable[bool]]
    clock: Callable[[], float] = time.monotonic
    _checked_at: float = field(init=False)
    _catching_up: asyncio.Task | None = None

    def __attrs_post_init__(self) -> None:
        self._checked_at = self.clock()

    async def run(self) -> None:
        """Watch the clock until cancelled."""
        while True:
            self._detect_pause()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def wait(self) -> None:
        """Return when no pause is left to catch up with."""
        # Work may be run before the watch is, on waking.
        self._detect_pause()
        if self._catching_up is not None:
            await asyncio.shield(self._catching_up)

    def _detect_pause(self) -> None:
        now = self.clock()
        was_paused = now - self._checked_at > MIN_PAUSE_SECONDS
        self._checked_at = now
        if was_paused and self._catching_up is None:
            self._catching_up = asyncio.create_task(self._try_to_catch_up())

    async def _try_to_catch_up(self) -> None:
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS):
                while True:
                    if await self.catch_up():
                        return
                    await asyncio.sleep(CATCH_UP_RETRY_SECONDS)
        except TimeoutError:
            return
        finally:
            self._catching_up = None
