"""Track the other hosts of the fleet by their heartbeats."""

import enum
from collections.abc import Mapping

from attrs import define, field, frozen

# A host counts as recent, and callers may be sent to it, for this long after
# its last heartbeat. One lost datagram does not remove the host, because this
# is several intervals.
ADVERTISED_SECONDS = 1.4
# A silent host keeps its share of the fleet's budgets for this long, because
# it may be disconnected from this host and still send requests.
MEMBER_EXPIRY_SECONDS = 12.0


class MemberState(enum.IntEnum):
    """Define whether a host accepts calls."""

    STARTING = 0
    SERVING = 1
    UNCONFIRMED = 2
    LEAVING = 3


@frozen
class Heartbeat:
    """Describe a host, and the hosts and upstreams that it knows.

    ``incarnation`` changes with each start of the host's process.
    ``confirmed_store_seconds`` is when, on the store's clock, the host's
    configuration was last confirmed; ``row_versions`` are the versions of the
    newest rows that the host has of each followed table.
    ``is_store_answering`` is false while the host asks the store and gets no
    answer, and ``store_back_seconds`` is when, on the store's clock, the
    store's last outage ended, 0 if none was observed.
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
    """Hold a host's last heartbeat.

    ``received_at`` is on the boot clock.
    """

    heartbeat: Heartbeat
    received_at: float


@define
class Members:
    """Track the other hosts and their addresses by name."""

    host: str
    members_by_host: dict[str, Member] = field(factory=dict)
    ips_by_host: dict[str, str] = field(factory=dict)
    _added_at_by_host: dict[str, float] = field(factory=dict)

    def update(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if it is this host's own."""
        if heartbeat.host == self.host:
            return False
        self.members_by_host[heartbeat.host] = Member(heartbeat, now)
        self.ips_by_host[heartbeat.host] = heartbeat.ip
        for host, ip in heartbeat.ips_by_host.items():
            self.add_address(host, ip, now)
        return True

    def add_address(self, host: str, ip: str, now: float) -> None:
        """Add a host's address from another source than the host itself.

        An address that is already known is kept.
        """
        if host != self.host and host not in self.ips_by_host:
            self.ips_by_host[host] = ip
            self._added_at_by_host[host] = now

    def recent(self, now: float) -> list[Member]:
        """Return the hosts whose last heartbeat is recent."""
        return [
            member
            for member in self.members_by_host.values()
            if now - member.received_at < ADVERTISED_SECONDS
        ]

    def count(self, now: float) -> int:
        """Return how many hosts share the budgets, including this one."""
        sharing = sum(
            member.heartbeat.state is not MemberState.LEAVING
            and now - member.received_at < MEMBER_EXPIRY_SECONDS
            for member in self.members_by_host.values()
        )
        return 1 + sharing

    def remove_expired(self, now: float) -> list[str]:
        """Remove hosts and addresses that expired; return the hosts' names."""
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
