"""Choose the few hosts that read the platform's store for all the others."""

import functools
import heapq
import random
import zlib
from collections.abc import Sequence

from attrs import define, field, frozen

from .members import Heartbeat, Member, MemberState

# With one reader cut off and one stopping, a third still reads.
READER_COUNT = 3
# Peers confirm the configuration more often than this. A host that receives
# no confirmation for longer reads the store itself.
CONFIRMATION_TIMEOUT_SECONDS = 2.8
# Mean pause between the reads of such a host in a fleet of up to
# FALLBACK_HOSTS hosts. It grows with the number of hosts that were seen
# recently, which limits the fleet's calls in an outage of the store: then no
# host receives a confirmation, and the readers detect the store's return.
FALLBACK_READ_SECONDS = 1.5
FALLBACK_HOSTS = 12
# A host that has just started asks its peers first. Running seeds answer its
# first heartbeat within this time, which ends before the second check whether
# to read.
MEETING_SECONDS = 0.08
# When the whole fleet starts for the first time, no caller waits yet, and slow
# hosts take longer to start.
FIRST_MEETING_SECONDS = 0.7
# If no peer has sent it the routing state by then, it reads the store itself.
PEER_STATE_SECONDS = 1.2


@frozen
class Candidate:
    """Describe a host that may read the store."""

    host: str
    state: MemberState
    is_store_answering: bool


def choose_readers(
    hosts: Sequence[Candidate | Member | Heartbeat],
) -> frozenset[str]:
    """Return the names of the hosts that read the store, given recent ones.

    Hosts are ranked by a hash of their names, and the first ones read. If the
    store does not answer one of these, the next ones read as well; the first
    keep trying, which detects the store's return.
    """
    ranked = heapq.nsmallest(
        2 * READER_COUNT,
        (each for each in hosts if each.state is not MemberState.LEAVING),
        key=_rank,
    )
    first = ranked[:READER_COUNT]
    if not all(each.is_store_answering for each in first):
        first = ranked
    return frozenset(each.host for each in first)


def _rank(each: Candidate | Member | Heartbeat) -> tuple[int, str]:
    return _hash_name(each.host), each.host


@functools.lru_cache(maxsize=4096)
def _hash_name(host: str) -> int:
    return zlib.crc32(host.encode())


@define
class ReadScheduler:
    """Decide when a host reads one table from the store."""

    host: str
    rng: random.Random = field(factory=random.Random)
    meeting_seconds: float = MEETING_SECONDS
    _next_read_at: float = 0.0
    _started_at: float | None = None

    def is_due(
        self,
        hosts: Sequence[Candidate | Member | Heartbeat],
        age: float | None,
        now: float,
    ) -> bool:
        """Return whether to read now.

        ``hosts`` are those that were seen recently, with this one. ``age`` is
        that of the last confirmation, None if there is none: a host that has
        just started asks its peers first. A host that is no reader waits for
        its peers until the age exceeds ``CONFIRMATION_TIMEOUT_SECONDS``.
        """
        if age is None and not self._has_waited(hosts, now):
            return False
        if age is None or self.host in choose_readers(hosts):
            return True
        if age <= CONFIRMATION_TIMEOUT_SECONDS or now < self._next_read_at:
            return False
        pause = FALLBACK_READ_SECONDS * max(1.0, len(hosts) / FALLBACK_HOSTS)
        self._next_read_at = now + pause * self.rng.uniform(0.7, 1.3)
        return True

    def _has_waited(
        self, hosts: Sequence[Candidate | Member | Heartbeat], now: float
    ) -> bool:
        """Return whether a host without any state should read the store."""
        if self._started_at is None:
            self._started_at = now
        waited = now - self._started_at
        if waited < self.meeting_seconds:
            return False
        return self.host in choose_readers(hosts) or waited >= PEER_STATE_SECONDS
