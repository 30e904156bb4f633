"""Stop a daemon without cutting a request."""

import asyncio
import enum
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from teaselpond_model.contracts import Address

from .verdicts import RefusalCause, refuse

LOCATE_TTL_SECONDS = 10.0
FINISH_TIMEOUT_SECONDS = 600.0
RETRY_AFTER_SECONDS = 1.0


class Phase(enum.Enum):
    """Name the phases of a planned stop, in their order."""

    SERVING = "serving"
    UNLISTED = "unlisted"
    REFUSING = "refusing"
    STOPPED = "stopped"


class Drain:
    """Follow a daemon through its planned stop.

    While unlisted it is left out of locate answers and still serves callers
    whose answer is not older than ``ttl_seconds``; then it refuses. The
    steps that are given run in turn when the last request has ended.
    """

    def __init__(
        self,
        *,
        ttl_seconds: float = LOCATE_TTL_SECONDS,
        finish_seconds: float = FINISH_TIMEOUT_SECONDS,
        alternatives: Callable[[], tuple[Address, ...]] = tuple,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ttl_seconds = ttl_seconds
        self._finish_seconds = finish_seconds
        self._alternatives = alternatives
        self._clock = clock
        self._started_at: float | None = None
        self._stopped = False
        self._exiting = False
        self._active = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def active(self) -> int:
        """Return the number of requests in work."""
        return self._active

    def phase(self, now: float) -> Phase:
        """Return the phase at a time of the monotonic clock."""
        if self._stopped:
            return Phase.STOPPED
        if self._started_at is None:
            return Phase.SERVING
        if now < self._started_at + self._ttl_seconds:
            return Phase.UNLISTED
        return Phase.REFUSING

    @contextmanager
    def request(self, now: float) -> Iterator[None]:
        """Count a request while it is in work; raise Refused once leaving."""
        if self.phase(now) in (Phase.REFUSING, Phase.STOPPED):
            raise refuse(
                RefusalCause.DAEMON_LEAVING,
                retry_after=RETRY_AFTER_SECONDS,
                alternatives=self._alternatives(),
            )
        self._active += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._active -= 1
            if not self._active:
                self._idle.set()

    def start(self, now: float) -> None:
        """Begin the stop; a second call changes nothing."""
        if self._started_at is None:
            self._started_at = now

    def resume(self) -> None:
        """Serve again, unless the daemon is on its way to its exit."""
        if not self._exiting:
            self._started_at = None

    async def run(self, *steps: Callable[[], Awaitable[None]]) -> bool:
        """Go through the stop; return whether every request ended in time.

        An exception of one step doesn't keep the others from running; they
        are raised together at the end.
        """
        self._exiting = True
        self.start(self._clock())
        started_at = self._started_at or 0.0
        await asyncio.sleep(started_at + self._ttl_seconds - self._clock())
        limit = started_at + self._ttl_seconds + self._finish_seconds
        try:
            async with asyncio.timeout(max(0.0, limit - self._clock())):
                await self._idle.wait()
        except TimeoutError:
            # What is still in work by now is left to the steps to end.
            pass
        finished = not self._active
        errors = []
        for step in steps:
            try:
                await step()
            except Exception as error:
                errors.append(error)
        self._stopped = True
        if errors:
            raise ExceptionGroup("steps of the planned stop failed", errors)
        return finished
