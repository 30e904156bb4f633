"""Track the other hosts of the fleet by their heartbeats."""

import enum
import zlib
from collections.abc import Iterable, Iterator, Mapping

from attrs import define, field, frozen

from .fleet_size import FleetSize, SizeReading
from .prefixes import PrefixNews
from .retry_usage import FormerUsage

# A host counts as recent, and callers may be sent to it, for this long after
# it was last seen. One lost datagram does not remove the host, because this
# is several intervals.
ADVERTISED_SECONDS = 1.4
# A silent host is remembered for this long, because it may be disconnected
# from this host and still send requests.
MEMBER_EXPIRY_SECONDS = 12.0
# How long the usage of a host's previous process is kept; longer than the
# window of a retry budget.
FORMER_SECONDS = 60.0
# How long the number of hosts is reused; counting them for every request
# would cost more than placing it.
COUNT_CACHE_SECONDS = 0.1


class MemberState(enum.IntEnum):
    """Define whether a host accepts calls."""

    STARTING = 0
    SERVING = 1
    UNCONFIRMED = 2
    LEAVING = 3


@frozen
class Introduction:
    """Describe a host that joined the fleet, as passed on by others.

    ``age_seconds`` is how long ago the host was last seen.
    """

    host: str
    incarnation: int
    ip: str
    availability_zone: str
    state: MemberState
    age_seconds: float


@frozen
class Heartbeat:
    """Describe a host, and the hosts and upstreams that it knows.

    ``incarnation`` changes with each start of the host's process.
    ``confirmed_store_seconds`` is when, on the store's clock, the host's
    configuration was last confirmed; ``row_versions`` are the versions of the
    newest rows that the host has of each followed table, which the store gave
    out in ``era``. ``configuration_version`` is that of the configuration in
    force, 0 if there is none. ``is_store_answering`` is false while the host
    asks the store and gets no answer, and ``store_back_seconds`` is when, on
    the store's clock, the store's last outage ended, 0 if none was observed.
    ``sightings``, ``load_readings``, ``prefix_news``, ``starts``,
    ``departures``, ``departure_reminders`` and ``poison_news`` are packed by
    the modules that keep them. They pass on what others said.
    ``retry_usage`` is what the host has used of the retry budgets; while
    ``asks_former_usage`` is true, that of its previous process is missing.
    ``former_usage`` answers the host that the heartbeat is sent to.
    ``fleet_size`` is the greatest number of hosts that any host observed
    lately. ``engines_by_prefix_key`` and ``engines_by_broken_request`` are
    sent by older builds only. ``news_by_topic`` holds the news of optional
    features.
    """

    host: str
    incarnation: int
    ip: str
    availability_zone: str
    state: MemberState
    confirmed_store_seconds: float
    row_versions: tuple[int, ...]
    is_store_answering: bool
    store_back_seconds: float
    loads_by_engine: Mapping[str, int]
    ips_by_host: Mapping[str, str]
    engines_by_prefix_key: Mapping[bytes, str]
    engines_by_broken_request: Mapping[bytes, tuple[str, ...]]
    era: int = 0
    configuration_version: int = 0
    introductions: tuple[Introduction, ...] = ()
    sightings: bytes = b""
    load_readings: bytes = b""
    prefix_news: PrefixNews = field(factory=PrefixNews)
    starts: bytes = b""
    departures: bytes = b""
    fleet_size: int = 0
    fleet_size_age_seconds: float = 0.0
    poison_news: bytes = b""
    departure_reminders: bytes = b""
    retry_usage: bytes = b""
    asks_former_usage: bool = False
    former_usage: FormerUsage | None = None
    news_by_topic: Mapping[str, bytes] = field(factory=dict)


@frozen
class FormerProcess:
    """Hold what the last heartbeat of a host's previous process said.

    ``retry_usage`` is None if it was not heard itself.
    """

    retry_usage: bytes | None
    heard_at: float


def member_id(host: str, incarnation: int) -> int:
    """Return a number of 32 bits that identifies a process of a host."""
    return zlib.crc32(f"{host} {incarnation}".encode())


