"""Judge upstreams by the results of what was sent to them."""

import enum
from collections.abc import Container

from attrs import define, field


class Result(enum.Enum):
    """Name how a request to an upstream ended."""

    SUCCESS = "success"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    SHED = "shed"


# An upstream that cannot be reached is tried again after this long, and after
# twice as long each time that fails.
EJECT_MIN_SECONDS = 0.5
EJECT_MAX_SECONDS = 4.0
# Failures in a row after which an upstream that answers at all is left out.
CONSECUTIVE_FAILURE_LIMIT = 3
# The part of results that failed above which an upstream is left out, and
# the weight of the newest result in it.
FAILURE_RATE_LIMIT = 0.35
FAILURE_RATE_WEIGHT = 0.15
FAILURE_EJECT_SECONDS = 3.0
# More than this part of a service's upstreams is never left out for failures
# of their own, because then the fault is not theirs.
MAX_EJECTED_RATIO = 0.4


@define
class EngineHealth:
    """Hold one upstream's recent results; times on the boot clock."""

    failure_rate: float = 0.0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    reason: str = ""

    def record(self, result: Result, now: float) -> bool:
        """Take a result; tell whether the upstream is newly left out."""
        if result is Result.SHED:
            return False
        failed = result is not Result.SUCCESS
        self.failure_rate += FAILURE_RATE_WEIGHT * (failed - self.failure_rate)
        if not failed:
            self.consecutive_failures = 0
            return False
        self.consecutive_failures += 1
        if result is Result.UNREACHABLE:
            seconds = EJECT_MIN_SECONDS * 2 ** min(8, self.consecutive_failures - 1)
            return self._eject(min(EJECT_MAX_SECONDS, seconds), result, now)
        if (
            result is not Result.FAILED
            and self.consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
        ):
            return self._eject(EJECT_MIN_SECONDS * 2, result, now)
        if self.failure_rate > FAILURE_RATE_LIMIT:
            # After the time out one more failure is enough.
            self.failure_rate = FAILURE_RATE_LIMIT
            return self._eject(FAILURE_EJECT_SECONDS, result, now)
        return False

    def is_ejected(self, now: float) -> bool:
        """Tell whether the upstream is left out."""
        return now < self.ejected_until

    def _eject(self, seconds: float, result: Result, now: float) -> bool:
        was_ejected = self.is_ejected(now)
        self.ejected_until = now + seconds
        self.reason = result.value
        return not was_ejected


@define
class HealthTracker:
    """Hold the health of all upstreams, by their ids."""

    health_by_id: dict[str, EngineHealth] = field(factory=dict)

    def of(self, engine_id: str) -> EngineHealth:
        """Return an upstream's health."""
        return self.health_by_id.setdefault(engine_id, EngineHealth())

    def retain(self, engine_ids: Container[str]) -> None:
        """Forget all upstreams but these."""
        for engine_id in [each for each in self.health_by_id if each not in engine_ids]:
            del self.health_by_id[engine_id]

    def healthy(self, engine_ids: list[str], now: float) -> list[str]:
        """Return the upstreams that are not left out.

        When too many would be left out, those that can be reached stay.
        """
        healthy = [each for each in engine_ids if not self.of(each).is_ejected(now)]
        if len(healthy) >= (1 - MAX_EJECTED_RATIO) * len(engine_ids):
            return healthy
        unreachable = Result.UNREACHABLE.value
        reachable = [
            each
            for each in engine_ids
            if not self.of(each).is_ejected(now) or self.of(each).reason != unreachable
        ]
        return reachable
