"""Send nothing to upstreams for as long as they asked this host to wait.

An upstream that turns a request away may say for how long it wants no further
requests from the host that sent it. This answers a load at which an upstream
is busy with its other callers: requests go to the others meanwhile, and are
refused if there is no other.
"""

import math
from collections.abc import Iterable

from attrs import define, field

from .engines import Engine

# A longer wait is cut to this; an upstream that needs longer is replaced.
MAX_BACKOFF_SECONDS = 300.0


@define
class Backoffs:
    """Track until when each upstream's process wants no requests."""

    _until_by_process: dict[tuple[str, int], float] = field(factory=dict)

    def record(self, engine: Engine, seconds: float, now: float) -> float:
        """Record how long an upstream asked to wait; return what applies.

        A value that is negative or no number is ignored, which returns 0.
        """
        if not math.isfinite(seconds) or seconds <= 0:
            return 0.0
        applied = min(seconds, MAX_BACKOFF_SECONDS)
        process = _process_of(engine)
        until = max(self._until_by_process.get(process, 0.0), now + applied)
        self._until_by_process[process] = until
        return applied

    def is_active(self, engine: Engine, now: float) -> bool:
        """Return whether an upstream wants no requests now."""
        if not self._until_by_process:
            return False
        return now < self._until_by_process.get(_process_of(engine), 0.0)

    def seconds_to_first_end(self, engines: Iterable[Engine], now: float) -> float:
        """Return how long it takes until one of some upstreams may be used."""
        return min(
            max(0.0, self._until_by_process.get(_process_of(engine), 0.0) - now)
            for engine in engines
        )

    def expire(self, now: float) -> None:
        """Forget the waits that have ended."""
        for process, until in list(self._until_by_process.items()):
            if until <= now:
                del self._until_by_process[process]


def _process_of(engine: Engine) -> tuple[str, int]:
    return engine.engine_id, engine.born_ms
