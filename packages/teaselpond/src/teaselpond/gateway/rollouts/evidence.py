"""Judge a version by samples of its answers, beside those of the old one.

Handles some hundred samples a second: each is counted once, in constant time.

Two sequential tests run for each route, and one over all routes: for failures
and for slow answers. Each adds the logarithm of the likelihood ratio of "bad"
against "as the old version" for each sample. The sum that restarts at zero
(CUSUM) raises the alarm at ``ALARM_LIMIT``, also for a version that turns bad
late; a plain sum below ``-PROOF_LIMIT`` shows that the version is good.
"""

import enum
import math
from collections import Counter, defaultdict, deque

from attrs import define, field, frozen

# Measured over 400 seeds: no good version of 400 raises a false alarm within
# 300 samples; one that fails 20% is found after 47 samples (median), in 99%
# after 127.
ALARM_LIMIT = 9.0
# About 31 successes without a failure; a version that fails 20% passes as
# good with a probability of exp(-6.9), about one in 1,000.
PROOF_LIMIT = 6.9
# A version with an alarm above this is not moved forward.
DOUBT_LIMIT = 4.0
# The failures of a bad version beside those of the old one.
EXCESS_FAILURES = 0.2
MIN_FAILURE_RATE = 0.02
# With fewer old samples on a route, those of all routes count.
MIN_OLD_SAMPLES = 8
BUCKET_BASE = 1.2
BUCKET_UNIT_SECONDS = 0.001
MAX_BUCKET = 62
# The latency of this sample is not comparable.
NO_BUCKET = 63
# An answer is slow from 2.5 times the old version's median; a version three
# times slower moves all answers up by six buckets.
SLOW_BUCKETS = 5
# The median of few samples may be too low, so that more answers seem slow.
MIN_SLOW_RATE = 0.06
THREEFOLD_BUCKETS = 6
# The part of its answers that a slow version delays, at least.
SLOW_RATIO = 0.4
# Latencies that spread so widely that less of them tell the versions apart are
# not judged.
MIN_SEPARATION = 0.3
MAX_PENDING = 64
# Routes with a smaller part of the requests need no evidence of their own.
NOTABLE_RATIO = 0.03
# An upstream that ends breaks all its requests at once, which counts once.
ONE_END_SECONDS = 0.15
# It lives if it answers after that; hosts' ages of samples differ by less.
AGE_ERROR_SECONDS = 0.03


class Outcome(enum.IntEnum):
    """Classify a sampled answer."""

    SUCCESS = 0
    FAILED = 1
    # The connection broke, or the upstream stayed silent.
    BROKEN = 2


@frozen
class Sample:
    """Hold one answer; ``ended_at`` is on the boot clock.

    ``route_key`` and ``engine_key`` are hashes of one byte. ``is_held`` tells
    whether the upstream's cache should have held the prompt.
    """

    number: int
    is_new: bool
    route_key: int
    engine_key: int
    outcome: Outcome
    is_held: bool
    bucket: int
    ended_at: float


def latency_bucket(seconds: float) -> int:
    """Return the bucket of a latency."""
    if seconds <= BUCKET_UNIT_SECONDS:
        return 0
    steps = math.log(seconds / BUCKET_UNIT_SECONDS) / math.log(BUCKET_BASE)
    return min(MAX_BUCKET, round(steps))


@define
class SequentialTest:
    """Sum up the likelihood ratios of samples."""

    alarm: float = 0.0
    total: float = 0.0
    fresh: float = 0.0

    def add(self, ratio: float) -> None:
        """Add the logarithm of one sample's likelihood ratio."""
        self.alarm = max(0.0, self.alarm + ratio)
        self.total += ratio
        self.fresh += ratio


@define
class LatencyTest:
    """Compare latencies of the new version with those of the old one.

    Samples of the new version wait until some of the old one have come.
    """

    test: SequentialTest = field(factory=SequentialTest)
    _old: Counter[int] = field(factory=Counter)
    _old_count: int = 0
    _pending: list[int] = field(factory=list)

    def add_old(self, bucket: int) -> None:
        """Count an answer of the old version."""
        self._old[bucket] += 1
        self._old_count += 1
        if self._old_count >= MIN_OLD_SAMPLES and self._pending:
            pending, self._pending = self._pending, []
            for each in pending:
                self.add_new(each)

    def add_new(self, bucket: int) -> None:
        """Test an answer of the new version."""
        if self._old_count < MIN_OLD_SAMPLES:
            if len(self._pending) < MAX_PENDING:
                self._pending.append(bucket)
            return
        limit = self._median() + SLOW_BUCKETS
        slow_rate = self._rate_above(limit)
        slow_rate += math.sqrt(slow_rate * (1 - slow_rate) / self._old_count)
        slow_rate = max(MIN_SLOW_RATE, slow_rate)
        separation = self._rate_above(limit - THREEFOLD_BUCKETS) - slow_rate
        if separation < MIN_SEPARATION:
            return
        bad_rate = slow_rate + SLOW_RATIO * separation
        self.test.add(_ratio(bucket > limit, slow_rate, bad_rate))

    def _median(self) -> int:
        remaining = self._old_count / 2
        for bucket in sorted(self._old):
            remaining -= self._old[bucket]
            if remaining <= 0:
                return bucket
        return MAX_BUCKET

    def _rate_above(self, limit: int) -> float:
        count = sum(n for bucket, n in self._old.items() if bucket > limit)
        return (count + 0.5) / (self._old_count + 1)


