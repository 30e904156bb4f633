"""Tell other daemons of requests that engines died of."""

from attrs import frozen

from ..delivery.poison import Quarantine, Suspicion
from ..links import LinkManager, message
from ..links.peers import Identity


@message("suspicions")
@frozen
class Suspicions:
    """Tell which requests were running when engines died."""

    suspicions: tuple[Suspicion, ...]


@message("suspicion-lifted")
@frozen
class SuspicionLifted:
    """Tell that a request may run again."""

    fingerprint: str


class LinkedQuarantine:
    """Send suspicions to the neighbours, and pass on those that are news."""

    def __init__(self, links: LinkManager) -> None:
        self._links = links
        self._quarantine: Quarantine | None = None

    def attach(self, quarantine: Quarantine) -> None:
        """Feed a quarantine with what peers tell."""
        self._quarantine = quarantine
        self._links.handle(Suspicions, self._serve_suspicions)
        self._links.handle(SuspicionLifted, self._serve_lifted)

    async def tell_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Send suspicions to every peer."""
        self._links.broadcast(Suspicions(suspicions))

    async def tell_lifted(self, fingerprint: str) -> None:
        """Send the end of a suspicion to every peer."""
        self._links.broadcast(SuspicionLifted(fingerprint))

    def _serve_suspicions(self, news: Suspicions, sender: Identity) -> None:
        for suspicion in news.suspicions:
            self._quarantine.receive(suspicion)

    def _serve_lifted(self, news: SuspicionLifted, sender: Identity) -> None:
        self._quarantine.receive_lifted(news.fingerprint)
