"""Exchange beats with the other hosts by datagrams, as CBOR."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import cbor2
from attrs import define, field, frozen

from .journal import Journal
from .loads import LoadTracker
from .members import Heartbeat, Members, MemberState
from .poison import BrokenAttempt, PoisonTracker
from .prefixes import PrefixTracker, PrefixUse
from .rows import Page, Row
from .tables import FOLLOWED_TABLES, Table

HEARTBEAT_SECONDS = 0.2
# Loads of larger fleets are spread in turn, so that a host's control traffic
# does not grow with the number of hosts.
HEARTBEATS_PER_ROUND = 12
# Known addresses that a beat passes on, so that all hosts meet.
PASSED_ADDRESSES = 3
# Loads that a host told longer ago than this say nothing any more.
STALE_LOAD_SECONDS = 1.5
PROTOCOL = 1
BEAT = 0
CHANGES = 1
# Larger changes are asked for over a connection, which loses nothing.
MAX_CHANGES_BYTES = 8 * 1024


@frozen
class TableChanges:
    """Hold the rows of a table that changed after a version."""

    table: Table
    after: int
    page: Page


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a beat as a datagram."""
    return cbor2.dumps(
        [
            PROTOCOL,
            BEAT,
            heartbeat.host,
            heartbeat.incarnation,
            heartbeat.ip,
            heartbeat.availability_zone,
            int(heartbeat.state),
            heartbeat.confirmed_store_seconds,
            list(heartbeat.row_versions),
            heartbeat.is_store_answering,
            heartbeat.store_back_seconds,
            dict(heartbeat.loads_by_engine),
            dict(heartbeat.ips_by_host),
            dict(heartbeat.engines_by_prefix_key),
            {
                key: list(ids)
                for key, ids in heartbeat.engines_by_broken_request.items()
            },
        ]
    )


def encode_changes(changes: TableChanges) -> bytes:
    """Return changes of a table as a datagram."""
    page = changes.page
    rows = [[row.key, row.value, row.version] for row in page.rows]
    return cbor2.dumps(
        [
            PROTOCOL,
            CHANGES,
            FOLLOWED_TABLES.index(changes.table),
            changes.after,
            page.version,
            page.store_seconds,
            rows,
        ]
    )


def decode_datagram(content: bytes) -> Heartbeat | TableChanges:
    """Return what a datagram holds; raise ValueError."""
    try:
        protocol, kind, *values = cbor2.loads(content)
        if protocol != PROTOCOL:
            raise ValueError(f"protocol {protocol!r}")
        return _decode_heartbeat(values) if kind == BEAT else _decode_changes(values)
    except (
        cbor2.CBORDecodeError,
        AttributeError,
        LookupError,
        OverflowError,
        TypeError,
    ) as error:
        raise ValueError(f"not a datagram of a peer: {error!r}") from error


def _decode_heartbeat(values: list) -> Heartbeat:
    (host, incarnation, ip, zone, state, confirmed, versions) = values[:7]
    (is_answering, back, loads, ips, engines, broken) = values[7:13]
    return Heartbeat(
        host=str(host),
        incarnation=int(incarnation),
        ip=str(ip),
        availability_zone=str(zone),
        state=MemberState(state),
        confirmed_store_seconds=float(confirmed),
        row_versions=_decode_versions(versions),
        is_store_answering=bool(is_answering),
        store_back_seconds=float(back),
        loads_by_engine={str(name): int(count) for name, count in loads.items()},
        ips_by_host={str(name): str(each) for name, each in ips.items()},
        engines_by_prefix_key={bytes(key): str(name) for key, name in engines.items()},
        engines_by_broken_request={
            bytes(key): tuple(map(str, names)) for key, names in broken.items()
        },
    )


def _decode_versions(versions: list) -> tuple[int, ...]:
    if len(versions) != len(FOLLOWED_TABLES):
        raise ValueError(f"versions of {len(versions)} tables")
    return tuple(int(version) for version in versions)


def _decode_changes(values: list) -> TableChanges:
    table, after, version, store_seconds, rows = values
    page = Page(
        tuple(
            Row(str(key), None if value is None else bytes(value), int(row_version))
            for key, value, row_version in rows
        ),
        int(version),
        float(store_seconds),
        False,
    )
    return TableChanges(FOLLOWED_TABLES[int(table)], int(after), page)


