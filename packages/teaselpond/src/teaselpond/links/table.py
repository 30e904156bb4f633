"""Index the open links by peer."""

from collections.abc import Iterator

from attrs import define, field

from .link import Link


@define
class LinkTable:
    """Hold every open link and select the one to use for each peer."""

    own_id: str
    _links_by_id: dict[str, list[Link]] = field(factory=dict)

    def __len__(self) -> int:
        return sum(len(links) for links in self._links_by_id.values())

    def __iter__(self) -> Iterator[Link]:
        links = [link for links in self._links_by_id.values() for link in links]
        return iter(links)

    def add(self, link: Link) -> None:
        """Add a link, and abort links to older runs of the same peer."""
        links = self._links_by_id.setdefault(link.peer.daemon_id, [])
        for older in links:
            if older.peer.rank < link.peer.rank:
                older.abort("replaced by a newer run")
        links.append(link)

    def remove(self, link: Link) -> None:
        """Remove a link that has ended."""
        links = self._links_by_id[link.peer.daemon_id]
        links.remove(link)
        if not links:
            del self._links_by_id[link.peer.daemon_id]

    def to_peer(self, daemon_id: str) -> list[Link]:
        """Return every link to a peer."""
        return list(self._links_by_id.get(daemon_id, ()))

    def best(self, daemon_id: str, *, persistent: bool = False) -> Link | None:
        """Return the newest usable link to a peer, or None.

        Persistent links are preferred, because heartbeats show that they
        work; with ``persistent``, only these are returned.
        """
        usable = [
            link
            for link in self._links_by_id.get(daemon_id, ())
            if not link.close_reason and link.persistent >= persistent
        ]
        return max(
            usable, key=lambda link: (link.persistent, link.opened_at), default=None
        )

    def persistent(self) -> list[Link]:
        """Return the newest persistent link of each peer that has one."""
        best = (
            self.best(daemon_id, persistent=True) for daemon_id in self._links_by_id
        )
        return [link for link in best if link is not None]

    def is_duplicate(self, link: Link) -> bool:
        """Return whether this end should close a link that it dialed.

        When both ends dialed at once, the end with the higher id closes its
        link, but only after it received a frame on the other link: until
        then, the other link may be dead.
        """
        if not link.dialed or self.own_id < link.peer.daemon_id:
            return False
        return any(
            not other.dialed
            and other.persistent >= link.persistent
            and other.last_received_at > link.opened_at
            for other in self._links_by_id.get(link.peer.daemon_id, ())
        )
