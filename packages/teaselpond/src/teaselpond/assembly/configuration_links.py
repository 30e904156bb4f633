"""Exchange configuration messages over the links."""

from ..configuration import (
    ConfigurationDelta,
    ConfigurationKeeper,
    ConfigurationNotice,
    ConfigurationRequest,
)
from ..links import LinkClosed, LinkManager, LinkOpened, register
from ..links.peers import Identity

PULL_TIMEOUT_SECONDS = 1.0

register("config-notice", ConfigurationNotice)
register("config-request", ConfigurationRequest)
register("config-delta", ConfigurationDelta)


class LinkedConfiguration:
    """Implement ConfigurationLinks over a LinkManager."""

    def __init__(self, links: LinkManager) -> None:
        self._links = links
        self._keeper: ConfigurationKeeper | None = None

    def attach(self, keeper: ConfigurationKeeper) -> None:
        """Start to handle messages and link events for a keeper."""
        self._keeper = keeper
        self._links.handle(ConfigurationNotice, self._serve_notice)
        self._links.handle(ConfigurationRequest, self._serve_request)
        self._links.events.subscribe(self._handle_link_event)

    def peer_ids(self) -> tuple[str, ...]:
        """Return the ids of the linked daemons."""
        return tuple(self._links.linked_peers())

    def announce(self, notice: ConfigurationNotice) -> None:
        """Send a notice to every linked daemon."""
        self._links.broadcast(notice)

    async def pull(
        self, peer_id: str, request: ConfigurationRequest
    ) -> ConfigurationDelta:
        """Request a delta from a peer; raise LinkError on failure."""
        return await self._links.call(peer_id, request, PULL_TIMEOUT_SECONDS)

    def _serve_notice(self, notice: ConfigurationNotice, sender: Identity) -> None:
        self._keeper.handle_notice(sender.daemon_id, notice)

    def _serve_request(
        self, request: ConfigurationRequest, sender: Identity
    ) -> ConfigurationDelta:
        return self._keeper.build_delta(request)

    def _handle_link_event(self, event: object) -> None:
        if isinstance(event, LinkOpened) and event.persistent:
            # The peer may have missed notices while it was not linked.
            self._links.broadcast(self._keeper.notice())
        if isinstance(event, LinkClosed):
            self._keeper.remove_peer(event.peer.daemon_id)
