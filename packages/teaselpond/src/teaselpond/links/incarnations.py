"""Record the newest run of each daemon."""

from attrs import define, field

from .peers import Identity

MAX_REMEMBERED_DAEMONS = 4096


@define
class IncarnationRegistry:
    """Reject runs of a daemon that are older than one seen before."""

    _ranks_by_id: dict[str, tuple[int, bytes]] = field(factory=dict)

    def admit(self, peer: Identity) -> bool:
        """Record a run and return True, or False if a newer one is known."""
        known_rank = self._ranks_by_id.get(peer.daemon_id)
        if known_rank is not None and peer.rank < known_rank:
            return False
        # Moves the entry to the end: the least recently seen one is evicted
        # first.
        self._ranks_by_id.pop(peer.daemon_id, None)
        self._ranks_by_id[peer.daemon_id] = peer.rank
        if len(self._ranks_by_id) > MAX_REMEMBERED_DAEMONS:
            del self._ranks_by_id[next(iter(self._ranks_by_id))]
        return True

    def newest_incarnation(self, daemon_id: str) -> int:
        """Return the newest recorded incarnation of a daemon, or 0."""
        rank = self._ranks_by_id.get(daemon_id)
        return rank[0] if rank is not None else 0
