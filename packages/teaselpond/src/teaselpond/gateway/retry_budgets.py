"""Keep this host's retry budgets in line with those of other processes.

The bound is the fleet's: what the previous process of this host sent counts,
and so do retries of hosts whose callers have moved to others since. What a
process uses without any peer hearing of it is limited, so that its successor
can count the limit as used.
"""

import math
from collections import deque
from collections.abc import Callable

from attrs import define, field

from .ages import HOP_SECONDS
from .budgets import RetryBudget
from .members import ADVERTISED_SECONDS, Members
from .retry_usage import (
    FormerUsage,
    RetryUsage,
    pack_usage,
    service_key,
    unpack_usages,
)

# How long a process goes on asking after the first answer: in a large fleet
# it takes a few rounds to meet a host that heard the previous process lately.
ASKING_SECONDS = 1.0
# Datagrams take less time to a peer and back.
ROUND_TRIP_SECONDS = 0.02
# A host hears each other one once in a turn of heartbeats and this time.
HEARING_SECONDS = 0.3
MAX_UNCONFIRMED_REPORTS = 8
# How long a sum of the excess of other hosts is reused.
EXCESS_CACHE_SECONDS = 0.2


@define(eq=False)
class RetryBudgets:
    """Limit this host's retries by service.

    A process that starts asks its peers what the previous one has used, and
    retries nothing until it knows, or until that no longer counts.
    ``send_report`` tells the peers what this one has used, unless it just did.
    ``hearing_seconds`` is how soon each host in reach is heard again.
    """

    members: Members
    incarnation: int
    ratio: float
    slack: float
    window_seconds: float
    started_at: float
    is_first_start: bool
    send_report: Callable[[], None] = lambda: None
    hearing_seconds: float = ADVERTISED_SECONDS
    _budgets_by_service: dict[str, RetryBudget] = field(factory=dict)
    _former_by_key: dict[int, RetryUsage] = field(factory=dict)
    _former_heard_at: float | None = None
    _heard_usages: bytes = b""
    _answered_by: set[str] = field(factory=set)
    _answered_at: float | None = None
    _unconfirmed: deque[tuple[float, dict[str, float]]] = field(
        factory=lambda: deque(maxlen=MAX_UNCONFIRMED_REPORTS)
    )
    _excess_by_key: dict[int, float] = field(factory=dict)
    _excess_at: float | None = None

    def for_service(self, service: str, now: float) -> RetryBudget:
        """Return the budget of a service; create it on first use."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                self.ratio,
                self.slack,
                self.window_seconds,
                self._former_usage_of(service_key(service), now),
            )
            host_count = self.members.sharing(now).hosts
            budget.record_report(budget.unreported_limit(now, host_count), now)
            self._budgets_by_service[service] = budget
        return budget

    def record_request(self, service: str, now: float) -> None:
        """Count a request from a caller."""
        self.for_service(service, now).record_request(now)

    def try_acquire(self, service: str, now: float, host_count: int) -> bool:
        """Use one retry if any remains; return whether one did."""
        if not self.may_retry(service, now, host_count):
            return False
        self.record_retry(service, now)
        return True

    def may_retry(self, service: str, now: float, host_count: int) -> bool:
        """Return whether any retry remains that may be used now.

        If peers must hear of this host first, tell them.
        """
        if self.is_asking(now):
            return False
        excess = self.excess_of_others(service, now, host_count)
        budget = self.for_service(service, now)
        if budget.must_report(now):
            self.send_report()
        return budget.may_retry(now, host_count, excess)

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry."""
        self.for_service(service, now).record_retry(now)

    def awaits_confirmation(self, service: str, now: float, host_count: int) -> bool:
        """Return whether a retry is refused just until a report is heard."""
        if self.is_asking(now):
            return False
        excess = self.excess_of_others(service, now, host_count)
        budget = self.for_service(service, now)
        return budget.must_report(now) and budget.remaining(now, host_count) >= (
            1 + excess
        )

    def record_sent(self, now: float) -> None:
        """Record that this host's usage was sent to peers."""
        host_count = self.members.sharing(now).hosts
        limits = {
            service: budget.unreported_limit(now, host_count)
            for service, budget in self._budgets_by_service.items()
        }
        self._unconfirmed.append((now, limits))
        if host_count == 1:
            self._confirm_reports(now)

    def record_heard(self, now: float) -> None:
        """Record that a peer was heard.

        What was sent a round trip before has arrived, then, if more than half
        of the fleet is in reach.
        """
        sent_before = now - ROUND_TRIP_SECONDS
        if not self._unconfirmed or self._unconfirmed[0][0] > sent_before:
            return
        seen = self.members.seen_within(self.hearing_seconds, now)
        if 2 * (1 + seen) > self.members.sharing(now).hosts:
            self._confirm_reports(sent_before)

    def _confirm_reports(self, sent_before: float) -> None:
        while self._unconfirmed and self._unconfirmed[0][0] <= sent_before:
            sent_at, limits = self._unconfirmed.popleft()
            for service, limit in limits.items():
                self._budgets_by_service[service].record_report(limit, sent_at)

    def is_asking(self, now: float) -> bool:
        """Return whether the usage of the previous process is unknown."""
        if self.is_first_start:
            return False
        if self._answered_at is None:
            return now - self.started_at < self.window_seconds
        return now - self._answered_at < ASKING_SECONDS

    def update_bounds(self, ratio: float, slack: float) -> None:
        """Set the bounds of all services."""
        self.ratio, self.slack = ratio, slack
        for budget in self._budgets_by_service.values():
            budget.ratio, budget.slack = ratio, slack

    def record_answer(self, peer: str, answer: FormerUsage, now: float) -> bool:
        """Record a peer's answer; return whether it is news."""
        if answer.incarnation != self.incarnation or not self.is_asking(now):
            return False
        self._answered_by.add(peer)
        is_news = False
        if answer.age_seconds is not None:
            heard_at = now - answer.age_seconds - HOP_SECONDS
            is_news = self._former_heard_at is None or heard_at > self._former_heard_at
            if is_news:
                self._former_heard_at = heard_at
                self._heard_usages = answer.usages
        if self._answered_at is None and self._is_former_known(now):
            self._answered_at = now
        self._former_by_key = self._decode_former(now)
        for service, budget in self._budgets_by_service.items():
            budget.former = self._former_usage_of(service_key(service), now)
        return is_news

    def _is_former_known(self, now: float) -> bool:
        """Return whether the answers cover what the previous process used.

        If it was silent before it ended, others may have heard it that are
        gone too, unless half of the fleet has answered.
        """
        if 2 * len(self._answered_by) >= self.members.sharing(now).hosts:
            return True
        heard_at = self._former_heard_at
        return heard_at is not None and self.started_at - heard_at < ADVERTISED_SECONDS

    def _decode_former(self, now: float) -> dict[int, RetryUsage]:
        if self._former_heard_at is None:
            return {}
        usages = unpack_usages(
            self._heard_usages, self._former_heard_at, self.window_seconds
        )
        return {key: self._with_unheard(usage, now) for key, usage in usages}

    def _former_usage_of(self, key: int, now: float) -> RetryUsage | None:
        """Return what the previous process used of a service's budget."""
        if self._former_heard_at is None:
            return None
        if key not in self._former_by_key:
            usage = RetryUsage.unused(self._former_heard_at, self.window_seconds)
            self._former_by_key[key] = self._with_unheard(usage, now)
        return self._former_by_key[key]

    def _with_unheard(self, usage: RetryUsage, now: float) -> RetryUsage:
        """Add what a process may have used after it was last heard."""
        budget = RetryBudget(self.ratio, self.slack, self.window_seconds, usage)
        host_count = self.members.sharing(now).hosts
        unheard = budget.unreported_limit(usage.as_of, host_count)
        return usage.with_retries(math.ceil(unheard), self.started_at)

    def former_usage(
        self, host: str, incarnation: int, now: float
    ) -> FormerUsage | None:
        """Return what is known of a host's previous process, None if nothing.

        A process that started within the window cannot tell that there was
        no other.
        """
        former = self.members.former_by_host.get(host)
        if former is not None:
            if former.retry_usage is None:
                return None
            age = now - former.heard_at
            return FormerUsage(incarnation, age, former.retry_usage)
        if now - self.started_at < self.window_seconds:
            return None
        return FormerUsage(incarnation, None, b"")

    def pack(self, now: float) -> bytes:
        """Encode this host's usage, that of its previous process included."""
        packed = []
        keys = set(self._former_by_key)
        for service, budget in self._budgets_by_service.items():
            keys.discard(service_key(service))
            if budget.retry_count(now):
                packed.append(pack_usage(service_key(service), *budget.slots_at(now)))
        for key in keys:
            former = self._former_by_key[key]
            if former.retry_count(now):
                packed.append(pack_usage(key, *former.slots_at(now)))
        return b"".join(packed)

    def excess_of_others(self, service: str, now: float, host_count: int) -> float:
        """Return this host's part of the retries that others sent in excess.

        A host whose callers have moved to others may have sent more retries
        than its remaining requests allow.
        """
        cached_at = self._excess_at
        if cached_at is None or not 0 <= now - cached_at < EXCESS_CACHE_SECONDS:
            self._excess_by_key = self._sum_excess(now, host_count)
            self._excess_at = now
        return self._excess_by_key.get(service_key(service), 0.0)

    def _sum_excess(self, now: float, host_count: int) -> dict[int, float]:
        live_count = 1 + len(self.members.recent(now))
        sums: dict[int, float] = {}
        for packed, heard_at in self.members.retry_usages():
            for key, usage in unpack_usages(packed, heard_at, self.window_seconds):
                remaining = RetryBudget(
                    self.ratio, self.slack, self.window_seconds, usage
                ).remaining(now, host_count)
                if remaining < 0:
                    sums[key] = sums.get(key, 0.0) - remaining / live_count
        return sums
