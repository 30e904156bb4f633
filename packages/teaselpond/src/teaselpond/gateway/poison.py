"""Detect requests that crash the upstreams that run them.

A request that has ended several processes of upstreams, one after another, is
quarantined: it is sent to none any more. Many callers may send the same one,
so processes that end together count once, and a whole answer clears it.

Hosts pass on which processes a request ended and whether it was answered, and
keep reminding one another of the quarantined ones. So a process that starts,
or was cut off, hears of them with its first heartbeats.
"""

import enum
import hashlib
import math
import random
import struct
from collections import OrderedDict, deque
from collections.abc import Iterator

from attrs import define, field, frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_long_age
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
# Hosts that missed the answer remind others of the quarantine. They are told
# of the answer for this long.
CLEARED_SECONDS = 60.0
# Two hosts may disagree by this much on the times of an event.
TIME_ERROR_SECONDS = 0.05
FINGERPRINT_BYTES = 8
PROCESS_KEY_MASK = 0xFFFFFFFF
NEWS = struct.Struct(f"<{FINGERPRINT_BYTES}sBIHH")


class NewsKind(enum.IntEnum):
    """List what hosts tell one another of a request."""

    ENDED_PROCESS = 0
    QUARANTINED = 1
    CLEARED = 2


@frozen
class EndedProcess:
    """Record that a request ended a process, and when it was sent to it.

    Times are on the boot clock.
    """

    fingerprint: bytes
    process_key: int
    sent_at: float
    at: float


@define
class Suspect:
    """Hold which processes a request ended, and since when it is refused.

    ``quarantined_at`` is when the last of them ended, None if too few did.
    ``cleared_at`` is when it was last answered. ``is_repeated`` is true once
    one failing upstream alone did not explain what was seen of it.
    """

    ended_by_process_key: dict[int, EndedProcess] = field(factory=dict)
    quarantined_at: float | None = None
    cleared_at: float | None = None
    is_repeated: bool = False

    @property
    def changed_at(self) -> float:
        """Return the time of the last event."""
        ends = (ended.at for ended in self.ended_by_process_key.values())
        return max((*ends, self.quarantined_at or 0.0, self.cleared_at or 0.0))

    def is_older_than_answer(self, at: float) -> bool:
        """Return whether the request was answered after a time."""
        return self.cleared_at is not None and at <= self.cleared_at

    def count_ends(self) -> int:
        """Return how many processes ended, each after the one before it.

        A request is sent to the next process after the last one ended;
        processes that end at once have another cause.
        """
        count = 0
        last_at = -math.inf
        for ended in sorted(
            self.ended_by_process_key.values(), key=lambda ended: ended.at
        ):
            if ended.sent_at > last_at - TIME_ERROR_SECONDS:
                count += 1
                last_at = ended.at
        return count

    def clear(self, at: float) -> None:
        """Forget what was seen before a whole answer."""
        self.cleared_at = at
        self.ended_by_process_key = {
            key: ended
            for key, ended in self.ended_by_process_key.items()
            if ended.at > at
        }
        if self.quarantined_at is not None and self.quarantined_at <= at:
            self.quarantined_at = None


@frozen
class QuarantineChange:
    """Report a request that is refused from now on, or no longer."""

    fingerprint: bytes
    is_quarantined: bool


def fingerprint_of(call: Call) -> bytes:
    """Return a hash that identifies a request when it is sent again."""
    workspace = call.workspace.name if call.workspace else ""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        workspace.encode(),
        call.head.method.encode(),
        call.head.target.encode(),
        call.body,
    ):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


