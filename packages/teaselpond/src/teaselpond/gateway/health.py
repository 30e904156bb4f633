"""Track request results of upstreams and eject failing upstreams."""

import enum
import math
from collections.abc import Collection, Container, Iterable

from attrs import define, evolve, field


class Result(enum.Enum):
    """Classify how a request to an upstream ended.

    UNREACHABLE: no connection was made.
    BROKEN: the answer broke off.
    INVALID: the upstream sent what is no valid answer.
    SILENT: the answer, or its next part, did not arrive in time.
    FAILED: the upstream answered with a status of 500 or above.
    SHED: the upstream answered that it did not run the request.
    """

    SUCCESS = "success"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    INVALID = "invalid"
    SILENT = "silent"
    FAILED = "failed"
    SHED = "shed"


ANSWERED_RESULTS = frozenset(
    {Result.SUCCESS, Result.INVALID, Result.FAILED, Result.SHED}
)
# Backoff for an unreachable upstream: its first ejection lasts the minimum,
# and each further failure doubles the time up to the maximum.
EJECT_MIN_SECONDS = 0.5
EJECT_MAX_SECONDS = 4.0
# Consecutive failures after which an upstream that can be reached is ejected.
CONSECUTIVE_FAILURE_LIMIT = 3
# An upstream is ejected if the moving average of its failures exceeds this
# limit; the weight is that of the newest result in the average.
FAILURE_RATE_LIMIT = 0.35
FAILURE_RATE_WEIGHT = 0.15
FAILURE_EJECT_SECONDS = 3.0
# While no upstream can be reached, a host tries one of them this often.
PROBE_GAP_SECONDS = 0.5
# If more than this fraction of a call's upstreams is ejected, the upstreams
# are not at fault themselves, so only the unreachable ones are skipped.
MAX_EJECTED_RATIO = 0.4


@define
class EngineHealth:
    """Track one upstream's failures and ejection.

    Times are on the boot clock. ``reason`` is the result that caused the last
    ejection, ``ejected_at`` when that was, ``answered_at`` when an answer last
    showed that the upstream lives, ``probed_at`` when it was last used in
    spite of an ejection.
    """

    failure_rate: float = 0.0
    consecutive_failures: int = 0
    ejected_at: float = -math.inf
    ejected_until: float = 0.0
    reason: str = ""
    answered_at: float = -math.inf
    probed_at: float = -math.inf

    def record(self, result: Result, now: float, sent_at: float = -math.inf) -> bool:
        """Record a result; return whether it newly ejects the upstream.

        ``sent_at`` is when the request was sent, if that is known.
        """
        if result in ANSWERED_RESULTS:
            self.record_answer(now, sent_at)
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
            # After the ejection, one more failure ejects it again.
            self.failure_rate = FAILURE_RATE_LIMIT
            return self._eject(FAILURE_EJECT_SECONDS, result, now)
        return False

    def record_answer(self, now: float, sent_at: float) -> None:
        """Record that the upstream answered what was sent to it at a time.

        An ejection of before that ends if it was for an unreachable upstream.
        """
        self.answered_at = now
        if self.reason == Result.UNREACHABLE.value and sent_at >= self.ejected_at:
            self.ejected_until = min(now, self.ejected_until)

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected."""
        return now < self.ejected_until

    def _eject(self, seconds: float, result: Result, now: float) -> bool:
        was_ejected = self.is_ejected(now)
        self.ejected_at = now
        self.ejected_until = now + seconds
        self.reason = result.value
        return not was_ejected


@define
class HealthTracker:
    """Track the health of all upstreams by id."""

    health_by_id: dict[str, EngineHealth] = field(factory=dict)

    def get(self, engine_id: str) -> EngineHealth:
        """Return an upstream's health; create it if the upstream is new."""
        return self.health_by_id.setdefault(engine_id, EngineHealth())

    def copy(self, engine_ids: Iterable[str]) -> "HealthTracker":
        """Return an independent copy with the health of some upstreams."""
        return HealthTracker(
            {
                engine_id: evolve(self.health_by_id[engine_id])
                for engine_id in engine_ids
                if engine_id in self.health_by_id
            }
        )

    def retain(self, engine_ids: Container[str]) -> None:
        """Forget all upstreams except these."""
        for engine_id in [each for each in self.health_by_id if each not in engine_ids]:
            del self.health_by_id[engine_id]

    def healthy(self, engine_ids: list[str], now: float) -> list[str]:
        """Return the upstreams that are not ejected.

        If too many are ejected, return all except the unreachable ones.
        """
        healthy = [each for each in engine_ids if not self.get(each).is_ejected(now)]
        if len(healthy) >= (1 - MAX_EJECTED_RATIO) * len(engine_ids):
            return healthy
        unreachable = Result.UNREACHABLE.value
        reachable = [
            each
            for each in engine_ids
            if not self.get(each).is_ejected(now)
            or self.get(each).reason != unreachable
        ]
        return reachable

    def take_probe(
        self, listed_ids: Collection[str], usable_ids: Collection[str], now: float
    ) -> str | None:
        """Return an unreachable upstream to use again, if it is time.

        ``listed_ids`` are all upstreams of a service, ``usable_ids`` those
        that a call may be sent to. Of these, it is the one that was used this
        way the longest ago.
        """
        newest_at = max(self.get(each).probed_at for each in listed_ids)
        if now - newest_at < PROBE_GAP_SECONDS:
            return None
        oldest = min(usable_ids, key=lambda each: self.get(each).probed_at)
        self.get(oldest).probed_at = now
        return oldest
