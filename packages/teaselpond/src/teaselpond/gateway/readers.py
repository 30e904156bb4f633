"""Choose the few hosts that read the platform's store for all the others."""

import random
import zlib
from collections.abc import Sequence

from attrs import define, field

from .members import Heartbeat, MemberState

# With one reader cut off and one stopping, a third still reads.
READER_COUNT = 3
# Peers confirm the configuration more often than this. A host that receives
# no confirmation for longer reads the store itself.
CONFIRMATION_TIMEOUT_SECONDS = 2.2
# Mean pause between the reads of such a host. It limits the calls in an outage
# of the store, when no host receives a confirmation.
FALLBACK_READ_SECONDS = 1.5


def choose_readers(heartbeats: Sequence[Heartbeat]) -> frozenset[str]:
    """Return the hosts that read the store, given recent heartbeats.

    Hosts are ranked by a hash of their names, and the first ones read. If the
    store does not answer one of these, the next ones read as well; the first
    keep trying, which detects the store's return.
    """
    ranked = sorted(
        (
            heartbeat
            for heartbeat in heartbeats
            if heartbeat.state is not MemberState.LEAVING
        ),
        key=lambda heartbeat: (zlib.crc32(heartbeat.host.encode()), heartbeat.host),
    )
    first = ranked[:READER_COUNT]
    if not all(heartbeat.is_store_answering for heartbeat in first):
        first = ranked[: 2 * READER_COUNT]
    return frozenset(heartbeat.host for heartbeat in first)


@define
class ReadScheduler:
    """Decide when a host reads one table from the store."""

    host: str
    rng: random.Random = field(factory=random.Random)
    _next_read_at: float = 0.0

    def is_due(
        self, heartbeats: Sequence[Heartbeat], age: float | None, now: float
    ) -> bool:
        """Return whether to read now.

        ``age`` is that of the last confirmation, None if there is none. A
        host that is no reader waits for its peers until the age exceeds
        ``CONFIRMATION_TIMEOUT_SECONDS``.
        """
        if age is None or self.host in choose_readers(heartbeats):
            return True
        if age <= CONFIRMATION_TIMEOUT_SECONDS or now < self._next_read_at:
            return False
        self._next_read_at = now + FALLBACK_READ_SECONDS * self.rng.uniform(0.7, 1.3)
        return True
