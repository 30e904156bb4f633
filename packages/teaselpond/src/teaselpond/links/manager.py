"""Manage the links between this daemon and the others."""

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
# If a peer knows a newer incarnation this soon after the start, the clock was
# set back before the start. Later, the cause is that a newer run replaced this
# one while it was paused.
STARTUP_GRACE_SECONDS = 10.0


def _reject_unhandled(message: Any, sender: Identity) -> None:
    raise UnknownMessage(type(message).__name__, peer=sender.daemon_id)


@define(eq=False)
class LinkManager:
    """Keep a link to each neighbour, and open one on demand to other peers.

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
    _link_tasks_by_id: dict[str, asyncio.Task] = field(factory=dict)
    _dials_by_id: dict[str, asyncio.Task] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _server: Server | None = None
    _started_at: float = 0.0
    _find_handler: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._links = LinkTable(self.identity.daemon_id)
        self._find_handler = functools.singledispatch(_reject_unhandled)
        self.handle(Probe, lambda probe, sender: Done())

    def handle(self, message_class: type, handler: Handler) -> None:
        """Register the handler of a message class.

        The handler takes the message and its sender, and returns the answer
        or an awaitable of it; None is sent as Done.
        """
        message_name_for(message_class)
        self._find_handler.register(message_class, handler)

    async def start(self) -> None:
        """Listen on the identity's address and start to maintain the links."""
        self._started_at = asyncio.get_running_loop().time()
        self._server = await connections.listen(
            self.identity.address, self._accept, self.settings.handshake_seconds
        )
        address = connections.bound_address(self._server)
        self.identity = evolve(self.identity, address=address)
        self._spawn(self._maintain_links())

    async def stop(self) -> None:
        """Send a Goodbye on every link, close them all and stop listening."""
        pending = [*self._tasks, *self._link_tasks_by_id.values()]
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
        """Set the addresses of the other daemons."""
        self._peers_by_id = {
            peer.daemon_id: peer
            for peer in peers
            if peer.daemon_id != self.identity.daemon_id
        }

    def set_neighbours(self, daemon_ids: Iterable[str]) -> None:
        """Set the daemons to which a persistent link is kept."""
        wanted_ids = set(daemon_ids) - {self.identity.daemon_id}
        for daemon_id in self._link_tasks_by_id.keys() - wanted_ids:
            self._link_tasks_by_id.pop(daemon_id).cancel()
            for link in self._links.to_peer(daemon_id):
                if link.dialed and link.persistent:
                    self._spawn(link.close(Goodbye()))
        for daemon_id in wanted_ids - self._link_tasks_by_id.keys():
            link_task = asyncio.create_task(self._maintain_persistent_link(daemon_id))
            self._link_tasks_by_id[daemon_id] = link_task

    def linked_peers(self) -> dict[str, Identity]:
        """Return the peers with a persistent link, by daemon id."""
        return {link.peer.daemon_id: link.peer for link in self._links.persistent()}

    def persistent_links(self) -> list[Link]:
        """Return the newest persistent link of each peer."""
        return self._links.persistent()

    def link_to(self, daemon_id: str) -> Link | None:
        """Return the best open link to a peer, or None."""
        return self._links.best(daemon_id)

    def link_count(self) -> int:
        """Return how many connections are open."""
        return len(self._links)

    async def send(self, daemon_id: str, message: Any) -> None:
        """Send a one-way message; raise PeerUnavailable."""
        link = await self._get_or_open_link(daemon_id)
        link.send(message)

    def broadcast(self, message: Any) -> int:
        """Send a message to every neighbour; return the number sent."""
        sent_count = 0
        for link in self.persistent_links():
            try:
                link.send(message)
                sent_count += 1
            except PeerUnavailable:
                self.traffic.faults_by_reason["broadcast-unsent"] += 1
        return sent_count

    async def call(self, daemon_id: str, message: Any, seconds: float) -> Any:
        """Call a daemon and return its answer within ``seconds``.

        Raise PeerUnavailable when nothing was sent, AnswerLost when the
        call may have run, CallFailed when the peer reports a failure.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        link = self._links.best(daemon_id)
        if link is None or not self._is_presumed_alive(link):
            try:
                async with asyncio.timeout(seconds):
                    link = await self._get_or_open_link(daemon_id)
            except TimeoutError as error:
                raise _unavailable(
                    "no link was opened before the deadline", daemon_id
                ) from error
        return await link.call(message, max(0.0, deadline - loop.time()))

    def handle_newer_incarnation(self, incarnation: int) -> None:
        """React to a report that a newer incarnation of this daemon exists.

        Soon after its start, this daemon continues with a higher
        incarnation; later, it emits Superseded.
        """
        age_seconds = asyncio.get_running_loop().time() - self._started_at
        if age_seconds > STARTUP_GRACE_SECONDS:
            self.events.on_next(Superseded(incarnation))
        elif incarnation >= self.identity.incarnation:
            self.identity = evolve(self.identity, incarnation=incarnation + 1)

    async def _get_or_open_link(self, daemon_id: str) -> Link:
        link = self._links.best(daemon_id)
        if link is not None and await self._is_alive(link):
            return link
        dial = self._dials_by_id.get(daemon_id)
        if dial is None:
            dial = asyncio.create_task(self._dial(daemon_id, persistent=False))
            self._dials_by_id[daemon_id] = dial
            dial.add_done_callback(functools.partial(self._handle_dial_done, daemon_id))
        # Several callers share one dial: the timeout of one must not cancel
        # it for the others.
        return await asyncio.shield(dial)

    def _is_presumed_alive(self, link: Link) -> bool:
        now = asyncio.get_running_loop().time()
        return (
            link.persistent
            or link.inactive_seconds(now) < self.settings.silence_seconds
        )

    async def _is_alive(self, link: Link) -> bool:
        if self._is_presumed_alive(link):
            return True
        # The network may have dropped an unused connection. A probe keeps
        # the caller's message from being lost on it.
        try:
            await link.call(Probe(), PROBE_TIMEOUT_SECONDS)
        except LinkError:
            return False
        return True

    def _handle_dial_done(self, daemon_id: str, dial: asyncio.Task) -> None:
        self._dials_by_id.pop(daemon_id, None)
        if not dial.cancelled():
            # Marks the error as retrieved if every caller has timed out.
            dial.exception()

    async def _maintain_persistent_link(self, daemon_id: str) -> None:
        attempt = 0
        if self.identity.daemon_id > daemon_id:
            # Both ends open this link; the one with the lower id dials first.
            await asyncio.sleep(dialing.redial_delay(0, self.settings, self.rng))
        while True:
            link = self._links.best(daemon_id, persistent=True)
            try:
                if link is None:
                    link = await self._dial(daemon_id, persistent=True)
            except LinkError as error:
                logging.log_every_n(
                    logging.INFO, "cannot dial %s: %s", 20, daemon_id, error
                )
                self.traffic.faults_by_reason["dial"] += 1
                attempt += 1
                await asyncio.sleep(
                    dialing.redial_delay(attempt, self.settings, self.rng)
                )
                continue
            opened_at = asyncio.get_running_loop().time()
            await link.closed.wait()
            # Increases the backoff while the link keeps breaking.
            lifetime_seconds = asyncio.get_running_loop().time() - opened_at
            attempt = (
                0
                if lifetime_seconds > self.settings.redial_max_seconds
                else attempt + 1
            )
            await asyncio.sleep(dialing.redial_delay(attempt, self.settings, self.rng))

    async def _dial(self, daemon_id: str, *, persistent: bool) -> Link:
        peer = self._peers_by_id.get(daemon_id)
        if peer is None:
            raise _unavailable("no known address", daemon_id)
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
            self.handle_newer_incarnation(error.known_incarnation)
            raise _unavailable(str(error), daemon_id) from error
        link = self._add_link(dialed.connection, dialed.admission, dialed=True)
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
            logging.log_every_n(
                logging.WARNING, "cannot accept connection: %s", 20, error
            )
            return
        await self._serve(self._add_link(connection, admission, dialed=False))

    def _check_peer(self, peer: Identity) -> HelloRefused | None:
        if peer.daemon_id != self.identity.daemon_id:
            if self._incarnations.admit(peer):
                return None
            known_incarnation = self._incarnations.newest_incarnation(peer.daemon_id)
            return HelloRefused(RefusalReason.STALE, known_incarnation)
        if peer.rank < self.identity.rank:
            return HelloRefused(RefusalReason.STALE, self.identity.incarnation)
        if peer.rank > self.identity.rank:
            self.handle_newer_incarnation(peer.incarnation)
        return HelloRefused(RefusalReason.OWN_NAME)

    def _add_link(
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

    async def _maintain_links(self) -> None:
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
                    # This process was paused, not the peer.
                    link.last_received_at = max(link.last_received_at, now)
                self._maintain_link(link, now)

    def _maintain_link(self, link: Link, now: float) -> None:
        if link.closed.is_set():
            return
        if link.has_timed_out(now):
            link.abort("silent")
        elif link.is_idle(now) or self._links.is_duplicate(link):
            self._spawn(link.close(Goodbye()))
        elif link.needs_heartbeat(now):
            link.send_heartbeat()

    def _spawn(self, awaitable: Any) -> None:
        task = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _unavailable(reason: str, daemon_id: str) -> PeerUnavailable:
    return PeerUnavailable(reason, step="dial", peer=daemon_id)
