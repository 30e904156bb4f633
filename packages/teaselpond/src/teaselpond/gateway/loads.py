"""Estimate the requests in flight at upstreams, of all hosts."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from attrs import define, field

from .load_readings import LoadReading, LoadReadings


@define
class LoadTracker:
    """Track the number of requests in flight at each upstream.

    The requests of peers are known from two sources: heartbeats, which a peer
    sends to all others in turn, and what upstreams say of themselves in their
    answers. The newer source counts. ``peer_age_seconds`` is the mean age of
    the peers' counts; it grows with the fleet.
    """

    peer_age_seconds: float = 0.0
    readings: LoadReadings = field(factory=LoadReadings)
    _own_by_engine: Counter[str] = field(factory=Counter)
    _peers_by_engine: Counter[str] = field(factory=Counter)
    _loads_by_host: dict[str, Mapping[str, int]] = field(factory=dict)

    @contextmanager
    def track(self, engine_id: str) -> Iterator[None]:
        """Count one request while the context is active."""
        self._own_by_engine[engine_id] += 1
        try:
            yield
        finally:
            self._own_by_engine[engine_id] -= 1
            if not self._own_by_engine[engine_id]:
                del self._own_by_engine[engine_id]

    def own_counts(self) -> dict[str, int]:
        """Return the number of this host's requests at each upstream."""
        return dict(self._own_by_engine)

    def own_count(self, engine_id: str) -> int:
        """Return the number of this host's requests at an upstream."""
        return self._own_by_engine.get(engine_id, 0)

    def record_reading(self, engine_id: str, load: int, now: float) -> None:
        """Record what an upstream said about its load in an answer."""
        self.readings.record(engine_id, load, self.own_count(engine_id), now)

    def set_peer_loads(self, host: str, loads: Mapping[str, int]) -> None:
        """Replace the number of a peer's requests at each upstream."""
        self._peers_by_engine.subtract(self._loads_by_host.get(host, {}))
        self._peers_by_engine.update(loads)
        self._loads_by_host[host] = loads

    def remove_peer(self, host: str) -> None:
        """Remove the requests of a peer."""
        self._peers_by_engine.subtract(self._loads_by_host.pop(host, {}))

    def count(self, engine_id: str, now: float) -> int:
        """Estimate the number of all hosts' requests at an upstream."""
        own = self._own_by_engine.get(engine_id, 0)
        reading = self._usable_reading(engine_id, now)
        if reading is not None:
            return max(own, reading.load + own - reading.own_count)
        return own + max(0, self._peers_by_engine.get(engine_id, 0))

    def age_seconds(self, engine_id: str, now: float) -> float:
        """Return how old the estimate of an upstream's load is."""
        reading = self._usable_reading(engine_id, now)
        return self.peer_age_seconds if reading is None else now - reading.read_at

    def _usable_reading(self, engine_id: str, now: float) -> LoadReading | None:
        reading = self.readings.newest(engine_id)
        if reading is None or now - reading.read_at >= self.peer_age_seconds:
            return None
        return reading
