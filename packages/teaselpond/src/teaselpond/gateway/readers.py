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
# Mean pause between the reads of such a host. It limits the calls in an outage
# of the store, when no host receives a confirmation.
FALLBACK_READ_SECONDS = 1.5


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
    _next_read_at: float = 0.0

    def is_due(
        self,
        hosts: Sequence[Candidate | Member | Heartbeat],
        age: float | None,
        now: float,
    ) -> bool:
        """Return whether to read now.

        ``hosts`` are those that were seen recently, with this one. ``age`` is
        that of the last confirmation, None if there is none. A host that is no
        reader waits for its peers until the age exceeds
        ``CONFIRMATION_TIMEOUT_SECONDS``.
        """
        if age is None or self.host in choose_readers(hosts):
            return True
        if age <= CONFIRMATION_TIMEOUT_SECONDS or now < self._next_read_at:
            return False
        self._next_read_at = now + FALLBACK_READ_SECONDS * self.rng.uniform(0.7, 1.3)
        return True
