"""Delay a daemon's requests after a pause of its process.

A process that was stopped or starved has missed updates from its peers. It
must receive them before it sends requests to engines.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

CHECK_INTERVAL_SECONDS = 0.25
# After a gap this long in the event loop, updates from peers may be missing.
MIN_PAUSE_SECONDS = 1.0
# Links that broke during the pause reconnect within this time. If no peer
# answers by then, work goes on without an update.
CATCH_UP_TIMEOUT_SECONDS = 2.0
CATCH_UP_RETRY_SECONDS = 0.05


@define(eq=False)
class PauseGuard:
    """Detect pauses of this process and delay work until it has caught up.

    ``catch_up`` fetches the current state from one peer and returns
    whether a peer answered.
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
        """Wait until this process has caught up after its last pause."""
        # After a pause, a request may run before the task of run() does.
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