@define(eq=False)
class Member:
    """Hold what is known about a host.

    ``heartbeat`` is the last one received; for a host that was only
    introduced, it holds just the host's addresses. ``received_at`` and
    ``seen_at`` are on the boot clock: the latter also counts what other hosts
    saw, as do ``state`` and ``is_store_answering``.
    """

    heartbeat: Heartbeat
    received_at: float
    is_introduced: bool = False
    seen_at: float = field()
    learnt_at: float = field()
    state: MemberState = field()
    is_store_answering: bool = field()
    host: str = field(init=False)
    id: int = field(init=False)

    @seen_at.default
    def _default_seen_at(self) -> float:
        return self.received_at

    @learnt_at.default
    def _default_learnt_at(self) -> float:
        return self.received_at

    @state.default
    def _default_state(self) -> MemberState:
        return self.heartbeat.state

    @is_store_answering.default
    def _default_is_store_answering(self) -> bool:
        return self.heartbeat.is_store_answering

    def __attrs_post_init__(self) -> None:
        self.host = self.heartbeat.host
        self.id = member_id(self.host, self.heartbeat.incarnation)


@define
class Members:
    """Track the other hosts and their addresses by name."""

    host: str
    members_by_host: dict[str, Member] = field(factory=dict)
    members_by_id: dict[int, Member] = field(factory=dict)
    ips_by_host: dict[str, str] = field(factory=dict)
    former_by_host: dict[str, FormerProcess] = field(factory=dict)
    fleet_size: FleetSize = field(factory=FleetSize)
    _returned_hosts: set[str] = field(factory=set)
    _added_at_by_host: dict[str, float] = field(factory=dict)
    _count: int = 1
    _counted_at: float = -1.0

    def update(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it is this host's own."""
        if heartbeat.host == self.host:
            return False
        self.fleet_size.record(
            heartbeat.fleet_size, now - heartbeat.fleet_size_age_seconds
        )
        member = self.members_by_host.get(heartbeat.host)
        if member is None or member.heartbeat.incarnation != heartbeat.incarnation:
            self._add(Member(heartbeat, now))
        else:
            self.record_seen(member, now)
            member.heartbeat = heartbeat
            member.received_at = now
            member.state = heartbeat.state
            member.is_store_answering = heartbeat.is_store_answering
            member.is_introduced = False
            self.ips_by_host[heartbeat.host] = heartbeat.ip
        if not heartbeat.asks_former_usage:
            # The host's own usage includes that of its previous process.
            self.former_by_host.pop(heartbeat.host, None)
        for host, ip in heartbeat.ips_by_host.items():
            self.add_address(host, ip, now)
        return True

    def record_seen(self, member: Member, seen_at: float) -> None:
        """Record when a known process was last seen."""
        if seen_at - member.seen_at > ADVERTISED_SECONDS:
            self._returned_hosts.add(member.host)
        member.seen_at = seen_at

    def take_returned(self) -> list[Member]:
        """Return the hosts that were silent for a while and are seen again.

        Each is returned once.
        """
        hosts, self._returned_hosts = self._returned_hosts, set()
        members = (self.members_by_host.get(host) for host in sorted(hosts))
        return [member for member in members if member is not None]

    def introduce(self, introductions: Iterable[Introduction], now: float) -> None:
        """Add hosts that a peer knows, and new processes of known hosts."""
        for each in introductions:
            seen_at = now - each.age_seconds
            member = self.members_by_host.get(each.host)
            if each.host == self.host or each.age_seconds >= ADVERTISED_SECONDS:
                continue
            if member is not None and (
                member.heartbeat.incarnation == each.incarnation
                or seen_at <= member.seen_at
            ):
                continue
            heartbeat = _heartbeat_of(each)
            self._add(
                Member(
                    heartbeat,
                    received_at=now,
                    is_introduced=True,
                    seen_at=seen_at,
                    learnt_at=now,
                )
            )

    def add_address(self, host: str, ip: str, now: float) -> None:
        """Add a host's address from another source than the host itself.

        An address that is already known is kept.
        """
        if host != self.host and host not in self.ips_by_host:
            self.ips_by_host[host] = ip
            self._added_at_by_host[host] = now

    def recent(self, now: float) -> list[Member]:
        """Return the hosts that were seen recently."""
        oldest = now - ADVERTISED_SECONDS
        return [
            member
            for member in self.members_by_host.values()
            if member.seen_at > oldest
        ]

    def seen_within(self, seconds: float, now: float) -> int:
        """Return how many hosts were seen within a time."""
        oldest = now - seconds
        return sum(member.seen_at > oldest for member in self.members_by_host.values())

    def count(self, now: float) -> int:
        """Return how many hosts were seen lately, including this one."""
        if not 0 <= now - self._counted_at < COUNT_CACHE_SECONDS:
            oldest = now - MEMBER_EXPIRY_SECONDS
            self._counted_at = now
            self._count = 1 + sum(
                member.state is not MemberState.LEAVING and member.seen_at > oldest
                for member in self.members_by_host.values()
            )
        return self._count

    def sharing(self, now: float) -> SizeReading:
        """Return how many hosts share the fleet's budgets, this one included.

        Those that were heard or listed in the last minutes count, even if
        they are silent now.
        """
        self.fleet_size.record(self.count(now), now)
        return self.fleet_size.largest(now)

    def record_listed(self, hosts: Iterable[str], now: float) -> None:
        """Record the hosts that the platform's store lists."""
        known = {self.host, *hosts, *self.members_by_host}
        self.fleet_size.record(len(known), now)

    def retry_usages(self) -> Iterator[tuple[bytes, float]]:
        """Yield the other hosts' retry usages, and when each was heard."""
        for member in self.members_by_host.values():
            if not member.is_introduced and member.host not in self.former_by_host:
                yield member.heartbeat.retry_usage, member.received_at
        for former in self.former_by_host.values():
            if former.retry_usage is not None:
                yield former.retry_usage, former.heard_at

    def remove_expired(self, now: float) -> list[str]:
        """Remove hosts and addresses that expired; return the hosts' names."""
        expired = [
            host
            for host, member in self.members_by_host.items()
            if now - member.seen_at >= MEMBER_EXPIRY_SECONDS
        ]
        for host in expired:
            member = self.members_by_host.pop(host)
            self._keep_former(member)
            self.members_by_id.pop(member.id, None)
            self.ips_by_host.pop(host, None)
        for host, added_at in list(self._added_at_by_host.items()):
            if host in self.members_by_host or host in expired:
                del self._added_at_by_host[host]
            elif now - added_at >= MEMBER_EXPIRY_SECONDS:
                del self._added_at_by_host[host]
                self.ips_by_host.pop(host, None)
        for host, former in list(self.former_by_host.items()):
            if now - former.heard_at >= FORMER_SECONDS:
                del self.former_by_host[host]
        if expired:
            self._counted_at = -1.0
        return expired

    def _keep_former(self, member: Member) -> None:
        """Keep the usage of a process that is gone or was replaced."""
        heartbeat = member.heartbeat
        if not member.is_introduced and not heartbeat.asks_former_usage:
            former = FormerProcess(heartbeat.retry_usage, member.received_at)
            self.former_by_host[member.host] = former
        elif member.host not in self.former_by_host:
            self.former_by_host[member.host] = FormerProcess(None, member.seen_at)

    def _add(self, member: Member) -> None:
        previous = self.members_by_host.get(member.host)
        if previous is not None:
            self._keep_former(previous)
            self.members_by_id.pop(previous.id, None)
        self.members_by_host[member.host] = member
        self.members_by_id[member.id] = member
        self.ips_by_host[member.host] = member.heartbeat.ip
        self._counted_at = -1.0


def _heartbeat_of(introduction: Introduction) -> Heartbeat:
    """Return a heartbeat without any knowledge of the store or upstreams."""
    return Heartbeat(
        host=introduction.host,
        incarnation=introduction.incarnation,
        ip=introduction.ip,
        availability_zone=introduction.availability_zone,
        state=introduction.state,
        confirmed_store_seconds=0.0,
        row_versions=(),
        is_store_answering=True,
        store_back_seconds=0.0,
        loads_by_engine={},
        ips_by_host={},
        engines_by_prefix_key={},
        engines_by_broken_request={},
    )
