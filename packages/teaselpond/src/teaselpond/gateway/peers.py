"""Exchange heartbeats and row changes with peers in datagrams."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, field

from .datagrams import (
    TableChanges,
    decode_datagram,
    encode_changes,
    encode_heartbeat,
)
from .engines import engine_key
from .journal import Journal
from .loads import LoadTracker
from .members import (
    ADVERTISED_SECONDS,
    Heartbeat,
    Member,
    Members,
    MemberState,
)
from .poison import PoisonTracker
from .prefixes import PrefixTracker, PrefixUse
from .retry_budgets import HEARING_SECONDS, RetryBudgets
from .retry_usage import USAGE
from .routing_state import RoutingState
from .sightings import (
    apply_sightings,
    choose_introductions,
    introduction_of,
)
from .suspects import EndedProcess
from .topics import Topics
from .traits import Scope, Trait

HEARTBEAT_SECONDS = 0.2
# In a larger fleet each round goes to the next hosts in rotation. This bounds
# a host's control traffic whatever the number of hosts. What must be known
# sooner than a turn through all hosts takes is passed on by the receivers.
HEARTBEATS_PER_ROUND = 5
# Most go to hosts of the same availability zone, since traffic between zones
# costs more; the others carry what is new from zone to zone.
FAR_HEARTBEATS_PER_ROUND = 2
# Peer addresses in each heartbeat, for hosts that read no introductions.
SHARED_ADDRESSES = 1
# A starting process is told of this many hosts at once.
WELCOME_INTRODUCTIONS = 16
# More peers in a round are logged in one line.
MAX_PEER_LINES = 5
# What cannot wait for the next round is sent to all hosts this often at most.
MIN_ANNOUNCEMENT_GAP_SECONDS = 0.1
# Peers fetch larger changes over HTTP, which retransmits lost packets.
MAX_CHANGES_BYTES = 8 * 1024


@define
class Turn:
    """Choose hosts in random turns, each of them once a turn.

    Hosts know one another in similar orders. In that order, all would send to
    the same few at the same time.
    """

    _remaining: list[str] = field(factory=list)

    def take(self, hosts: Sequence[str], count: int, rng: random.Random) -> list[str]:
        """Return the next hosts; ``count`` is at most their number."""
        present = set(hosts)
        taken: list[str] = []
        while len(taken) < count:
            if not self._remaining:
                self._remaining = [host for host in hosts if host not in taken]
                rng.shuffle(self._remaining)
            host = self._remaining.pop()
            if host in present and host not in taken:
                taken.append(host)
        return taken


@define(eq=False)
class PeerExchange(asyncio.DatagramProtocol):
    """Send this host's heartbeats and receive those of its peers.

    ``receive_heartbeat`` and ``receive_changes`` are called with a message
    and the time of its receipt.
    """

    members: Members
    loads: LoadTracker
    prefixes: PrefixTracker
    poison: PoisonTracker
    journal: Journal
    clock: Callable[[], float]
    make_heartbeat: Callable[..., Heartbeat]
    receive_heartbeat: Callable[[Heartbeat, float], None]
    receive_changes: Callable[[TableChanges, float], None]
    routing_state: RoutingState
    retries: RetryBudgets
    port: int
    seed_ips: tuple[str, ...]
    topics: Topics = field(factory=Topics)
    rng: random.Random = field(factory=random.Random)
    _transport: asyncio.DatagramTransport | None = None
    _near_turn: Turn = field(factory=Turn)
    _far_turn: Turn = field(factory=Turn)
    _turn_rounds: int = 0
    _announced_at: float = -math.inf
    _sent_at: float = -math.inf
    _state_changes: list[tuple[str, MemberState | None, MemberState]] = field(
        factory=list
    )

    async def start(self, ip: str) -> None:
        """Listen for datagrams of peers on an IP address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, self.port))

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be sent."""
        self.journal.write("datagram-error", self.clock(), error=str(exc))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode and handle a datagram; log one that is malformed."""
        now = self.clock()
        try:
            message = decode_datagram(data)
        except ValueError as error:
            self.journal.write(
                "datagram-unreadable", now, peer=addr[0], reason=str(error)
            )
            return
        if isinstance(message, Heartbeat):
            self._receive_heartbeat(message, now)
        else:
            self.receive_changes(message, now)

    def _receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        before = self.members.members_by_host.get(heartbeat.host)
        is_first = (
            before is None
            or before.is_introduced
            or before.heartbeat.incarnation != heartbeat.incarnation
        )
        state_before = before.heartbeat.state if before is not None else None
        if not self.members.update(heartbeat, now):
            return
        self.members.introduce(heartbeat.introductions, now)
        apply_sightings(self.members, heartbeat.sightings, now)
        self.loads.readings.merge(heartbeat.load_readings, now)
        self.loads.starts.merge_news(heartbeat.starts, now)
        self.loads.set_peer_loads(heartbeat.host, heartbeat.loads_by_engine)
        self.prefixes.merge_news(
            heartbeat.prefix_news, self.routing_state.find_engine_id, now
        )
        for engine_id in self.routing_state.merge_departures(
            heartbeat.departures, heartbeat.departure_reminders, heartbeat.era, now
        ):
            self.journal.write(
                "engine-leaving", now, engine=engine_id, source=heartbeat.host
            )
        for key, engine_id in heartbeat.engines_by_prefix_key.items():
            self.prefixes.record(PrefixUse(key, engine_id, now))
        for fingerprint, engine_ids in heartbeat.engines_by_broken_request.items():
            for engine_id in engine_ids:
                trait = Trait(fingerprint, Scope.REQUEST)
                key = engine_key(engine_id)
                self.poison.record(EndedProcess(trait, key, now, now), now)
        for change in self.poison.merge_news(heartbeat.poison_news, now):
            self.journal.write(
                "request-quarantined" if change.is_quarantined else "request-cleared",
                now,
                fingerprint=change.trait.fingerprint.hex(),
                scope=change.trait.scope.name.lower(),
                source=heartbeat.host,
            )
        for topic in self.topics.merge(heartbeat.news_by_topic, heartbeat.host, now):
            self.journal.write(
                "news-unreadable", now, peer=heartbeat.host, topic=topic[:16]
            )
        self.receive_heartbeat(heartbeat, now)
        self._record_former_usage(heartbeat, now)
        self.retries.record_heard(now)
        # A process that has just started knows no peers yet.
        is_new = is_first and heartbeat.state is MemberState.STARTING
        if is_new or heartbeat.asks_former_usage:
            self._welcome(heartbeat, now, introduces=is_new)
        if is_first or state_before is not heartbeat.state:
            self._state_changes.append((heartbeat.host, state_before, heartbeat.state))

    def _record_former_usage(self, heartbeat: Heartbeat, now: float) -> None:
        answer = heartbeat.former_usage
        if answer is None:
            return
        if self.retries.record_answer(heartbeat.host, answer, now):
            self.journal.write(
                "former-usage-from-peer",
                now,
                peer=heartbeat.host,
                age_seconds=round(answer.age_seconds, 3),
                services=len(answer.usages) // USAGE.size,
            )

    async def run(self) -> None:
        """Send heartbeats periodically until cancelled."""
        while True:
            self.run_round()
            await asyncio.sleep(HEARTBEAT_SECONDS * self.rng.uniform(0.9, 1.1))

    def run_round(self) -> None:
        """Send one round of heartbeats, and forget hosts that expired."""
        self.send_heartbeats()
        self._remove_expired()
        self._log_state_changes(self.clock())
        self.loads.starts.expire(self.clock())
        self.poison.expire(self.clock())
        turn_seconds = self._turn_rounds * HEARTBEAT_SECONDS
        self.loads.peer_age_seconds = turn_seconds / 2
        self.retries.hearing_seconds = min(
            ADVERTISED_SECONDS, turn_seconds + HEARING_SECONDS
        )

    def _log_state_changes(self, now: float) -> None:
        """Log which peers were heard in a new state since the last round.

        One line stands for all where they are many, as when a fleet starts.
        """
        changes, self._state_changes = self._state_changes, []
        if len(changes) > MAX_PEER_LINES:
            counts = Counter(state.name.lower() for _, _, state in changes)
            peers = [host for host, _, _ in changes[:MAX_PEER_LINES]]
            self.journal.write("peers-heard", now, counts=dict(counts), peers=peers)
            return
        for host, before, state in changes:
            self.journal.write(
                "peer-heard",
                now,
                peer=host,
                state=state.name.lower(),
                was=before.name.lower() if before is not None else None,
            )

    def send_heartbeats(self, *, to_all: bool = False) -> None:
        """Send a heartbeat to the next hosts in the rotation, or to all.

        If no heartbeat was received recently, the seeds get one too.
        """
        if self._transport is None:
            return
        now = self.clock()
        known = self.members.ips_by_host
        recent = self.members.recent(now)
        heartbeat = self.make_heartbeat(
            self._sample_addresses(recent),
            choose_introductions(recent, self.rng, now),
            self.prefixes.pack_news(now),
            self.loads.starts.pack_news(now),
            news_by_topic=self.topics.pack(now),
        )
        content = encode_heartbeat(heartbeat)
        ips = {
            known[host]
            for host in (
                list(known) if to_all else self._next_hosts(heartbeat.availability_zone)
            )
        }
        if not recent:
            ips.update(self.seed_ips)
        for ip in ips - {heartbeat.ip}:
            self._transport.sendto(content, (ip, self.port))
        self._sent_at = now
        self.retries.record_sent(now)

    def report_usage(self) -> None:
        """Send a round of heartbeats early, unless one was just sent."""
        if self.clock() - self._sent_at >= MIN_ANNOUNCEMENT_GAP_SECONDS:
            self.send_heartbeats()

    def announce(self) -> None:
        """Tell all hosts at once of what is news, unless just done."""
        now = self.clock()
        if now - self._announced_at >= MIN_ANNOUNCEMENT_GAP_SECONDS:
            self._announced_at = now
            self.send_heartbeats(to_all=True)

    def send_changes(self, changes: TableChanges) -> None:
        """Send changed rows to every known host.

        Changes above ``MAX_CHANGES_BYTES`` are not sent.
        """
        content = encode_changes(changes)
        if self._transport is None or len(content) > MAX_CHANGES_BYTES:
            return
        for ip in set(self.members.ips_by_host.values()):
            self._transport.sendto(content, (ip, self.port))

    def _welcome(self, to: Heartbeat, now: float, *, introduces: bool) -> None:
        """Send a new process introductions, and its predecessor's usage."""
        if self._transport is None:
            return
        introductions = ()
        if introduces:
            recent = self.members.recent(now)
            chosen = self.rng.sample(recent, min(len(recent), WELCOME_INTRODUCTIONS))
            introductions = tuple(introduction_of(member, now) for member in chosen)
        former_usage = None
        if to.asks_former_usage:
            former_usage = self.retries.former_usage(to.host, to.incarnation, now)
            if former_usage is None and not introduces:
                return
        heartbeat = self.make_heartbeat({}, introductions, former_usage=former_usage)
        self._transport.sendto(encode_heartbeat(heartbeat), (to.ip, self.port))

    def _sample_addresses(self, recent: Sequence[Member]) -> dict[str, str]:
        # Only recently seen hosts: otherwise the peers would pass the address
        # of a stopped host back and forth for ever.
        chosen = self.rng.sample(recent, min(SHARED_ADDRESSES, len(recent)))
        return {member.host: member.heartbeat.ip for member in chosen}

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def _next_hosts(self, own_zone: str) -> list[str]:
        """Return the hosts that get a heartbeat in the next round.

        If there are too few near ones, more far ones take their places.
        """
        near, far = [], []
        for host in self.members.ips_by_host:
            member = self.members.members_by_host.get(host)
            is_far = (
                member is not None and member.heartbeat.availability_zone != own_zone
            )
            (far if is_far else near).append(host)
        far_count = max(FAR_HEARTBEATS_PER_ROUND, HEARTBEATS_PER_ROUND - len(near))
        far_count = min(far_count, len(far))
        near_count = min(HEARTBEATS_PER_ROUND - far_count, len(near))
        self._turn_rounds = max(
            math.ceil(len(hosts) / count)
            for hosts, count in ((near, near_count), (far, far_count), ((), 1))
            if count
        )
        return self._near_turn.take(near, near_count, self.rng) + self._far_turn.take(
            far, far_count, self.rng
        )

    def _remove_expired(self) -> None:
        now = self.clock()
        for host in self.members.remove_expired(now):
            self.loads.remove_peer(host)
            self.journal.write("peer-forgotten", now, peer=host)
        oldest = now - ADVERTISED_SECONDS
        for member in self.members.members_by_host.values():
            if member.seen_at < oldest:
                self.loads.remove_peer(member.host)
