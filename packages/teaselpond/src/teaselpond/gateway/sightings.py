"""Pass on when other hosts were last seen.

Heartbeats go to a few hosts each round, so that in a large fleet most hosts
hear of one another only through others. A sighting is 6 bytes: the id of a
host's process, its state and the age of its newest heartbeat.
"""

import heapq
import random
import struct
from collections.abc import Sequence
from operator import attrgetter

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_age
from .members import ADVERTISED_SECONDS, Introduction, Member, Members, MemberState

SIGHTING = struct.Struct("<IBB")
# All hosts of a fleet of up to this size are in each heartbeat, and the newest
# of a larger one.
MAX_SIGHTINGS = 64
# Sightings up to this age are passed on. Older ones would rarely be news.
RELAYED_SECONDS = 1.0
STATE_MASK = 0b0011
ANSWERING_FLAG = 0b0100
# Processes that were learnt of within this time are introduced to others.
INTRODUCED_SECONDS = 1.5
# Beside the new ones, a few hosts are introduced to repair what was lost.
MAX_INTRODUCTIONS = 8
REPAIR_INTRODUCTIONS = 1
_STATES = tuple(MemberState)


def pack_sightings(members: Members, now: float) -> bytes:
    """Encode sightings of hosts that were seen recently."""
    oldest = now - RELAYED_SECONDS
    seen = [
        member for member in members.members_by_host.values() if member.seen_at > oldest
    ]
    if len(seen) > MAX_SIGHTINGS:
        # The newest are news to most hosts.
        seen = heapq.nlargest(MAX_SIGHTINGS, seen, key=attrgetter("seen_at"))
    return b"".join(
        SIGHTING.pack(
            member.id,
            member.state | (ANSWERING_FLAG if member.is_store_answering else 0),
            encode_age(now - member.seen_at),
        )
        for member in seen
    )


def apply_sightings(members: Members, packed: bytes, now: float) -> None:
    """Record a peer's sightings of known processes; ignore all others."""
    members_by_id = members.members_by_id
    heard_at = now - HOP_SECONDS
    for identity, flags, age in SIGHTING.iter_unpack(packed):
        member = members_by_id.get(identity)
        if member is None:
            continue
        seen_at = heard_at - age * AGE_UNIT_SECONDS
        if seen_at > member.seen_at:
            members.record_seen(member, seen_at)
            member.state = _STATES[flags & STATE_MASK]
            member.is_store_answering = bool(flags & ANSWERING_FLAG)


def choose_introductions(
    recent: Sequence[Member], rng: random.Random, now: float
) -> tuple[Introduction, ...]:
    """Return the hosts to introduce to peers: new ones, and a few others.

    ``recent`` are the hosts that were seen recently.
    """
    new = [member for member in recent if now - member.learnt_at < INTRODUCED_SECONDS]
    chosen = rng.sample(new, min(len(new), MAX_INTRODUCTIONS - REPAIR_INTRODUCTIONS))
    chosen += rng.sample(recent, min(len(recent), REPAIR_INTRODUCTIONS))
    return tuple(introduction_of(member, now) for member in chosen)


def introduction_of(member: Member, now: float) -> Introduction:
    """Return what to tell others about a host."""
    heartbeat = member.heartbeat
    return Introduction(
        heartbeat.host,
        heartbeat.incarnation,
        heartbeat.ip,
        heartbeat.availability_zone,
        member.state,
        round(min(ADVERTISED_SECONDS, max(0.0, now - member.seen_at)), 3),
    )
