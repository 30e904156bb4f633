"""Exchange beats with the other hosts by datagrams, as CBOR."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import cbor2
from attrs import define, field

from .journal import Journal
from .loads import LoadBook
from .members import Beat, Members, MemberState
from .prefixes import PrefixBook, Reading

BEAT_SECONDS = 0.2
# Loads of larger fleets are spread in turn, so that a host's control traffic
# does not grow with the number of hosts.
BEATS_AT_ONCE = 12
# Known addresses that a beat passes on, so that all hosts meet.
PASSED_ADDRESSES = 3
# Loads that a host told longer ago than this say nothing any more.
STALE_LOAD_SECONDS = 1.5
PROTOCOL = 1
MAX_DATAGRAM_BYTES = 8 * 1024


def encode_beat(beat: Beat) -> bytes:
    """Return a beat as a datagram."""
    return cbor2.dumps(
        [
            PROTOCOL,
            beat.host,
            beat.incarnation,
            beat.ip,
            beat.availability_zone,
            int(beat.state),
            beat.configuration_version,
            beat.confirmed_store_seconds,
            dict(beat.loads_by_engine),
            dict(beat.ips_by_host),
            dict(beat.engines_by_prefix_key),
        ]
    )


def decode_beat(content: bytes) -> Beat:
    """Return the beat in a datagram; raise ValueError."""
    try:
        values = cbor2.loads(content)
        protocol, host, incarnation, ip, zone, state, version, confirmed = values[:8]
        loads, ips, engines = values[8:11]
        if protocol != PROTOCOL:
            raise ValueError(f"protocol {protocol!r}")
        return Beat(
            str(host),
            int(incarnation),
            str(ip),
            str(zone),
            MemberState(state),
            int(version),
            float(confirmed),
            {str(engine): int(count) for engine, count in loads.items()},
            {str(host): str(ip) for host, ip in ips.items()},
            {bytes(key): str(engine) for key, engine in engines.items()},
        )
    except (cbor2.CBORDecodeError, TypeError, AttributeError, LookupError) as error:
        raise ValueError(f"not a beat: {error!r}") from error


@define(eq=False)
class PeerExchange(asyncio.DatagramProtocol):
    """Send this host's beats and take those of the others."""

    members: Members
    loads: LoadBook
    prefixes: PrefixBook
    journal: Journal
    clock: Callable[[], float]
    make_beat: Callable[[dict[str, str]], Beat]
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
        """Take another host's beat."""
        now = self.clock()
        try:
            beat = decode_beat(data)
        except ValueError as error:
            self.journal.write("beat-unreadable", now, peer=addr[0], reason=str(error))
            return
        before = self.members.members_by_host.get(beat.host)
        if not self.members.take(beat, now):
            return
        self.loads.take_peer(beat.host, beat.loads_by_engine)
        for key, engine_id in beat.engines_by_prefix_key.items():
            self.prefixes.take(Reading(key, engine_id, now))
        if before is None or before.beat.incarnation != beat.incarnation:
            # A process that has just started knows nobody yet.
            self._send(beat.ip)
        if before is None or before.beat.state is not beat.state:
            self.journal.write(
                "peer-heard",
                now,
                peer=beat.host,
                state=beat.state.name.lower(),
                was=before.beat.state.name.lower() if before else None,
            )

    async def run(self) -> None:
        """Send beats until cancelled."""
        while True:
            self.send_beats()
            self._forget()
            await asyncio.sleep(BEAT_SECONDS * self.chance.uniform(0.9, 1.1))

    def send_beats(self, *, to_all: bool = False) -> None:
        """Send a beat to the hosts whose turn it is, or to all."""
        if self._transport is None:
            return
        known = self.members.ips_by_host
        hosts = list(known)
        passed = self.chance.sample(hosts, min(PASSED_ADDRESSES, len(hosts)))
        beat = self.make_beat({host: known[host] for host in passed})
        content = encode_beat(beat)
        ips = {known[host] for host in (hosts if to_all else self._next_hosts())}
        if not self.members.heard(self.clock()):
            ips.update(self.seed_ips)
        for ip in ips - {beat.ip}:
            self._transport.sendto(content, (ip, self.port))

    def _send(self, ip: str) -> None:
        if self._transport is not None:
            beat = self.make_beat({})
            self._transport.sendto(encode_beat(beat), (ip, self.port))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def _next_hosts(self) -> list[str]:
        known = self.members.ips_by_host
        self._order = [host for host in self._order if host in known]
        listed = set(self._order)
        self._order.extend(host for host in known if host not in listed)
        turn = self._order[:BEATS_AT_ONCE]
        self._order = self._order[BEATS_AT_ONCE:] + turn
        return turn

    def _forget(self) -> None:
        now = self.clock()
        for host in self.members.forget(now):
            self.loads.drop_peer(host)
            self.journal.write("peer-forgotten", now, peer=host)
        for member in self.members.members_by_host.values():
            if now - member.heard_at > STALE_LOAD_SECONDS:
                self.loads.drop_peer(member.beat.host)
