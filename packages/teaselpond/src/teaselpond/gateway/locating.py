"""Choose the hosts whose addresses are returned to callers."""

import zlib
from collections.abc import Callable, Sequence

from .members import Heartbeat, Member, MemberState

# Callers that know only one host cannot switch to another when it fails.
MIN_HOSTS = 2
MAX_HOSTS = 64


def choose_hosts(
    own: Heartbeat,
    peers: Sequence[Member],
    caller_zone: str,
    choose_by_capacity: Callable[[Sequence[Heartbeat]], list[str] | None] | None = None,
) -> list[str]:
    """Return the IP addresses of hosts for callers of a zone.

    Hosts of the callers' availability zone come first. Others are added if
    these are too few. Hosts that cannot confirm their configuration are
    returned only if no host is serving. ``choose_by_capacity`` chooses among
    hosts that differ in size, and returns None for others. Its answer is not
    used if it has fewer than MIN_HOSTS hosts although there are more.
    """
    for state in (MemberState.SERVING, MemberState.UNCONFIRMED):
        usable = [member.heartbeat for member in peers if member.state is state]
        if own.state is state:
            usable.insert(0, own)
        if usable:
            chosen = choose_by_capacity(usable) if choose_by_capacity else None
            if chosen and len(chosen) >= min(MIN_HOSTS, len(usable)):
                return chosen
            return _nearest(usable, caller_zone)
    return []


def _nearest(heartbeats: Sequence[Heartbeat], caller_zone: str) -> list[str]:
    near = [
        heartbeat.ip
        for heartbeat in heartbeats
        if heartbeat.availability_zone == caller_zone
    ]
    if len(near) >= MIN_HOSTS:
        return near[:MAX_HOSTS]
    far = [
        heartbeat
        for heartbeat in heartbeats
        if heartbeat.availability_zone != caller_zone
    ]
    # Callers of different zones fall back to different hosts.
    far.sort(key=lambda heartbeat: hash_pair(caller_zone, heartbeat.host))
    return near + [heartbeat.ip for heartbeat in far[: MIN_HOSTS - len(near)]]


def hash_pair(zone: str, host: str) -> int:
    """Return a number that orders hosts differently for each zone."""
    return zlib.crc32(f"{zone} {host}".encode())