@define
class PoisonTracker:
    """Count the processes that each request ended, on all hosts.

    ``own_changes`` are the quarantines that began or ended by what this host
    saw itself, until they are taken out.
    """

    rng: random.Random = field(factory=random.Random)
    own_changes: deque[QuarantineChange] = field(
        factory=lambda: deque(maxlen=MAX_REPEATED_SUSPECTS)
    )
    _suspects_by_fingerprint: OrderedDict[bytes, Suspect] = field(factory=OrderedDict)
    _repeated_by_fingerprint: OrderedDict[bytes, Suspect] = field(factory=OrderedDict)
    _newest: deque[EndedProcess] = field(
        factory=lambda: deque(maxlen=MAX_SUSPECTS), init=False
    )
    _newest_cleared: deque[bytes] = field(
        factory=lambda: deque(maxlen=MAX_SUSPECTS), init=False
    )

    def record_own(
        self, fingerprint: bytes, engine: Engine, sent_at: float, now: float
    ) -> bool:
        """Record that a request of this host ended an upstream's process.

        Return whether the request is quarantined from now on.
        """
        key = process_key(engine) & PROCESS_KEY_MASK
        is_new = self.record(EndedProcess(fingerprint, key, sent_at, now))
        if is_new:
            self.own_changes.append(QuarantineChange(fingerprint, True))
        return is_new

    def record(self, ended: EndedProcess) -> bool:
        """Record what this host or a peer saw; return whether to quarantine.

        Return true only once, when the quarantine begins. A process that ends
        later prolongs it.
        """
        suspect = self._find(ended.fingerprint) or Suspect()
        if (
            ended.process_key in suspect.ended_by_process_key
            or suspect.is_older_than_answer(ended.at)
        ):
            return False
        suspect.ended_by_process_key[ended.process_key] = ended
        self._newest.append(ended)
        is_new = (
            suspect.quarantined_at is None and suspect.count_ends() >= POISON_THRESHOLD
        )
        if is_new or suspect.quarantined_at is not None:
            suspect.quarantined_at = max(ended.at, suspect.quarantined_at or 0.0)
        self._keep(ended.fingerprint, suspect)
        return is_new

    def record_answer(self, fingerprint: bytes, now: float) -> bool:
        """Record a whole answer; return whether that ends a quarantine."""
        is_new = self._clear(fingerprint, now)
        if is_new:
            self.own_changes.append(QuarantineChange(fingerprint, False))
        return is_new

    def quarantine(self, fingerprint: bytes, at: float) -> bool:
        """Quarantine a request since a time; return whether that is news."""
        suspect = self._find(fingerprint) or Suspect()
        if suspect.quarantined_at is not None or suspect.is_older_than_answer(at):
            return False
        suspect.quarantined_at = at
        self._keep(fingerprint, suspect)
        return True

    def is_poisonous(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request is quarantined."""
        suspect = self._repeated_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.quarantined_at is None:
            return False
        return now - suspect.quarantined_at < POISON_SECONDS

    def pack_news(self, now: float) -> bytes:
        """Encode recent events, and reminders of older ones, for peers."""
        return b"".join((*self._pack_recent(now), *self._pack_reminders(now)))

    def merge_news(self, packed: bytes, now: float) -> list[QuarantineChange]:
        """Record a peer's news; return what is refused, or served, by them."""
        changes = []
        heard_at = now - HOP_SECONDS
        for fingerprint, kind, key, age, sent_age in NEWS.iter_unpack(packed):
            at = heard_at - age * AGE_UNIT_SECONDS
            if kind == NewsKind.ENDED_PROCESS:
                sent_at = heard_at - sent_age * AGE_UNIT_SECONDS
                is_new = self.record(EndedProcess(fingerprint, key, sent_at, at))
            elif kind == NewsKind.QUARANTINED:
                is_new = self.quarantine(fingerprint, at)
            elif kind == NewsKind.CLEARED:
                is_new = self._clear(fingerprint, at)
            else:
                # A newer build may tell more.
                continue
            if is_new:
                is_quarantined = kind != NewsKind.CLEARED
                changes.append(QuarantineChange(fingerprint, is_quarantined))
        return changes

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

    def _find(self, fingerprint: bytes) -> Suspect | None:
        suspect = self._repeated_by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = self._suspects_by_fingerprint.get(fingerprint)
        return suspect

    def _keep(self, fingerprint: bytes, suspect: Suspect) -> None:
        """Keep a changed suspect as the newest one of its kind."""
        suspect.is_repeated |= (
            suspect.quarantined_at is not None or len(suspect.ended_by_process_key) > 1
        )
        suspects, limit = self._suspects_by_fingerprint, MAX_SUSPECTS
        if suspect.is_repeated:
            suspects.pop(fingerprint, None)
            suspects, limit = self._repeated_by_fingerprint, MAX_REPEATED_SUSPECTS
        suspects[fingerprint] = suspect
        suspects.move_to_end(fingerprint)
        if len(suspects) > limit:
            suspects.popitem(last=False)

    def _clear(self, fingerprint: bytes, at: float) -> bool:
        """Clear a request that is known to have ended processes."""
        suspect = self._find(fingerprint)
        if suspect is None or suspect.is_older_than_answer(at):
            return False
        if not suspect.ended_by_process_key and suspect.quarantined_at is None:
            return False
        was_quarantined = suspect.quarantined_at is not None
        suspect.clear(at)
        self._newest_cleared.append(fingerprint)
        self._keep(fingerprint, suspect)
        return was_quarantined and suspect.quarantined_at is None

    def _pack_recent(self, now: float) -> Iterator[bytes]:
        """Encode recent events, of suspects that ended several first."""
        oldest = now - RELAYED_SECONDS
        recent: list[tuple[bool, bytes]] = []
        for fingerprint in reversed(self._newest_cleared):
            suspect = self._find(fingerprint)
            if suspect is None or suspect.cleared_at is None:
                continue
            if suspect.cleared_at <= oldest:
                break
            item = _pack(fingerprint, NewsKind.CLEARED, now - suspect.cleared_at)
            recent.append((suspect.is_repeated, item))
        for ended in reversed(self._newest):
            if ended.at <= oldest:
                break
            item = _pack(
                ended.fingerprint,
                NewsKind.ENDED_PROCESS,
                now - ended.at,
                ended.process_key,
                now - ended.sent_at,
            )
            is_repeated = ended.fingerprint in self._repeated_by_fingerprint
            recent.append((is_repeated, item))
        recent.sort(key=lambda each: not each[0])
        for _, item in recent[:MAX_RELAYED]:
            yield item

    def _pack_reminders(self, now: float) -> Iterator[bytes]:
        reminders = []
        for fingerprint, suspect in self._repeated_by_fingerprint.items():
            if suspect.quarantined_at is not None:
                age = now - suspect.quarantined_at
                reminders.append(_pack(fingerprint, NewsKind.QUARANTINED, age))
            elif (
                suspect.cleared_at is not None
                and now - suspect.cleared_at < CLEARED_SECONDS
            ):
                age = now - suspect.cleared_at
                reminders.append(_pack(fingerprint, NewsKind.CLEARED, age))
        if len(reminders) > MAX_REMINDERS:
            reminders = self.rng.sample(reminders, MAX_REMINDERS)
        yield from reminders


def _pack(
    fingerprint: bytes,
    kind: NewsKind,
    age: float,
    process_key: int = 0,
    sent_age: float = 0.0,
) -> bytes:
    return NEWS.pack(
        fingerprint, kind, process_key, encode_long_age(age), encode_long_age(sent_age)
    )
