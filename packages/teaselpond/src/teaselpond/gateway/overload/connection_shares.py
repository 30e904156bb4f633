"""Limit the requests of this host at upstreams that reset new connections.

Handles upstreams that accept some connections of all hosts together; each host
uses an equal share there, as long as the upstream resets any.
"""

from collections.abc import Callable, Iterable, Mapping

from attrs import define, field

from ..loads import LoadTracker
from ..routing_state import RoutingState

# An upstream that resets no connection for this long accepts all again.
SHORT_SECONDS = 2.0


@define(eq=False)
class ConnectionShares:
    """Track upstreams that reset new connections, and what runs there."""

    routing_state: RoutingState
    loads: LoadTracker
    host_count: Callable[[], int]
    _short_until_by_id: dict[str, float] = field(factory=dict)

    def record_reset(self, engine_id: str, now: float) -> None:
        """Record that an upstream reset a new connection."""
        self._short_until_by_id[engine_id] = now + SHORT_SECONDS

    def copy(self) -> "ConnectionShares":
        """Return a copy whose use changes nothing here."""
        return ConnectionShares(
            self.routing_state,
            self.loads,
            self.host_count,
            dict(self._short_until_by_id),
        )

    def full_ids(self, service: str, now: float) -> frozenset[str]:
        """Return a service's upstreams at which this host uses its share."""
        if not self._short_until_by_id:
            return frozenset()
        for engine_id, until in list(self._short_until_by_id.items()):
            if until <= now:
                del self._short_until_by_id[engine_id]
        configuration = self.routing_state.configuration
        known = configuration.services_by_name.get(service) if configuration else None
        if known is None:
            return frozenset()
        engines_by_id = self.routing_state.engines_by_id
        short_ids = [
            engine_id
            for engine_id in self._short_until_by_id
            if (record := engines_by_id.get(engine_id)) is not None
            and record.engine.service == service
        ]
        return full_ids(
            short_ids,
            self.loads.own_counts(),
            known.max_connections,
            self.host_count(),
        )


def full_ids(
    short_ids: Iterable[str],
    own_counts: Mapping[str, int],
    max_connections: int,
    host_count: int,
) -> frozenset[str]:
    """Return the upstreams at which a host has its share of connections."""
    share = max(1, max_connections // max(1, host_count))
    return frozenset(
        engine_id for engine_id in short_ids if own_counts.get(engine_id, 0) >= share
    )
