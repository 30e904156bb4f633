"""Choose the hosts that follow the platform's store for the others."""

import random
import zlib
from collections.abc import Sequence

from attrs import define, field

from .members import Heartbeat, MemberState

# One reader may be cut off and one may be stopping; the third still tells.
READER_COUNT = 3
# Peers confirm the configuration more often than this; a host that hears no
# word of the store for longer asks the store itself.
CONFIRMATION_TIMEOUT_SECONDS = 2.2
# How long such a host waits between its questions, so that an outage of the
# store does not bring the calls of every host.
ASK_ANYWAY_SECONDS = 1.5


def choose_readers(beats: Sequence[Heartbeat]) -> frozenset[str]:
    """Return the hosts that read the store, of those heard lately.

    The first hosts by a hash read, even while the store gives them no answer,
    so that its return is seen; as many others stand in for them meanwhile.
    """
    ranked = sorted(
        (
            heartbeat
            for heartbeat in beats
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
    """Decide when a host asks the store about one table."""

    host: str
    chance: random.Random = field(factory=random.Random)
    _ask_at: float = 0.0

    def is_due(self, beats: Sequence[Heartbeat], age: float | None, now: float) -> bool:
        """Tell whether to ask now, by the age of the last confirmation."""
        if age is None or self.host in choose_readers(beats):
            return True
        if age <= CONFIRMATION_TIMEOUT_SECONDS or now < self._ask_at:
            return False
        self._ask_at = now + ASK_ANYWAY_SECONDS * self.chance.uniform(0.7, 1.3)
        return True
