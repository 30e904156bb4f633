"""Count what the daemon does, for statsd and for operators."""

from collections import Counter

from statsd import StatsClient

from teaselpond_model.contracts import Address

PREFIX = "teaselpond"


class Metrics:
    """Count events by name, and send each to statsd when there is one."""

    def __init__(self, statsd: Address | None = None) -> None:
        self.counts_by_name: Counter[str] = Counter()
        self._client = (
            StatsClient(statsd.ip, statsd.port, prefix=PREFIX) if statsd else None
        )

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counts_by_name[stat] += count
        if self._client is not None:
            self._client.incr(stat, count)

    def timing(self, name: str, seconds: float) -> None:
        """Record how long something took."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def gauge(self, name: str, value: float) -> None:
        """Record a present value."""
        if self._client is not None:
            self._client.gauge(name, value)
