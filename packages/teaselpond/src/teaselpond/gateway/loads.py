"""Count the requests in flight at upstreams, of all hosts."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from attrs import define, field


@define
class LoadTracker:
    """Track the number of requests in flight at each upstream."""

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

    def set_peer_loads(self, host: str, loads: Mapping[str, int]) -> None:
        """Replace the number of a peer's requests at each upstream."""
        self._peers_by_engine.subtract(self._loads_by_host.get(host, {}))
        self._peers_by_engine.update(loads)
        self._loads_by_host[host] = loads

    def remove_peer(self, host: str) -> None:
        """Remove the requests of a peer."""
        self._peers_by_engine.subtract(self._loads_by_host.pop(host, {}))

    def count(self, engine_id: str) -> int:
        """Return the known number of all hosts' requests at an upstream."""
        own = self._own_by_engine.get(engine_id, 0)
        return own + max(0, self._peers_by_engine.get(engine_id, 0))
