"""Detect requests that crash the upstreams that run them.

A request that has ended several processes of upstreams is quarantined: it is
sent to none any more. Hosts pass on which processes a request ended, and keep
reminding one another of the quarantined ones. So a process that starts, or was
cut off, hears of them with its first heartbeats.
"""

import enum
import hashlib
import random
import struct
from collections import OrderedDict, deque
from collections.abc import Iterator

from attrs import define, field, frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS
from .calls import Call
from .departures import process_key
from .engines import Engine

# A request that ended this many processes is not sent again; fewer may be
# coincidental failures of the upstreams.
POISON_THRESHOLD = 3
# Callers that retry such a request do so within this time.
POISON_SECONDS = 600.0
# The end of a process is passed on to peers for this long after it became
# known, in which most hosts of a large fleet hear of it.
RELAYED_SECONDS = 1.5
# Bounds memory: some hundred bytes per request. Every upstream that fails
# breaks off many harmless requests, which must not displace the others.
MAX_SUSPECTS = 4096
MAX_REPEATED_SUSPECTS = 1024
# Bounds a heartbeat: together below a kilobyte.
MAX_RELAYED = 32
MAX_REMINDERS = 16
FINGERPRINT_BYTES = 8
PROCESS_KEY_MASK = 0xFFFFFFFF
NEWS = struct.Struct(f"<{FINGERPRINT_BYTES}sBIH")
MAX_AGE = 0xFFFF


class NewsKind(enum.IntEnum):
    """List what hosts tell one another of a request."""

    ENDED_PROCESS = 0
    QUARANTINED = 1


@frozen
class EndedProcess:
    """Record that a request ended a process; ``at`` is on the boot clock."""

    fingerprint: bytes
    process_key: int
    at: float


@define
class Suspect:
    """Hold which processes a request ended, and since when it is refused."""

    ended_at_by_process_key: dict[int, float] = field(factory=dict)
    quarantined_at: float | None = None

    @property
    def is_repeated(self) -> bool:
        """Return whether one failing upstream alone does not explain it."""
        return self.quarantined_at is not None or len(self.ended_at_by_process_key) > 1

    @property
    def changed_at(self) -> float:
        """Return when the last process ended, or the quarantine began."""
        ends = self.ended_at_by_process_key.values()
        return max((*ends, self.quarantined_at or 0.0))


