"""Know the other hosts of the fleet by what they say of themselves."""

import enum
from collections.abc import Mapping

from attrs import define, field, frozen

# A host is told to callers for this long after it was heard: several beats,
# so that one lost datagram does not take a host out.
ADVERTISED_SECONDS = 1.4
# A host that is not heard keeps its share of the fleet's budgets for this
# long, because it may be cut off from here and still send.
MEMBER_EXPIRY_SECONDS = 12.0


class MemberState(enum.IntEnum):
    """Tell whether a host takes callers."""

    STARTING = 0
    SERVING = 1
    UNCONFIRMED = 2
    LEAVING = 3


@frozen
class Heartbeat:
    """Hold what a host says of itself, the hosts and upstreams it knows.

    ``incarnation`` is another one after each start of the host's process.
    ``confirmed_store_seconds`` is when, on the store's clock, the host's
    configuration was confirmed last; ``row_versions`` are those of the newest
    rows that it knows of each followed table. ``is_store_answering`` is false
    while the host asks the store and gets no answer, and
    ``store_back_seconds`` is when, on its own clock, it last came back from
    an outage, 0 if none was seen.
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


@frozen
class Member:
    """Hold a host as last heard; ``heard_at`` on the boot clock."""

    heartbeat: Heartbeat
    received_at: float


@define
class Members:
    """Keep the other hosts, by their names."""

    host: str
    members_by_host: dict[str, Member] = field(factory=dict)
    ips_by_host: dict[str, str] = field(factory=dict)
    _added_at_by_host: dict[str, float] = field(factory=dict)

    def update(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a beat of another host; tell if it is one."""
        if heartbeat.host == self.host:
            return False
        self.members_by_host[heartbeat.host] = Member(heartbeat, now)
        self.ips_by_host[heartbeat.host] = heartbeat.ip
        for host, ip in heartbeat.ips_by_host.items():
            self.add_address(host, ip, now)
        return True

    def add_address(self, host: str, ip: str, now: float) -> None:
        """Take a host's address from elsewhere, if none is known."""
        if host != self.host and host not in self.ips_by_host:
            self.ips_by_host[host] = ip
            self._added_at_by_host[host] = now

    def recent(self, now: float) -> list[Member]:
        """Return the hosts heard of lately."""
        return [
            member
            for member in self.members_by_host.values()
            if now - member.received_at < ADVERTISED_SECONDS
        ]

    def count(self, now: float) -> int:
        """Return how many hosts share the budgets, this one among them."""
        sharing = sum(
            member.heartbeat.state is not MemberState.LEAVING
            and now - member.received_at < MEMBER_EXPIRY_SECONDS
            for member in self.members_by_host.values()
        )
        return 1 + sharing

    def remove_expired(self, now: float) -> list[str]:
        """Drop the hosts not heard of for long; return their names."""
        expired = [
            host
            for host, member in self.members_by_host.items()
            if now - member.received_at >= MEMBER_EXPIRY_SECONDS
        ]
        for host in expired:
            del self.members_by_host[host]
            self.ips_by_host.pop(host, None)
        for host, added_at in list(self._added_at_by_host.items()):
            if host in self.members_by_host or host in expired:
                del self._added_at_by_host[host]
            elif now - added_at >= MEMBER_EXPIRY_SECONDS:
                del self._added_at_by_host[host]
                self.ips_by_host.pop(host, None)
        return expired
