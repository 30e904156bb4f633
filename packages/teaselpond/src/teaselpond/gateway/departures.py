"""Remember which processes of upstreams have left, or are about to.

An upstream that leaves says so in its answers or in its entry in the store, or
its entry is removed. It gets no new requests from then on, whatever the store
lists: an entry may be written late, lapse in an outage, or return with an
older copy of the store. A new process with the same id or address is not
affected.

Hosts remind one another of what a restored store may not know any more. A host
that starts then would take the store's entries for the truth.
"""

import enum
import hashlib
import itertools
import random
import struct
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import TypeVar

from attrs import define, field, frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_long_age
from .engines import Engine

DEPARTURE = struct.Struct("<Q")
REMINDER = struct.Struct("<BQQH")
# Bounds memory: some hundred bytes per process.
MAX_DEPARTURES = 8192
# A departure is passed on to peers for this long after it became known, in
# which most hosts of a large fleet hear of it.
RELAYED_SECONDS = 1.5
MAX_RELAYED = 64
# Hosts are reminded of departures for this long. A copy that the store returns
# to is some seconds old, and the entries in it lapse or are written again.
REMINDED_SECONDS = 30.0
# A heartbeat has this many reminders at most, chosen at random from the newest
# of each kind. A host receives some twenty heartbeats a second.
MAX_REMINDERS = 6
MAX_REMINDED = 128
# A process without a time of start cannot be told from the next one with its
# id, so it counts as leaving only for this long.
UNKNOWN_PROCESS_SECONDS = 60.0

T = TypeVar("T")


class ReminderKind(enum.IntEnum):
    """List what hosts remind one another of.

    LEFT: the process said that it leaves.
    REMOVED: its entry was removed, in an era of the store.
    OUTDATED: its entry up to a version is older than its departure.
    """

    LEFT = 0
    REMOVED = 1
    OUTDATED = 2


@frozen
class Departure:
    """Record when this host learnt that a process is leaving."""

    key: int
    learnt_at: float


@frozen
class Removal:
    """Record in which era of the store, and when, an entry was removed."""

    era: int
    at: float


@frozen
class OutdatedEntry:
    """Record up to which version an entry is outdated, and since when."""

    version: int
    at: float


def process_key(engine: Engine) -> int:
    """Return a number of 64 bits that identifies an upstream's process."""
    text = f"{engine.engine_id} {engine.born_ms}".encode()
    digest = hashlib.blake2b(text, digest_size=DEPARTURE.size).digest()
    return int.from_bytes(digest, "little")


@define
class Departures:
    """Keep the processes that have left or are leaving, and pass them on.

    ``era`` is that of the store whose versions are compared.
    """

    era: int = 0
    rng: random.Random = field(factory=random.Random)
    _learnt_at_by_key: OrderedDict[int, float] = field(factory=OrderedDict)
    _newest: deque[Departure] = field(factory=lambda: deque(maxlen=MAX_RELAYED))
    _removals_by_key: OrderedDict[int, Removal] = field(factory=OrderedDict)
    _outdated_by_key: OrderedDict[int, OutdatedEntry] = field(factory=OrderedDict)
    _listed_keys: set[int] = field(factory=set)

    def start_era(self, era: int) -> None:
        """Forget versions of an earlier era of the store."""
        self.era = era
        self._outdated_by_key.clear()

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

    def record_listed(self, engine: Engine) -> None:
        """Record a process whose entry is valid, so it has not left."""
        key = process_key(engine)
        self._listed_keys.add(key)
        self._removals_by_key.pop(key, None)

    def record_removed(self, engine: Engine, now: float) -> None:
        """Record that the entry of a process was removed."""
        key = process_key(engine)
        self._listed_keys.discard(key)
        _put(self._removals_by_key, key, Removal(self.era, now))

    def record_outdated(self, engine: Engine, version: int, now: float) -> None:
        """Record that an entry is older than the departure of its process."""
        key = process_key(engine)
        self._listed_keys.discard(key)
        _put(self._outdated_by_key, key, OutdatedEntry(version, now))

    def was_removed(self, engine: Engine, now: float) -> bool:
        """Return whether an entry was removed recently in an earlier era."""
        removal = self._removals_by_key.get(process_key(engine))
        if removal is None or now - removal.at >= REMINDED_SECONDS:
            return False
        return removal.era < self.era

    def is_outdated(self, engine: Engine, version: int) -> bool:
        """Return whether an entry is older than its process's departure."""
        if not self._outdated_by_key:
            return False
        outdated = self._outdated_by_key.get(process_key(engine))
        return outdated is not None and version <= outdated.version

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

    def pack_reminders(self, now: float) -> bytes:
        """Encode some of the recent departures for peers."""
        reminders = list(self._remind(now))
        if len(reminders) > MAX_REMINDERS:
            reminders = self.rng.sample(reminders, MAX_REMINDERS)
        return b"".join(reminders)

    def merge_reminders(self, packed: bytes, era: int, now: float) -> bool:
        """Record what a peer reminds of; return whether any of it is news.

        ``era`` is that of the store as the peer knows it.
        """
        is_news = False
        for kind, key, number, age in REMINDER.iter_unpack(packed):
            at = now - HOP_SECONDS - age * AGE_UNIT_SECONDS
            if kind == ReminderKind.LEFT:
                is_news |= self._record(key, at)
            elif kind == ReminderKind.REMOVED:
                if key not in self._removals_by_key and key not in self._listed_keys:
                    _put(self._removals_by_key, key, Removal(number, at))
            elif kind == ReminderKind.OUTDATED and era == self.era:
                known = self._outdated_by_key.get(key)
                if known is None or number > known.version:
                    _put(self._outdated_by_key, key, OutdatedEntry(number, at))
                    is_news = True
        return is_news

    def _remind(self, now: float) -> Iterator[bytes]:
        oldest = now - REMINDED_SECONDS
        reminders = (
            *(
                (ReminderKind.LEFT, key, 0, learnt_at)
                for key, learnt_at in _newest_items(self._learnt_at_by_key)
            ),
            *(
                (ReminderKind.REMOVED, key, removal.era, removal.at)
                for key, removal in _newest_items(self._removals_by_key)
            ),
            *(
                (ReminderKind.OUTDATED, key, outdated.version, outdated.at)
                for key, outdated in _newest_items(self._outdated_by_key)
            ),
        )
        for kind, key, number, at in reminders:
            if at > oldest:
                yield REMINDER.pack(kind, key, number, encode_long_age(now - at))

    def _record(self, key: int, at: float) -> bool:
        if key in self._learnt_at_by_key:
            return False
        _put(self._learnt_at_by_key, key, at)
        self._newest.append(Departure(key, at))
        return True


def _newest_items(items_by_key: OrderedDict[int, T]) -> Iterator[tuple[int, T]]:
    return itertools.islice(reversed(items_by_key.items()), MAX_REMINDED)


def _put(items_by_key: OrderedDict[int, T], key: int, item: T) -> None:
    """Set an item as the newest one, and drop the oldest above the limit."""
    items_by_key[key] = item
    items_by_key.move_to_end(key)
    if len(items_by_key) > MAX_DEPARTURES:
        items_by_key.popitem(last=False)