def fingerprint_of(call: Call) -> bytes | None:
    """Return a hash that identifies a request when it is sent again.

    Return None for requests without a body, which many callers repeat.
    """
    if not call.body:
        return None
    workspace = call.workspace.name if call.workspace else ""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (workspace.encode(), call.head.target.encode(), call.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


@define
class PoisonTracker:
    """Count the processes that each request ended, on all hosts."""

    rng: random.Random = field(factory=random.Random)
    _suspects_by_fingerprint: OrderedDict[bytes, Suspect] = field(factory=OrderedDict)
    _repeated_by_fingerprint: OrderedDict[bytes, Suspect] = field(factory=OrderedDict)
    _newest: deque[EndedProcess] = field(
        factory=lambda: deque(maxlen=MAX_SUSPECTS), init=False
    )

    def record_own(self, fingerprint: bytes, engine: Engine, now: float) -> bool:
        """Record that a request of this host ended an upstream's process.

        Return whether the request is quarantined from now on.
        """
        key = process_key(engine) & PROCESS_KEY_MASK
        return self.record(EndedProcess(fingerprint, key, now))

    def record(self, ended: EndedProcess) -> bool:
        """Record what this host or a peer saw; return whether to quarantine.

        The answer is true only once, when the quarantine begins.
        """
        suspect = self._find(ended.fingerprint)
        if ended.process_key in suspect.ended_at_by_process_key:
            return False
        suspect.ended_at_by_process_key[ended.process_key] = ended.at
        self._newest.append(ended)
        is_new = (
            suspect.quarantined_at is None
            and len(suspect.ended_at_by_process_key) >= POISON_THRESHOLD
        )
        if is_new:
            suspect.quarantined_at = ended.at
        self._keep(ended.fingerprint, suspect)
        return is_new

    def is_poisonous(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request is quarantined."""
        suspect = self._repeated_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.quarantined_at is None:
            return False
        return now - suspect.quarantined_at < POISON_SECONDS

    def pack_news(self, now: float) -> bytes:
        """Encode recent ends of processes, and reminders, for peers."""
        return b"".join((*self._pack_ended(now), *self._pack_reminders(now)))

    def merge_news(self, packed: bytes, now: float) -> list[bytes]:
        """Record a peer's news; return the requests quarantined by them."""
        quarantined = []
        for fingerprint, kind, key, age in NEWS.iter_unpack(packed):
            at = now - HOP_SECONDS - age * AGE_UNIT_SECONDS
            if kind == NewsKind.ENDED_PROCESS:
                is_new = self.record(EndedProcess(fingerprint, key, at))
            elif kind == NewsKind.QUARANTINED:
                is_new = self._quarantine(fingerprint, at)
            else:
                # A newer build may tell more.
                continue
            if is_new:
                quarantined.append(fingerprint)
        return quarantined

    def expire(self, now: float) -> None:
        """Forget requests that have ended no process for a long time."""
        oldest = now - POISON_SECONDS
        for suspects_by_fingerprint in (
            self._suspects_by_fingerprint,
            self._repeated_by_fingerprint,
        ):
            while suspects_by_fingerprint:
                fingerprint, suspect = next(iter(suspects_by_fingerprint.items()))
                if suspect.changed_at > oldest:
                    break
                del suspects_by_fingerprint[fingerprint]

    def _find(self, fingerprint: bytes) -> Suspect:
        return (
            self._repeated_by_fingerprint.get(fingerprint)
            or self._suspects_by_fingerprint.get(fingerprint)
            or Suspect()
        )

    def _keep(self, fingerprint: bytes, suspect: Suspect) -> None:
        """Keep a changed suspect as the newest one of its kind."""
        suspects, limit = self._suspects_by_fingerprint, MAX_SUSPECTS
        if suspect.is_repeated:
            suspects.pop(fingerprint, None)
            suspects, limit = self._repeated_by_fingerprint, MAX_REPEATED_SUSPECTS
        suspects[fingerprint] = suspect
        suspects.move_to_end(fingerprint)
        if len(suspects) > limit:
            suspects.popitem(last=False)

    def _quarantine(self, fingerprint: bytes, at: float) -> bool:
        suspect = self._find(fingerprint)
        if suspect.quarantined_at is not None:
            return False
        suspect.quarantined_at = at
        self._keep(fingerprint, suspect)
        return True

    def _pack_ended(self, now: float) -> Iterator[bytes]:
        recent = []
        for ended in reversed(self._newest):
            if now - ended.at >= RELAYED_SECONDS:
                break
            recent.append(ended)
        # Those of which other hosts may know a part come first.
        recent.sort(
            key=lambda ended: ended.fingerprint not in self._repeated_by_fingerprint
        )
        for ended in recent[:MAX_RELAYED]:
            yield NEWS.pack(
                ended.fingerprint,
                NewsKind.ENDED_PROCESS,
                ended.process_key,
                _encode_age(now - ended.at),
            )

    def _pack_reminders(self, now: float) -> Iterator[bytes]:
        quarantined = [
            (fingerprint, suspect.quarantined_at)
            for fingerprint, suspect in self._repeated_by_fingerprint.items()
            if suspect.quarantined_at is not None
        ]
        if len(quarantined) > MAX_REMINDERS:
            quarantined = self.rng.sample(quarantined, MAX_REMINDERS)
        for fingerprint, at in quarantined:
            age = _encode_age(now - at)
            yield NEWS.pack(fingerprint, NewsKind.QUARANTINED, 0, age)


def _encode_age(seconds: float) -> int:
    """Return an age as a number of two bytes, rounded up."""
    return min(MAX_AGE, max(0, int(seconds / AGE_UNIT_SECONDS) + 1))
