"""Bound retries by a share of the successes, and space them out."""

import random

from attrs import define

from .settings import PolicySettings

BUDGET_BURST = 10.0


@define
class RetryBudget:
    """Hold a token bucket that successes and time fill."""

    settings: PolicySettings
    tokens: float = BUDGET_BURST
    filled_at: float | None = None

    def succeed(self) -> None:
        """Count a completed request."""
        self.tokens = min(BUDGET_BURST, self.tokens + self.settings.retry_budget_share)

    def try_spend(self, now: float) -> bool:
        """Take one retry out of the budget; return False without one."""
        elapsed = 0.0 if self.filled_at is None else max(0.0, now - self.filled_at)
        self.filled_at = now
        refill = elapsed * self.settings.retry_budget_per_second
        self.tokens = min(BUDGET_BURST, self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff(attempt: int, settings: PolicySettings, random_source: random.Random):
    """Return the seconds to wait before an attempt, with full jitter."""
    longest = settings.backoff_seconds * 2 ** (attempt - 1)
    return random_source.uniform(0, min(longest, settings.backoff_limit_seconds))
