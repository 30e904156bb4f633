"""Decide whether and when a request is tried again: the one retry policy."""

import random

from attrs import frozen

from ..policy import PolicySettings, RetryBudget, RetryReason, backoff
from .counters import Counters, NoCounters, count_retry


@frozen
class RetryDecision:
    """Tell whether to try again after some seconds, else why not."""

    allowed: bool
    delay: float = 0.0
    budget_empty: bool = False


class RetryPolicy:
    """Give out retries under a budget, with jittered backoff."""

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
        self._counters = counters or NoCounters()

    def succeed(self) -> None:
        """Count a request that got its answer."""
        self._budget.succeed()

    def decide(
        self,
        attempt: int,
        reason: RetryReason,
        *,
        now: float,
        deadline: float,
        progressed: bool = False,
    ) -> RetryDecision:
        """Decide on another attempt after one that failed, counted from 1.

        Only callers whose request may be repeated ask. An attempt that
        brought the answer forward has ``progressed``: what follows it goes
        on at once and takes nothing from the budget, since an upstream that
        gives part of an answer is not the one to be spared by retrying less.
        """
        if progressed:
            count_retry(self._counters, reason)
            return RetryDecision(True)
        if attempt >= self.settings.attempts_per_request:
            return RetryDecision(False)
        delay = backoff(attempt, self.settings, self._random_source)
        if now + delay >= deadline:
            return RetryDecision(False)
        if not self._budget.take(now):
            return RetryDecision(False, budget_empty=True)
        count_retry(self._counters, reason)
        return RetryDecision(True, delay)
