"""Decide whether and when to retry a request."""

import random

from attrs import frozen

from ..policy import PolicySettings, RetryBudget, RetryReason, backoff
from .counters import Counters, NullCounters, count_retry


@frozen
class RetryDecision:
    """Hold whether to retry and after how many seconds.

    ``budget_empty`` is set if only the retry budget prevents the retry.
    """

    allowed: bool
    delay: float = 0.0
    budget_empty: bool = False


class RetryPolicy:
    """Grant retries within a retry budget, with jittered backoff."""

    def __init__(
        self,
        settings: PolicySettings | None = None,
        *,
        budget: RetryBudget | None = None,
        random_source: random.Random | None = None,
        counters: Counters | None = None,
    ) -> None:
        self.settings = settings or PolicySettings()
        self._budget = budget or RetryBudget(self.settings)
        self._random_source = random_source or random.Random()
        self._counters = counters or NullCounters()

    def record_success(self) -> None:
        """Record a successful request, which adds to the retry budget."""
        self._budget.record_success()

    def decide(
        self,
        attempt: int,
        reason: RetryReason,
        *,
        now: float,
        deadline: float,
        progressed: bool = False,
    ) -> RetryDecision:
        """Decide whether to retry after a failed attempt, counted from 1.

        Call this only for a request that may be repeated. ``now`` and
        ``deadline`` are seconds of the same clock. ``progressed`` is set if
        the attempt returned a new part of the answer. The answer is then
        continued without a delay and without using the budget, which protects
        failing upstreams: one that returns parts of answers isn't failing.
        """
        if progressed:
            count_retry(self._counters, reason)
            return RetryDecision(True)
        if attempt >= self.settings.attempts_per_request:
            return RetryDecision(False)
        delay = backoff(attempt, self.settings, self._random_source)
        if now + delay >= deadline:
            return RetryDecision(False)
        if not self._budget.try_spend(now):
            return RetryDecision(False, budget_empty=True)
        count_retry(self._counters, reason)
        return RetryDecision(True, delay)
