"""Keep the links between this daemon and the others."""

import asyncio
import functools
import random
from collections.abc import Iterable
from typing import Any

from absl import logging
from attrs import define, evolve, field
from reactivex.subject import Subject
from websockets.asyncio.server import Server, ServerConnection
from websockets.exceptions import WebSocketException

from . import connections, dialing, handshake
from .events import LinkClosed, LinkOpened, Superseded
from .exceptions import (
    LinkError,
    PeerUnavailable,
    StaleIncarnation,
    UnknownMessage,
)
from .incarnations import IncarnationRegistry
from .link import Handler, Link
from .messages import (
    Done,
    Goodbye,
    HelloRefused,
    Probe,
    RefusalReason,
    message_name_for,
)
from .peers import Identity, LinkKeys, LinkSettings, Peer
from .table import LinkTable
from .traffic import Traffic

PROBE_TIMEOUT_SECONDS = 0.5
# A run that is refused as stale this soon after its start had a clock that
# went back; one that is older was replaced while it was paused.
STARTUP_GRACE_SECONDS = 10.0


def _refuse_unhandled(message: Any, sender: Identity) -> None:
    raise UnknownMessage(type(message).__name__, peer=sender.daemon_id)


@define(eq=False)
class LinkManager:
    """Hold a link to each neighbour, and one on demand to any other peer.

    ``events`` emits LinkOpened, LinkClosed and Superseded.
    """

    identity: Identity
    keys: LinkKeys
    settings: LinkSettings = field(factory=LinkSettings)
    rng: random.Random = field(factory=random.Random)
    traffic: Traffic = field(factory=Traffic)
    events: Subject = field(factory=Subject)
    _incarnations: IncarnationRegistry = field(factory=IncarnationRegistry)
    _peers_by_id: dict[str, Peer] = field(factory=dict)
    _links: LinkTable = field(init=False)
    _keepers_by_id: dict[str, asyncio.Task] = field(factory=dict)
    _dials_by_id: dict[str, asyncio.Task] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _server: Server | None = None
    _started_at: float = 0.0
    _find_handler: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._links = LinkTable(self.identity.daemon_id)
        self._find_handler = functools.singledispatch(_refuse_unhandled)
        self.handle(Probe, lambda probe, sender: Done())

    def handle(self, message_class: type, handler: Handler) -> None:
        """Set who serves a class of message.

        The handler takes the message and its sender, and returns the answer
        (None: Done) or an awaitable of it.
        """
        message_name_for(message_class)
        self._find_handler.register(message_class, handler)

    async def start(self) -> None:
        """Listen at the identity's address and tend the links."""
        self._started_at = asyncio.get_running_loop().time()
        self._server = await connections.listen(
            self.identity.address, self._accept, self.settings.handshake_seconds
        )
        address = connections.bound_address(self._server)
        self.identity = evolve(self.identity, address=address)
        self._spawn(self._tend())

    async def stop(self) -> None:
        """Say goodbye on every link, close them all and stop listening."""
        pending = [*self._tasks, *self._keepers_by_id.values()]
        pending += self._dials_by_id.values()
        for task in pending:
            task.cancel()
        links = list(self._links)
        await asyncio.gather(*(link.close(Goodbye()) for link in links))
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        await asyncio.gather(*pending, return_exceptions=True)

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Set where the other daemons are."""
        self._peers_by_id = {
            peer.daemon_id: peer
            for peer in peers
            if peer.daemon_id != self.identity.daemon_id
        }

    def set_neighbours(self, daemon_ids: Iterable[str]) -> None:
        """Set the daemons to which a link is kept at all times."""
        wanted_ids = set(daemon_ids) - {self.identity.daemon_id}
        for daemon_id in self._keepers_by_id.keys() - wanted_ids:
            self._keepers_by_id.pop(daemon_id).cancel()
            for link in self._links.to_peer(daemon_id):
                if link.dialed and link.persistent:
                    self._spawn(link.close(Goodbye()))
        for daemon_id in wanted_ids - self._keepers_by_id.keys():
            keeper = asyncio.create_task(self._keep_linked(daemon_id))
            self._keepers_by_id[daemon_id] = keeper

    def linked_peers(self) -> dict[str, Identity]:
        """Return the peers that a lasting link joins, by daemon id."""
        return {link.peer.daemon_id: link.peer for link in self._links.persistent()}

    def persistent_links(self) -> list[Link]:
        """Return the newest lasting link of each peer."""
        return self._links.persistent()

    def link_to(self, daemon_id: str) -> Link | None:
        """Return the best open link to a peer, or None."""
        return self._links.best(daemon_id)

    def link_count(self) -> int:
        """Return how many connections are open."""
        return len(self._links)

    async def send(self, daemon_id: str, message: Any) -> None:
        """Send a message one way; raise PeerUnavailable."""
        link = await self._open(daemon_id)
        link.send(message)

    def broadcast(self, message: Any) -> int:
        """Send a message to every neighbour; return how many that was."""
        sent = 0
        for link in self.persistent_links():
            try:
                link.send(message)
                sent += 1
            except PeerUnavailable:
                self.traffic.faults_by_reason["broadcast-unsent"] += 1
        return sent

    async def call(self, daemon_id: str, message: Any, seconds: float) -> Any:
        """Ask a daemon and return its answer, within that many seconds.

        Raise PeerUnavailable when nothing was sent, AnswerLost when the
        call may have run, CallFailed when the peer reports a failure.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        link = self._links.best(daemon_id)
        if link is None or not self._is_trusted(link):
            try:
                async with asyncio.timeout(seconds):
                    link = await self._open(daemon_id)
            except TimeoutError as error:
                raise _unavailable("no link in time", daemon_id) from error
        return await link.call(message, max(0.0, deadline - loop.time()))

    def handle_newer_incarnation(self, incarnation: int) -> None:
        """Outrank an earlier run met at start, or report to be superseded."""
        age = asyncio.get_running_loop().time() - self._started_at
        if age > STARTUP_GRACE_SECONDS:
            self.events.on_next(Superseded(incarnation))
        elif incarnation >= self.identity.incarnation:
            self.identity = evolve(self.identity, incarnation=incarnation + 1)

    async def _open(self, daemon_id: str) -> Link:
        link = self._links.best(daemon_id)
        if link is not None and await self._works(link):
            return link
        dial = self._dials_by_id.get(daemon_id)
        if dial is None:
            dial = asyncio.create_task(self._dial(daemon_id, persistent=False))
            self._dials_by_id[daemon_id] = dial
            dial.add_done_callback(functools.partial(self._end_dial, daemon_id))
        # Several callers share one dial, so that one's timeout must not
        # cancel it for the others.
        return await asyncio.shield(dial)

    def _is_trusted(self, link: Link) -> bool:
        now = asyncio.get_running_loop().time()
        return (
            link.persistent
            or link.inactive_seconds(now) < self.settings.silence_seconds
        )

    async def _works(self, link: Link) -> bool:
        if self._is_trusted(link):
            return True
        # An unused connection may have been forgotten on the way. Asking
        # first keeps the caller's own message from being lost on it.
        try:
            await link.call(Probe(), PROBE_TIMEOUT_SECONDS)
        except LinkError:
            return False
        return True

    def _end_dial(self, daemon_id: str, dial: asyncio.Task) -> None:
        self._dials_by_id.pop(daemon_id, None)
        if not dial.cancelled():
            # Marks the error as seen when every caller has given up.
            dial.exception()

    async def _keep_linked(self, daemon_id: str) -> None:
        attempt = 0
        if self.identity.daemon_id > daemon_id:
            # Both ends want this link; the other one dials first.
            await asyncio.sleep(dialing.redial_delay(0, self.settings, self.rng))
        while True:
            link = self._links.best(daemon_id, persistent=True)
            try:
                if link is None:
                    link = await self._dial(daemon_id, persistent=True)
            except LinkError as error:
                logging.log_every_n(logging.INFO, "dial %s: %s", 20, daemon_id, error)
                self.traffic.faults_by_reason["dial"] += 1
                attempt += 1
                await asyncio.sleep(
                    dialing.redial_delay(attempt, self.settings, self.rng)
                )
                continue
            opened_at = asyncio.get_running_loop().time()
            await link.closed.wait()
            # A link that keeps breaking is redialed ever more slowly.
            lived = asyncio.get_running_loop().time() - opened_at
            attempt = 0 if lived > self.settings.redial_max_seconds else attempt + 1
            await asyncio.sleep(dialing.redial_delay(attempt, self.settings, self.rng))

    async def _dial(self, daemon_id: str, *, persistent: bool) -> Link:
        peer = self._peers_by_id.get(daemon_id)
        if peer is None:
            raise _unavailable("no address known", daemon_id)
        try:
            dialed = await dialing.dial(
                peer,
                self.identity,
                self.keys,
                self._incarnations,
                self.settings,
                persistent=persistent,
            )
        except StaleIncarnation as error:
            self.handle_newer_incarnation(error.known)
            raise _unavailable(str(error), daemon_id) from error
        link = self._adopt(dialed.connection, dialed.admission, dialed=True)
        self._spawn(self._serve(link))
        return link

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(self.settings.handshake_seconds):
                admission = await handshake.accept(
                    connection, self.identity, self.keys, self._check_peer
                )
        except (TimeoutError, WebSocketException, LinkError) as error:
            self.traffic.faults_by_reason["accept"] += 1
            logging.log_every_n(logging.WARNING, "accept: %s", 20, error)
            return
        await self._serve(self._adopt(connection, admission, dialed=False))

    def _check_peer(self, peer: Identity) -> HelloRefused | None:
        if peer.daemon_id != self.identity.daemon_id:
            if self._incarnations.admit(peer):
                return None
            known = self._incarnations.newest_incarnation(peer.daemon_id)
            return HelloRefused(RefusalReason.STALE, known)
        if peer.rank < self.identity.rank:
            return HelloRefused(RefusalReason.STALE, self.identity.incarnation)
        if peer.rank > self.identity.rank:
            self.handle_newer_incarnation(peer.incarnation)
        return HelloRefused(RefusalReason.OWN_NAME)

    def _adopt(
        self, connection: Any, admission: handshake.Admission, *, dialed: bool
    ) -> Link:
        link = Link(
            connection=connection,
            peer=admission.peer,
            dialed=dialed,
            persistent=admission.persistent,
            settings=self.settings,
            traffic=self.traffic,
            find_handler=self._find_handler.dispatch,
            opened_at=asyncio.get_running_loop().time(),
        )
        self._links.add(link)
        self.events.on_next(LinkOpened(link.peer, link.persistent, link.dialed))
        return link

    async def _serve(self, link: Link) -> None:
        try:
            await link.run()
        finally:
            self._links.remove(link)
            self.events.on_next(
                LinkClosed(link.peer, link.persistent, link.close_reason, link.graceful)
            )

    async def _tend(self) -> None:
        interval = self.settings.heartbeat_seconds / 2
        loop = asyncio.get_running_loop()
        last_tick = loop.time()
        while True:
            await asyncio.sleep(interval)
            now = loop.time()
            was_paused = now - last_tick > self.settings.silence_seconds / 2
            last_tick = now
            for link in self._links:
                if was_paused:
                    # The pause was this process's, not the peer's silence.
                    link.last_received_at = max(link.last_received_at, now)
                self._tend_link(link, now)

    def _tend_link(self, link: Link, now: float) -> None:
        if link.closed.is_set():
            return
        if link.has_timed_out(now):
            link.abort("silent")
        elif link.is_idle(now) or self._links.is_duplicate(link):
            self._spawn(link.close(Goodbye()))
        elif link.needs_heartbeat(now):
            link.send_heartbeat()

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _unavailable(reason: str, daemon_id: str) -> PeerUnavailable:
    return PeerUnavailable(reason, step="dial", peer=daemon_id)
