"""Limit waits by the time in which the process ran, and end them at a stop."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from types import TracebackType

from attrs import define, field

# A timer that is so late was delayed by a pause of this process. What has
# arrived meanwhile is read in this time.
PAUSE_SECONDS = 0.05


@define(eq=False)
class PauseAwareTimer:
    """Call back after some time, but not right after the process paused.

    The process must have run for ``PAUSE_SECONDS`` before: a pause may also
    end just in time, so that the call itself is not late.
    """

    callback: Callable[[], None]
    _handle: asyncio.TimerHandle | None = None
    _when: float | None = None

    def when(self) -> float | None:
        """Return when the timer calls back on the event loop's clock."""
        return self._when

    def start(self, seconds: float | None) -> None:
        """Call back after some seconds instead, or not at all if None."""
        if seconds is not None:
            seconds += asyncio.get_running_loop().time()
        self.reschedule(seconds)

    def reschedule(self, when: float | None) -> None:
        """Call back at another time instead, or not at all if None."""
        if self._handle is not None:
            self._handle.cancel()
        self._when, self._handle = when, None
        if when is not None:
            loop = asyncio.get_running_loop()
            lead_seconds = min(PAUSE_SECONDS, max(0.0, when - loop.time()))
            self._handle = loop.call_at(
                when - lead_seconds, self._begin_expiry, when, lead_seconds
            )

    def _begin_expiry(self, when: float, lead_seconds: float) -> None:
        loop = asyncio.get_running_loop()
        late_seconds = loop.time() - (when - lead_seconds)
        if late_seconds >= PAUSE_SECONDS:
            lead_seconds = PAUSE_SECONDS
        end = max(when, loop.time() + lead_seconds)
        self._handle = loop.call_at(end, self._expire, end)

    def _expire(self, when: float) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - when >= PAUSE_SECONDS:
            self._handle = loop.call_later(PAUSE_SECONDS, self.callback)
        else:
            self.callback()


@define(eq=False)
class PauseProbe:
    """Tell whether the process paused in a short time; stop it afterwards."""

    seconds: float
    _due_at: float = field(init=False)
    _late_seconds: float = field(default=0.0, init=False)
    _handle: asyncio.TimerHandle = field(init=False)

    def __attrs_post_init__(self) -> None:
        loop = asyncio.get_running_loop()
        # What began before is done in the second half.
        self._due_at = loop.time() + self.seconds / 2
        self._handle = loop.call_at(self._due_at, self._record)

    def has_paused(self, now: float) -> bool:
        """Return whether it did; ``now`` is the time of the event loop."""
        is_over = now >= self._due_at + self.seconds / 2 + PAUSE_SECONDS
        return is_over or self._late_seconds >= PAUSE_SECONDS

    def stop(self) -> None:
        """Cancel the timer."""
        self._handle.cancel()

    def _record(self) -> None:
        self._late_seconds = asyncio.get_running_loop().time() - self._due_at


@define(eq=False)
class PauseAwareTimeout:
    """Cancel the block like ``asyncio.timeout``, but not right after a pause.

    ``seconds`` is None for no limit. Times are those of the event loop.
    """

    seconds: float | None
    _timeout: asyncio.Timeout = field(init=False)
    _timer: PauseAwareTimer = field(init=False)

    async def __aenter__(self) -> "PauseAwareTimeout":
        self._timeout = asyncio.timeout(None)
        await self._timeout.__aenter__()
        self._timer = PauseAwareTimer(self._cancel)
        self._timer.start(self.seconds)
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
        return self._timer.when()

    def reschedule(self, when: float | None) -> None:
        """Change when the block is cancelled."""
        self._timer.reschedule(when)

    def expired(self) -> bool:
        """Return whether the block was cancelled by the timeout."""
        return self._timeout.expired()

    def _cancel(self) -> None:
        self._timeout.reschedule(asyncio.get_running_loop().time())


@define(eq=False)
class RunningWaits:
    """Hold the timeouts of the waits of one kind.

    Once ``has_ended`` is set, no further wait takes any time.
    """

    has_ended: bool = False
    _timeouts: set[asyncio.Timeout] = field(factory=set)

    @contextlib.asynccontextmanager
    async def limit(self, seconds: float | None) -> AsyncIterator[None]:
        """Raise TimeoutError after some seconds, or when all waits end.

        None is no limit.
        """
        async with asyncio.timeout(0.0 if self.has_ended else seconds) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def end_all(self, now: float) -> None:
        """End all waits; ``now`` is the time of the event loop."""
        self.has_ended = True
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)
