"""Remember which processes of upstreams said that they are leaving.

An upstream that leaves says so in its answers, often before its entry in the
store changes. It gets no new requests from then on, whatever the store lists:
an entry may be written late, lapse in an outage, or return with an older copy
of the store. A new process with the same id or address is not affected.
"""

import hashlib
import struct
from collections import OrderedDict, deque

from attrs import define, field, frozen

from .engines import Engine

DEPARTURE = struct.Struct("<Q")
# Bounds memory: some hundred bytes per process.
MAX_DEPARTURES = 8192
# A departure is passed on to peers for this long after it became known, in
# which most hosts of a large fleet hear of it.
RELAYED_SECONDS = 1.5
MAX_RELAYED = 64
# A process without a time of start cannot be told from the next one with its
# id, so it counts as leaving only for this long.
UNKNOWN_PROCESS_SECONDS = 60.0


@frozen
class Departure:
    """Record when this host learnt that a process is leaving."""

    key: int
    learnt_at: float


def process_key(engine: Engine) -> int:
    """Return a number of 64 bits that identifies an upstream's process."""
    text = f"{engine.engine_id} {engine.born_ms}".encode()
    digest = hashlib.blake2b(text, digest_size=DEPARTURE.size).digest()
    return int.from_bytes(digest, "little")


@define
class Departures:
    """Keep the processes that are leaving, and pass on the newest ones."""

    _learnt_at_by_key: OrderedDict[int, float] = field(factory=OrderedDict)
    _newest: deque[Departure] = field(factory=lambda: deque(maxlen=MAX_RELAYED))

    def record(self, engine: Engine, now: float) -> bool:
        """Record that a process is leaving; return whether that is news."""
        return self._record(process_key(engine), now)

    def contains(self, engine: Engine, now: float) -> bool:
        """Return whether a process said that it is leaving."""
        if not self._learnt_at_by_key:
            return False
        learnt_at = self._learnt_at_by_key.get(process_key(engine))
        if learnt_at is None:
            return False
        return bool(engine.born_ms) or now - learnt_at < UNKNOWN_PROCESS_SECONDS

    def pack_news(self, now: float) -> bytes:
        """Encode the departures of the last moments for peers."""
        return b"".join(
            DEPARTURE.pack(each.key)
            for each in self._newest
            if now - each.learnt_at < RELAYED_SECONDS
        )

    def merge_news(self, packed: bytes, now: float) -> bool:
        """Record what a peer passes on; return whether any of it is news."""
        news = [self._record(key, now) for (key,) in DEPARTURE.iter_unpack(packed)]
        return any(news)

    def _record(self, key: int, now: float) -> bool:
        if key in self._learnt_at_by_key:
            return False
        self._learnt_at_by_key[key] = now
        self._newest.append(Departure(key, now))
        if len(self._learnt_at_by_key) > MAX_DEPARTURES:
            self._learnt_at_by_key.popitem(last=False)
        return True