@define(eq=False)
class PeerExchange(asyncio.DatagramProtocol):
    """Send this host's beats and take those of the others.

    ``hear_beat`` and ``hear_changes`` take what peers say of the store.
    """

    members: Members
    loads: LoadTracker
    prefixes: PrefixTracker
    poison: PoisonTracker
    journal: Journal
    clock: Callable[[], float]
    make_beat: Callable[[dict[str, str]], Heartbeat]
    receive_heartbeat: Callable[[Heartbeat, float], None]
    receive_changes: Callable[[TableChanges, float], None]
    port: int
    seed_ips: tuple[str, ...]
    chance: random.Random = field(factory=random.Random)
    _transport: asyncio.DatagramTransport | None = None
    _order: list[str] = field(factory=list)

    async def start(self, ip: str) -> None:
        """Listen for the other hosts' beats."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, self.port))

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Write down that a datagram could not be sent."""
        self.journal.write("datagram-error", self.clock(), error=str(exc))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take what another host sent."""
        now = self.clock()
        try:
            message = decode_datagram(data)
        except ValueError as error:
            self.journal.write(
                "datagram-unreadable", now, peer=addr[0], reason=str(error)
            )
            return
        if isinstance(message, Heartbeat):
            self._take_beat(message, now)
        else:
            self.receive_changes(message, now)

    def _take_beat(self, heartbeat: Heartbeat, now: float) -> None:
        before = self.members.members_by_host.get(heartbeat.host)
        if not self.members.update(heartbeat, now):
            return
        self.loads.set_peer_loads(heartbeat.host, heartbeat.loads_by_engine)
        for key, engine_id in heartbeat.engines_by_prefix_key.items():
            self.prefixes.record(PrefixUse(key, engine_id, now))
        for fingerprint, engine_ids in heartbeat.engines_by_broken_request.items():
            for engine_id in engine_ids:
                self.poison.record(BrokenAttempt(fingerprint, engine_id, now))
        self.receive_heartbeat(heartbeat, now)
        if before is None or before.heartbeat.incarnation != heartbeat.incarnation:
            # A process that has just started knows nobody yet.
            self._send(heartbeat.ip)
        if before is None or before.heartbeat.state is not heartbeat.state:
            self.journal.write(
                "peer-heard",
                now,
                peer=heartbeat.host,
                state=heartbeat.state.name.lower(),
                was=before.heartbeat.state.name.lower() if before else None,
            )

    async def run(self) -> None:
        """Send beats until cancelled."""
        while True:
            self.send_heartbeats()
            self._forget()
            await asyncio.sleep(HEARTBEAT_SECONDS * self.chance.uniform(0.9, 1.1))

    def send_heartbeats(self, *, to_all: bool = False) -> None:
        """Send a beat to the hosts whose turn it is, or to all."""
        if self._transport is None:
            return
        known = self.members.ips_by_host
        hosts = list(known)
        heartbeat = self.make_beat(self._passed_addresses())
        content = encode_heartbeat(heartbeat)
        ips = {known[host] for host in (hosts if to_all else self._next_hosts())}
        if not self.members.recent(self.clock()):
            ips.update(self.seed_ips)
        for ip in ips - {heartbeat.ip}:
            self._transport.sendto(content, (ip, self.port))

    def send_changes(self, changes: TableChanges) -> None:
        """Tell every known host at once of rows that changed."""
        content = encode_changes(changes)
        if self._transport is None or len(content) > MAX_CHANGES_BYTES:
            return
        for ip in set(self.members.ips_by_host.values()):
            self._transport.sendto(content, (ip, self.port))

    def _send(self, ip: str) -> None:
        if self._transport is not None:
            heartbeat = self.make_beat({})
            self._transport.sendto(encode_heartbeat(heartbeat), (ip, self.port))

    def _passed_addresses(self) -> dict[str, str]:
        # Hosts that are not heard would be passed on for ever.
        heard = self.members.recent(self.clock())
        passed = self.chance.sample(heard, min(PASSED_ADDRESSES, len(heard)))
        return {member.heartbeat.host: member.heartbeat.ip for member in passed}

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def _next_hosts(self) -> list[str]:
        known = self.members.ips_by_host
        self._order = [host for host in self._order if host in known]
        listed = set(self._order)
        self._order.extend(host for host in known if host not in listed)
        turn = self._order[:HEARTBEATS_PER_ROUND]
        self._order = self._order[HEARTBEATS_PER_ROUND:] + turn
        return turn

    def _forget(self) -> None:
        now = self.clock()
        for host in self.members.remove_expired(now):
            self.loads.remove_peer(host)
            self.journal.write("peer-forgotten", now, peer=host)
        for member in self.members.members_by_host.values():
            if now - member.received_at > STALE_LOAD_SECONDS:
                self.loads.remove_peer(member.heartbeat.host)
