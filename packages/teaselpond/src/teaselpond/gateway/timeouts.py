"""Limit waits by the time in which the process ran."""

import asyncio
from types import TracebackType

from attrs import define, field

# A timeout that expires so late was delayed by a pause of this process. What
# has arrived meanwhile is read in this time.
PAUSE_SECONDS = 0.05


@define(eq=False)
class PauseAwareTimeout:
    """Cancel the block like ``asyncio.timeout``, but not right after a pause.

    ``seconds`` is None for no limit. Times are those of the event loop.
    """

    seconds: float | None
    _timeout: asyncio.Timeout = field(init=False)
    _handle: asyncio.TimerHandle | None = None
    _when: float | None = None

    async def __aenter__(self) -> "PauseAwareTimeout":
        self._timeout = asyncio.timeout(None)
        await self._timeout.__aenter__()
        if self.seconds is not None:
            self.reschedule(asyncio.get_running_loop().time() + self.seconds)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self.reschedule(None)
        return await self._timeout.__aexit__(exc_type, exc, traceback)

    def when(self) -> float | None:
        """Return when the block is cancelled, None if it is not."""
        return self._when

    def reschedule(self, when: float | None) -> None:
        """Change when the block is cancelled."""
        if self._handle is not None:
            self._handle.cancel()
        self._when, self._handle = when, None
        if when is not None:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_at(when, self._expire, when)

    def expired(self) -> bool:
        """Return whether the block was cancelled by the timeout."""
        return self._timeout.expired()

    def _expire(self, when: float) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - when >= PAUSE_SECONDS:
            self._handle = loop.call_later(PAUSE_SECONDS, self._cancel)
        else:
            self._cancel()

    def _cancel(self) -> None:
        self._timeout.reschedule(asyncio.get_running_loop().time())
