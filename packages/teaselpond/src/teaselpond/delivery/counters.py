"""Count refusals and retries by their reason."""

from typing import Protocol

from ..exceptions import Refused
from ..policy import RetryReason


class Counters(Protocol):
    """Take counts, as a statsd client does."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""


class NullCounters:
    """Take counts and forget them."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Forget a count."""


def count_refusal(counters: Counters, refused: Refused) -> None:
    """Count a refusal by its reason and by what is known of its run."""
    counters.incr(refused.reason.counter)
    counters.incr(f"refused_runs.{refused.run.value.replace('-', '_')}")


def count_retry(counters: Counters, reason: RetryReason) -> None:
    """Count a retry by its reason."""
    counters.incr(f"retries.{reason.value.replace('-', '_')}")
