"""Decide how long a new connection is watched before a request is written.

Handles upstreams that accept connections of all hosts up to a limit and reset
the others. Once a request is written, nobody can tell whether it was read.
"""

from collections.abc import Callable

from attrs import define, field

# An upstream counts as short of connections for this long after it reset a
# new one, or rejected a call: it accepts fewer while its queue is long.
SHORT_SECONDS = 10.0
# A reset comes a round trip after the handshake, and once the upstream has
# accepted and closed the connection.
HANDSHAKE_FACTOR = 1.0
ACCEPT_SECONDS = 0.002
MAX_WATCH_SECONDS = 0.02
MAX_PEERS = 10_000


@define
class NewConnections:
    """Track upstreams that are short of connections, by address."""

    clock: Callable[[], float]
    _short_until_by_peer: dict[str, float] = field(factory=dict)

    def record_short(self, peer: str) -> None:
        """Record that an upstream reset a connection or rejected a call."""
        now = self.clock()
        if len(self._short_until_by_peer) >= MAX_PEERS:
            self._short_until_by_peer = {
                each: until
                for each, until in self._short_until_by_peer.items()
                if until > now
            }
        self._short_until_by_peer[peer] = now + SHORT_SECONDS

    def watch_seconds(self, peer: str, handshake_seconds: float) -> float:
        """Return how long to watch a connection that was just made."""
        until = self._short_until_by_peer.get(peer)
        if until is None:
            return 0.0
        if until <= self.clock():
            del self._short_until_by_peer[peer]
            return 0.0
        seconds = ACCEPT_SECONDS + HANDSHAKE_FACTOR * handshake_seconds
        return min(MAX_WATCH_SECONDS, seconds)
