"""Exchange heartbeats and row changes with peers in CBOR datagrams."""

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
# In a larger fleet each round goes to the next hosts in rotation. This bounds
# a host's control traffic whatever the number of hosts.
HEARTBEATS_PER_ROUND = 12
# Peer addresses in each heartbeat, by which hosts discover one another.
SHARED_ADDRESSES = 3
# Loads last reported by a peer longer ago than this are dropped.
STALE_LOAD_SECONDS = 1.5
PROTOCOL_VERSION = 1
HEARTBEAT_KIND = 0
CHANGES_KIND = 1
# Peers fetch larger changes over HTTP, which retransmits lost packets.
MAX_CHANGES_BYTES = 8 * 1024


@frozen
class TableChanges:
    """Hold the rows of a table that changed after version ``after``."""

    table: Table
    after: int
    page: Page


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat as a datagram."""
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            HEARTBEAT_KIND,
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
    """Encode changed rows of a table as a datagram."""
    page = changes.page
    rows = [[row.key, row.value, row.version] for row in page.rows]
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            CHANGES_KIND,
            FOLLOWED_TABLES.index(changes.table),
            changes.after,
            page.version,
            page.store_seconds,
            rows,
        ]
    )


def decode_datagram(content: bytes) -> Heartbeat | TableChanges:
    """Decode a peer's datagram; raise ValueError if it is malformed."""
    try:
        protocol, kind, *values = cbor2.loads(content)
        if protocol != PROTOCOL_VERSION:
            raise ValueError(f"unsupported protocol version {protocol!r}")
        return (
            _decode_heartbeat(values)
            if kind == HEARTBEAT_KIND
            else _decode_changes(values)
        )
    except (
        cbor2.CBORDecodeError,
        AttributeError,
        LookupError,
        OverflowError,
        TypeError,
    ) as error:
        raise ValueError(f"malformed peer datagram: {error!r}") from error


def _decode_heartbeat(values: list) -> Heartbeat:
    (host, incarnation, own_ip, zone, state, confirmed, versions) = values[:7]
    (is_answering, returned_at, loads, ips, engines, broken) = values[7:13]
    return Heartbeat(
        host=str(host),
        incarnation=int(incarnation),
        ip=str(own_ip),
        availability_zone=str(zone),
        state=MemberState(state),
        confirmed_store_seconds=float(confirmed),
        row_versions=_decode_versions(versions),
        is_store_answering=bool(is_answering),
        store_back_seconds=float(returned_at),
        loads_by_engine={str(name): int(count) for name, count in loads.items()},
        ips_by_host={str(name): str(ip) for name, ip in ips.items()},
        engines_by_prefix_key={bytes(key): str(name) for key, name in engines.items()},
        engines_by_broken_request={
            bytes(key): tuple(map(str, names)) for key, names in broken.items()
        },
    )


def _decode_versions(versions: list) -> tuple[int, ...]:
    if len(versions) != len(FOLLOWED_TABLES):
        raise ValueError(
            f"heartbeat has row versions of {len(versions)} tables,"
            f" expected {len(FOLLOWED_TABLES)}"
        )
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
    make_heartbeat: Callable[[dict[str, str]], Heartbeat]
    receive_heartbeat: Callable[[Heartbeat, float], None]
    receive_changes: Callable[[TableChanges, float], None]
    port: int
    seed_ips: tuple[str, ...]
    rng: random.Random = field(factory=random.Random)
    _transport: asyncio.DatagramTransport | None = None
    _rotation: list[str] = field(factory=list)

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
            # Answer a newly started process at once: it knows no peers yet.
            self._send_heartbeat(heartbeat.ip)
        if before is None or before.heartbeat.state is not heartbeat.state:
            self.journal.write(
                "peer-heard",
                now,
                peer=heartbeat.host,
                state=heartbeat.state.name.lower(),
                was=before.heartbeat.state.name.lower() if before else None,
            )

    async def run(self) -> None:
        """Send heartbeats periodically until cancelled."""
        while True:
            self.send_heartbeats()
            self._remove_expired()
            await asyncio.sleep(HEARTBEAT_SECONDS * self.rng.uniform(0.9, 1.1))

    def send_heartbeats(self, *, to_all: bool = False) -> None:
        """Send a heartbeat to the next hosts in the rotation, or to all.

        If no heartbeat was received recently, the seeds get one too.
        """
        if self._transport is None:
            return
        known = self.members.ips_by_host
        hosts = list(known)
        heartbeat = self.make_heartbeat(self._sample_addresses())
        content = encode_heartbeat(heartbeat)
        ips = {known[host] for host in (hosts if to_all else self._next_hosts())}
        if not self.members.recent(self.clock()):
            ips.update(self.seed_ips)
        for ip in ips - {heartbeat.ip}:
            self._transport.sendto(content, (ip, self.port))

    def send_changes(self, changes: TableChanges) -> None:
        """Send changed rows to every known host.

        Changes above ``MAX_CHANGES_BYTES`` are not sent.
        """
        content = encode_changes(changes)
        if self._transport is None or len(content) > MAX_CHANGES_BYTES:
            return
        for ip in set(self.members.ips_by_host.values()):
            self._transport.sendto(content, (ip, self.port))

    def _send_heartbeat(self, ip: str) -> None:
        if self._transport is not None:
            heartbeat = self.make_heartbeat({})
            self._transport.sendto(encode_heartbeat(heartbeat), (ip, self.port))

    def _sample_addresses(self) -> dict[str, str]:
        # Only recently seen hosts: otherwise the peers would pass the address
        # of a stopped host back and forth for ever.
        recent = self.members.recent(self.clock())
        chosen = self.rng.sample(recent, min(SHARED_ADDRESSES, len(recent)))
        return {member.heartbeat.host: member.heartbeat.ip for member in chosen}

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def _next_hosts(self) -> list[str]:
        known = self.members.ips_by_host
        self._rotation = [host for host in self._rotation if host in known]
        rotating = set(self._rotation)
        self._rotation.extend(host for host in known if host not in rotating)
        selected = self._rotation[:HEARTBEATS_PER_ROUND]
        self._rotation = self._rotation[HEARTBEATS_PER_ROUND:] + selected
        return selected

    def _remove_expired(self) -> None:
        now = self.clock()
        for host in self.members.remove_expired(now):
            self.loads.remove_peer(host)
            self.journal.write("peer-forgotten", now, peer=host)
        for member in self.members.members_by_host.values():
            if now - member.received_at > STALE_LOAD_SECONDS:
                self.loads.remove_peer(member.heartbeat.host)
