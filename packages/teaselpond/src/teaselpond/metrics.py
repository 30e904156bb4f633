"""Record the daemon's metrics for statsd and for operators."""

from collections import Counter

from statsd import StatsClient

from teaselpond_model.contracts import Address

STATSD_PREFIX = "teaselpond"


class Metrics:
    """Count events by name and send metrics to statsd if it is set."""

    def __init__(self, statsd: Address | None = None) -> None:
        self.counts_by_name: Counter[str] = Counter()
        self._client = (
            StatsClient(statsd.ip, statsd.port, prefix=STATSD_PREFIX)
            if statsd
            else None
        )

    def incr(self, stat: str, count: int = 1) -> None:
        """Increase a counter."""
        self.counts_by_name[stat] += count
        if self._client is not None:
            self._client.incr(stat, count)

    def timing(self, name: str, seconds: float) -> None:
        """Send a duration to statsd."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)

    def gauge(self, name: str, value: float) -> None:
        """Send a current value to statsd."""
        if self._client is not None:
            self._client.gauge(name, value)
