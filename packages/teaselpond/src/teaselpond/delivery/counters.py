"""Count refusals and retries by reason."""

from typing import Protocol

from ..exceptions import Refused
from ..policy import RetryReason


class Counters(Protocol):
    """Receive counts; a statsd client has this interface."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""


class NullCounters:
    """Discard all counts."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""


def count_refusal(counters: Counters, refused: Refused) -> None:
    """Count a refusal by reason and by whether the request may have run."""
    counters.incr(refused.reason.counter)
    counters.incr(f"refused_runs.{refused.run.value.replace('-', '_')}")


def count_retry(counters: Counters, reason: RetryReason) -> None:
    """Count a retry by its reason."""
    counters.incr(f"retries.{reason.value.replace('-', '_')}")
