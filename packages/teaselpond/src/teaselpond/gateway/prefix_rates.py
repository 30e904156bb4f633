"""Estimate how many requests a second the fleet gets for a prompt prefix."""

from collections import OrderedDict, deque

from attrs import define, field

WINDOW_SECONDS = 10.0
# In a large fleet a host gets too few requests in that time: of 35 a second
# for one prefix, each of 195 hosts gets 1.8 in 10 s.
LONG_WINDOW_SECONDS = 30.0
# One request says nothing about the rate: any prefix has one at times.
MIN_REQUESTS = 2
# Bounds memory, and the requests that are counted of a popular prefix.
MAX_KEYS = 512
MAX_REQUESTS = 64


@define
class PrefixRates:
    """Count this host's requests for each prefix.

    Callers spread over the hosts, so each sees the same share of the requests
    for a popular prefix.
    """

    _times_by_key: OrderedDict[str, deque[float]] = field(factory=OrderedDict)

    def record(self, key: str, now: float) -> None:
        """Count one request for a prefix."""
        times = self._times_by_key.get(key)
        if times is None:
            times = self._times_by_key[key] = deque(maxlen=MAX_REQUESTS)
        times.append(now)
        self._times_by_key.move_to_end(key)
        if len(self._times_by_key) > MAX_KEYS:
            self._times_by_key.popitem(last=False)

    def fleet_rate(
        self,
        key: str,
        now: float,
        host_count: int,
        window_seconds: float = WINDOW_SECONDS,
    ) -> float:
        """Return the estimated requests a second of all hosts, 0 if few."""
        times = self._times_by_key.get(key, ())
        oldest = now - window_seconds
        recent = [at for at in times if at > oldest]
        if len(recent) < MIN_REQUESTS:
            return 0.0
        # A burst that began within the window is as fast as it was since.
        seconds = max(1.0, min(window_seconds, 2 * (now - recent[0])))
        return len(recent) / seconds * host_count
