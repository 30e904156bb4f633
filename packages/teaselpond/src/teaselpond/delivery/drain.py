"""Stop a daemon without interrupting requests in progress."""

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
    """List the phases of a planned stop, in order."""

    SERVING = "serving"
    UNLISTED = "unlisted"
    REFUSING = "refusing"
    STOPPED = "stopped"


class Drain:
    """Track the phases of a daemon's planned stop and its requests.

    In the phase UNLISTED, locate answers omit the daemon, but it still serves
    callers with a locate answer that is at most ``ttl_seconds`` old. After
    that it refuses new requests, and requests in progress have
    ``finish_seconds`` to finish. ``alternatives`` returns the daemons that a
    refusal names.
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
        """Return the number of requests in progress."""
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
        """Count a request as in progress.

        Raise Refused in the phases REFUSING and STOPPED.
        """
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
        """Start the planned stop; a second call has no effect."""
        if self._started_at is None:
            self._started_at = now

    def resume(self) -> None:
        """Serve again, unless run() has already started the daemon's exit."""
        if not self._exiting:
            self._started_at = None

    async def run(self, *steps: Callable[[], Awaitable[None]]) -> bool:
        """Run the planned stop; return whether every request ended in time.

        The steps run one after the other once no request is in progress or
        the time for finishing is over. If steps fail, the remaining ones
        still run, and an ExceptionGroup is raised at the end.
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
            # The steps end the requests that are still in progress.
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
