"""Limit retries by a token bucket and delay them by a backoff."""

import random

from attrs import define

from .settings import PolicySettings

BUDGET_BURST = 10.0


@define
class RetryBudget:
    """Limit retries by a token bucket that successes and time refill."""

    settings: PolicySettings
    tokens: float = BUDGET_BURST
    refilled_at: float | None = None

    def record_success(self) -> None:
        """Refill the budget by a share of a token for a completed request."""
        self.tokens = min(BUDGET_BURST, self.tokens + self.settings.retry_budget_share)

    def try_spend(self, now: float) -> bool:
        """Consume a token for a retry; return False if none is left."""
        elapsed = 0.0 if self.refilled_at is None else max(0.0, now - self.refilled_at)
        self.refilled_at = now
        refill = elapsed * self.settings.retry_budget_per_second
        self.tokens = min(BUDGET_BURST, self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff(attempt: int, settings: PolicySettings, random_source: random.Random):
    """Return the seconds to wait before a retry, with full jitter.

    The upper bound doubles with each attempt, counted from 1, and is at
    most ``backoff_limit_seconds``.
    """
    max_seconds = settings.backoff_seconds * 2 ** (attempt - 1)
    return random_source.uniform(0, min(max_seconds, settings.backoff_limit_seconds))
