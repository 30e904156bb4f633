"""Run the heartbeats of a large fleet on simulated time, without sockets."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from teaselpond.gateway.host import GatewayHost
from teaselpond.gateway.journal import Journal
from teaselpond.gateway.peers import HEARTBEAT_SECONDS, PeerExchange
from teaselpond.gateway.settings import Bounds, GatewaySettings, Listeners
from teaselpond.gateway.sightings import INTRODUCED_SECONDS
from teaselpond.platform.adapter import PlatformAdapter
from teaselpond_model.contracts import Address

DATAGRAM_PORT = 7340
PEER_PORT = 7341
SEED_COUNT = 3
ONE_WAY_SECONDS = 0.0014
LOSS_RATIO = 0.01
BOUNDS = Bounds(8.0, 5.0, True, 0.2, 10.0, 430.0, 1.5, 5.0, 2.0, 5.0)


class SilentJournal(Journal):
    """Discard all lines."""

    def write(self, event: str, now: float, /, **fields: Any) -> None:
        """Discard one line."""


@define(eq=False)
class SimulatedPeer:
    """Hold one host, its exchange of heartbeats and its state of health.

    ``frozen_until`` is when a frozen host continues; ``is_dead`` hosts send
    and receive nothing.
    """

    host: GatewayHost
    exchange: PeerExchange
    frozen_until: float = 0.0
    is_dead: bool = False

    @property
    def name(self) -> str:
        """Return the host's name."""
        return self.host.settings.host

    @property
    def zone(self) -> str:
        """Return the host's availability zone."""
        return self.host.settings.availability_zone


@define(eq=False)
class SimulatedFleet:
    """Deliver datagrams between hosts on simulated time.

    ``is_cut`` returns whether a datagram between two hosts is lost.
    ``sent_bytes`` and ``sent_datagrams`` count what all hosts sent.
    """

    size: int
    zone_count: int = 6
    seed: int = 1
    now: float = 100.0
    retry_slack: float = 430.0
    is_cut: Callable[[SimulatedPeer, SimulatedPeer], bool] = lambda sender, to: False
    peers_by_ip: dict[str, SimulatedPeer] = field(factory=dict)
    sent_bytes: int = 0
    sent_datagrams: int = 0
    _rng: random.Random = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        for number in range(self.size):
            peer = self._make_peer(number)
            self.peers_by_ip[peer.host.settings.ip] = peer
            # All hosts of the platform start within 0.3 s.
            self._schedule(self._rng.uniform(0, 0.3), lambda peer=peer: self._run(peer))

    @property
    def live_peers(self) -> list[SimulatedPeer]:
        """Return the hosts that are not dead."""
        return [peer for peer in self.peers_by_ip.values() if not peer.is_dead]

    def run(self, seconds: float) -> None:
        """Advance the time, and deliver what is due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def meet(self) -> None:
        """Make all hosts known to one another, as after their start."""
        heartbeats = [peer.host.heartbeat({}) for peer in self.live_peers]
        for peer in self.live_peers:
            for heartbeat in heartbeats:
                peer.host.members.update(heartbeat, self.now)
            for member in peer.host.members.members_by_host.values():
                member.learnt_at = self.now - INTRODUCED_SECONDS

    def restart(self, peer: SimulatedPeer) -> SimulatedPeer:
        """Replace a host's process by a new one, which knows nobody."""
        peer.is_dead = True
        return self.start(int(peer.name.removeprefix("host-")))

    def start(self, number: int) -> SimulatedPeer:
        """Start a process on a host, which may be new to the fleet."""
        started = self._make_peer(number, is_first_start=False)
        self.peers_by_ip[started.host.settings.ip] = started
        self._schedule(0.0, lambda: self._run(started))
        return started

    def named_share(self) -> float:
        """Return the share of pairs of live hosts that know each other."""
        live = self.live_peers
        names = {peer.name for peer in live}
        known = sum(
            member.heartbeat.host in names
            for peer in live
            for member in peer.host.members.recent(self.now)
        )
        return known / (len(live) * (len(live) - 1))

    def send(self, sender: SimulatedPeer, content: bytes, ip: str) -> None:
        """Send a datagram, which may be lost."""
        self.sent_bytes += len(content)
        self.sent_datagrams += 1
        to = self.peers_by_ip.get(ip)
        if to is None or self._rng.random() < LOSS_RATIO or self.is_cut(sender, to):
            return
        self._schedule(ONE_WAY_SECONDS, lambda: self._deliver(to, content, sender))

    def _deliver(self, to: SimulatedPeer, content: bytes, sender: Any) -> None:
        if to.is_dead:
            return
        if to.frozen_until > self.now:
            delay = to.frozen_until - self.now
            self._schedule(delay, lambda: self._deliver(to, content, sender))
            return
        to.exchange.datagram_received(content, (sender.host.settings.ip, 0))

    def _run(self, peer: SimulatedPeer) -> None:
        if peer.is_dead:
            return
        delay = HEARTBEAT_SECONDS * self._rng.uniform(0.9, 1.1)
        if peer.frozen_until > self.now:
            delay = peer.frozen_until - self.now
        else:
            peer.exchange.run_round()
        self._schedule(delay, lambda: self._run(peer))

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), action))

    def _make_peer(self, number: int, *, is_first_start: bool = True) -> SimulatedPeer:
        host = GatewayHost(
            self._settings(number, is_first_start),
            PlatformAdapter(),
            clock=lambda: self.now,
        )
        host.journal = SilentJournal("", 0)
        exchange = PeerExchange(
            host.members,
            host.loads,
            host.prefixes,
            host.poison,
            host.journal,
            host.clock,
            host.heartbeat,
            lambda heartbeat, now: None,
            lambda changes, now: None,
            host.routing_state,
            host.retries,
            DATAGRAM_PORT,
            tuple(_ip(seed) for seed in range(SEED_COUNT)),
            host.topics,
            random.Random(self._rng.random()),
        )
        host.retries.send_report = exchange.report_usage
        peer = SimulatedPeer(host, exchange)
        exchange.connection_made(_Transport(self, peer))
        return peer

    def _settings(self, number: int, is_first_start: bool) -> GatewaySettings:
        address = Address(_ip(number), PEER_PORT)
        return GatewaySettings(
            host=f"host-{number}",
            ip=_ip(number),
            availability_zone=f"zone-{number % self.zone_count}",
            region="region",
            listeners=Listeners(address, address, address, address),
            store=address,
            seeds=tuple(Address(_ip(seed), PEER_PORT) for seed in range(SEED_COUNT)),
            datagram_port=DATAGRAM_PORT,
            metrics_port=0,
            bounds=evolve(BOUNDS, retry_slack=self.retry_slack),
            is_first_start=is_first_start,
        )


@define(eq=False)
class _Transport:
    fleet: SimulatedFleet
    peer: SimulatedPeer

    def sendto(self, content: bytes, address: tuple[str, int]) -> None:
        """Send a datagram to an address."""
        self.fleet.send(self.peer, content, address[0])


def _ip(number: int) -> str:
    high, low = divmod(number, 250)
    return f"10.0.{high}.{low + 1}"