@define
class RouteEvidence:
    """Hold what is known of both versions on one route."""

    old_count: int = 0
    old_failures: int = 0
    new_count: int = 0
    failures: SequentialTest = field(factory=SequentialTest)
    latencies_by_held: dict[bool, LatencyTest] = field(
        factory=lambda: defaultdict(LatencyTest)
    )


@define
class Evidence:
    """Hold the samples of one roll-out as sums.

    ``new_count`` and ``new_failures`` are those of the new version,
    ``fresh_failures`` those since the step began.
    """

    routes_by_key: dict[int, RouteEvidence] = field(
        factory=lambda: defaultdict(RouteEvidence)
    )
    overall: SequentialTest = field(factory=SequentialTest)
    old_count: int = 0
    old_failures: int = 0
    new_count: int = 0
    new_failures: int = 0
    fresh_failures: int = 0
    _ends_by_engine: dict[int, deque[float]] = field(
        factory=lambda: defaultdict(lambda: deque(maxlen=8))
    )

    def add(self, sample: Sample) -> None:
        """Count one sample."""
        if sample.outcome is Outcome.BROKEN and not self._is_new_end(sample):
            return
        if sample.outcome is Outcome.SUCCESS:
            self._forget_ends(sample)
        route = self.routes_by_key[sample.route_key]
        has_failed = sample.outcome is not Outcome.SUCCESS
        latencies = None
        if not has_failed and sample.bucket != NO_BUCKET:
            latencies = route.latencies_by_held[sample.is_held]
        if not sample.is_new:
            route.old_count += 1
            route.old_failures += has_failed
            self.old_count += 1
            self.old_failures += has_failed
            if latencies is not None:
                latencies.add_old(sample.bucket)
            return
        route.new_count += 1
        self.new_count += 1
        self.new_failures += has_failed
        self.fresh_failures += has_failed
        rate = self._old_rate(route)
        ratio = _ratio(has_failed, rate, rate + EXCESS_FAILURES * (1 - rate))
        route.failures.add(ratio)
        self.overall.add(ratio)
        if latencies is not None:
            latencies.add_new(sample.bucket)

    def start_step(self) -> None:
        """Count fresh evidence from now on."""
        self.overall.fresh = 0.0
        self.fresh_failures = 0

    def alarm(self) -> float:
        """Return the largest alarm of all tests."""
        alarms = [self.overall.alarm]
        for route in self.routes_by_key.values():
            alarms.append(route.failures.alarm)
            alarms += [each.test.alarm for each in route.latencies_by_held.values()]
        return max(alarms)

    def describe(self) -> dict[str, float]:
        """Return the sums for a log line."""
        return {
            "samples": self.new_count,
            "failures": self.new_failures,
            "old_samples": self.old_count,
            "old_failures": self.old_failures,
            "alarm": round(self.alarm(), 2),
            "proof": round(-self.overall.total, 2),
        }

    def is_bad(self) -> bool:
        """Return whether the version is worse than the old one."""
        return self.alarm() >= ALARM_LIMIT

    def is_proven(self, limit: float = PROOF_LIMIT) -> bool:
        """Return whether the samples show that the version is good."""
        return self.overall.total <= -limit and self.alarm() < DOUBT_LIMIT

    def are_routes_proven(self, limit: float) -> bool:
        """Return whether no route with notable traffic lacks evidence."""
        return all(
            route.failures.total <= -limit
            for route in self.routes_by_key.values()
            if route.old_count >= NOTABLE_RATIO * self.old_count
        )

    def _is_new_end(self, sample: Sample) -> bool:
        ends = self._ends_by_engine[sample.engine_key * 2 + sample.is_new]
        if any(abs(sample.ended_at - end) < ONE_END_SECONDS for end in ends):
            return False
        ends.append(sample.ended_at)
        return True

    def _forget_ends(self, sample: Sample) -> None:
        """Count later broken answers of an upstream that answered since."""
        ends = self._ends_by_engine.get(sample.engine_key * 2 + sample.is_new)
        while ends and ends[0] < sample.ended_at - AGE_ERROR_SECONDS:
            ends.popleft()

    def _old_rate(self, route: RouteEvidence) -> float:
        """Return the old version's failure rate, plus its standard error."""
        count, failures = route.old_count, route.old_failures
        if count < MIN_OLD_SAMPLES:
            count, failures = self.old_count, self.old_failures
        if count < MIN_OLD_SAMPLES:
            return MIN_FAILURE_RATE * 2
        rate = (failures + 0.5) / (count + 4)
        return max(MIN_FAILURE_RATE, rate + math.sqrt(rate * (1 - rate) / (count + 4)))


def _ratio(is_event: bool, rate: float, bad_rate: float) -> float:
    """Return the logarithm of a sample's likelihood ratio."""
    rate, bad_rate = min(rate, 0.97), min(bad_rate, 0.99)
    if is_event:
        return math.log(bad_rate / rate)
    return math.log((1 - bad_rate) / (1 - rate))
