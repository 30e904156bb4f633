"""Limit requests to this host's share of budgets of the whole fleet."""

import copy
import math
import operator
import random
from collections import defaultdict
from collections.abc import Iterable

from attrs import define, field

from .retry_usage import SLOTS, RetryUsage
from .windows import SlidingWindowCounter

# A host uses only this fraction of its share. The rest covers requests that
# cross between hosts and those of hosts that are unknown here, which count
# against the fleet's budget too.
USABLE_RATIO = 0.8
# The part of what remains that a host may use before its peers hear of it. A
# process that starts leaves this part of its previous process's budget out.
UNREPORTED_RATIO = 0.5
COLD_WINDOW_SECONDS = 1.0
# A host whose share is less than one request sends at its own random time;
# half of the limit leaves room for hosts whose times coincide.
RANDOM_TURN_RATIO = 0.5


@define
class RetryBudget:
    """Limit this host's retries of one service's requests.

    In each window, a host may retry ``ratio`` of its requests. All hosts
    share ``slack`` more retries equally. ``former`` is what the previous
    process of this host has used; it counts as this one's. Between two reports
    to its peers, a host uses a part of what remains.
    """

    ratio: float
    slack: float
    window_seconds: float
    former: RetryUsage | None = None
    _requests: SlidingWindowCounter = field(init=False)
    _retries: SlidingWindowCounter = field(init=False)
    _reported_at: float = -math.inf
    _unreported_limit: float = math.inf

    def __attrs_post_init__(self) -> None:
        self._requests = SlidingWindowCounter(self.window_seconds)
        self._retries = SlidingWindowCounter(self.window_seconds)

    def record_request(self, now: float) -> None:
        """Count a request from a caller."""
        self._requests.add(now)

    def request_count(self, now: float) -> int:
        """Return how many requests count in the current window."""
        former = self.former.request_count(now) if self.former is not None else 0
        return self._requests.count(now) + former

    def retry_count(self, now: float) -> int:
        """Return how many retries count in the current window."""
        former = self.former.retry_count(now) if self.former is not None else 0
        return self._retries.count(now) + former

    def slots_at(self, now: float) -> tuple[list[int], list[int]]:
        """Return the requests and retries by slot, counted back from now."""
        requests = self._requests.slot_counts(now, SLOTS)
        retries = self._retries.slot_counts(now, SLOTS)
        if self.former is None:
            return requests, retries
        former_requests, former_retries = self.former.slots_at(now)
        return (
            list(map(operator.add, requests, former_requests)),
            list(map(operator.add, retries, former_retries)),
        )

    def remaining(self, now: float, host_count: int) -> float:
        """Return how many more retries this host may send now."""
        allowed = self.ratio * self.request_count(now) + self.slack / max(1, host_count)
        return allowed * USABLE_RATIO - self.retry_count(now)

    def unreported_limit(self, now: float, host_count: int) -> float:
        """Return how many more retries this host may send unreported.

        One that has sent none does not report its requests either.
        """
        remaining = self.slack / max(1, host_count) * USABLE_RATIO
        if self.retry_count(now):
            remaining = max(0.0, self.remaining(now, host_count))
        return min(remaining, max(1.0, UNREPORTED_RATIO * remaining))

    def record_report(self, limit: float, sent_at: float) -> None:
        """Record that peers have heard what this host had used.

        ``limit`` is the unreported limit of that time.
        """
        self._unreported_limit = limit
        self._reported_at = sent_at

    def must_report(self, now: float) -> bool:
        """Return whether peers must hear of this host before it retries."""
        earned = self.ratio * self._requests.count_since(self._reported_at, now)
        retries = self._retries.count_since(self._reported_at, now)
        return self._unreported_limit + earned * USABLE_RATIO - retries < 1

    def try_acquire(self, now: float, host_count: int, excess: float = 0.0) -> bool:
        """Use one retry if any remains; return whether one did."""
        if not self.may_retry(now, host_count, excess):
            return False
        self.record_retry(now)
        return True

    def may_retry(self, now: float, host_count: int, excess: float = 0.0) -> bool:
        """Return whether any retry remains that may be used now.

        ``excess`` are retries of other hosts that count as this one's.
        """
        remaining = self.remaining(now, host_count) - excess
        return remaining >= 1 and not self.must_report(now)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.add(now)


@define
class ColdBudget:
    """Limit this host's requests to recently started (cold) upstreams.

    The fleet may send an upstream ``overage`` times its permitted rate plus
    ``slack`` requests in each second. This host uses its share from
    ``usable_from`` on, a time of the boot clock.
    """

    overage: float
    slack: float
    rng: random.Random = field(factory=random.Random)
    usable_from: float = 0.0
    _sent_by_engine: dict[str, SlidingWindowCounter] = field(init=False)
    _next_turn_by_engine: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._sent_by_engine = defaultdict(
            lambda: SlidingWindowCounter(COLD_WINDOW_SECONDS)
        )

    def allows(
        self, engine_id: str, per_second: float, now: float, host_count: int
    ) -> bool:
        """Return whether this host may send a cold upstream a request now.

        ``per_second`` is the rate that the upstream's service permits.
        """
        if now < self.usable_from:
            return False
        share = self._fleet_limit(per_second) / max(1, host_count)
        if share < 1:
            return now >= self._next_turn(engine_id, share * RANDOM_TURN_RATIO, now)
        return self._sent_by_engine[engine_id].count(now) < math.floor(share)

    def record_sent(
        self, engine_id: str, per_second: float, now: float, host_count: int
    ) -> None:
        """Count a request sent to an upstream."""
        self._sent_by_engine[engine_id].add(now)
        share = self._fleet_limit(per_second) / max(1, host_count)
        if share < 1 and engine_id in self._next_turn_by_engine:
            interval = COLD_WINDOW_SECONDS / (share * RANDOM_TURN_RATIO)
            self._next_turn_by_engine[engine_id] = now + interval

    def copy(self, engine_ids: Iterable[str], rng: random.Random) -> "ColdBudget":
        """Return an independent copy for some upstreams.

        It draws from ``rng``.
        """
        copied = ColdBudget(self.overage, self.slack, rng, self.usable_from)
        for engine_id in engine_ids:
            if engine_id in self._sent_by_engine:
                counter = self._sent_by_engine[engine_id]
                copied._sent_by_engine[engine_id] = copy.deepcopy(counter)
            if engine_id in self._next_turn_by_engine:
                turn = self._next_turn_by_engine[engine_id]
                copied._next_turn_by_engine[engine_id] = turn
        return copied

    def _next_turn(self, engine_id: str, share: float, now: float) -> float:
        turn = self._next_turn_by_engine.get(engine_id)
        if turn is None:
            interval = COLD_WINDOW_SECONDS / share
            turn = now + self.rng.uniform(0, interval)
            self._next_turn_by_engine[engine_id] = turn
        return turn

    def _fleet_limit(self, per_second: float) -> float:
        return (per_second * self.overage + self.slack) * USABLE_RATIO
