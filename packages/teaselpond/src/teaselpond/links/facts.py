"""Keep versioned facts that daemons tell each other.

A fact is replaced only by one of a higher rank, and ranks are totally
ordered, so that daemons which heard the same facts in any order hold the
same ones, and none goes back.
"""

import math
from collections.abc import Iterator
from typing import Any

from attrs import define, evolve, field, frozen
from reactivex import Observable
from reactivex import operators as ops
from reactivex.subject import Subject

from . import codec
from .digests import FactDigest, fingerprint

LIFETIME_LIMIT_SECONDS = 7 * 86_400
VERSION_NUMBER_LIMIT = 1 << 64


@frozen
class Topic:
    """Name a kind of fact and say how its facts spread and last.

    ``is_frequent`` facts travel along one path to each daemon instead of
    all of them. A ``lifetime_seconds`` of None means that facts stay until
    they are replaced.
    """

    name: str
    value_class: Any
    lifetime_seconds: float | None = None
    is_frequent: bool = False


@frozen
class FactVersion:
    """Order the versions of one fact: by epoch first, then by number."""

    epoch: int
    number: int = 0

    def __lt__(self, other: "FactVersion") -> bool:
        return (self.epoch, self.number) < (other.epoch, other.number)


@frozen
class Fact:
    """Hold one fact as it travels.

    ``remaining_seconds`` is how much longer it is valid, or None; each
    daemon counts it down on its own clock, so that no clock is compared
    with another.
    """

    topic: str
    key: str
    epoch: int
    number: int
    content: bytes
    remaining_seconds: int | None = None

    @property
    def name(self) -> str:
        """Return what the fact is about."""
        return f"{self.topic}/{self.key}"

    @property
    def version(self) -> FactVersion:
        """Return the fact's version."""
        return FactVersion(self.epoch, self.number)

    @property
    def rank(self) -> tuple[int, int, bytes]:
        """Return what decides between two facts of one name."""
        return (self.epoch, self.number, self.content)


def decode_value(fact: Fact, topic: Topic) -> Any:
    """Return a fact's typed value; raise MalformedFrame."""
    return codec.unpack(fact.content, topic.value_class)


@frozen
class StoredFact:
    """Hold a fact, its fingerprint and when it ends on the local clock."""

    fact: Fact
    fingerprint: int
    expires_at: float

    def with_remaining_lifetime(self, now: float) -> Fact | None:
        """Return the fact with its remaining time, or None when spent."""
        if math.isinf(self.expires_at):
            return self.fact
        # Rounded down, so that a fact that is passed on and back ends.
        remaining = math.floor(self.expires_at - now)
        return evolve(self.fact, remaining_seconds=remaining) if remaining > 0 else None


@frozen
class FactChange:
    """Tell that a fact was learned; ``source_id`` is empty for own facts."""

    fact: Fact
    source_id: str


@define(eq=False)
class FactStore:
    """Hold the newest fact of each name; times are monotonic seconds."""

    changes: Subject = field(factory=Subject)
    digest: FactDigest = field(factory=FactDigest)
    _held_by_name: dict[str, StoredFact] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._held_by_name)

    def __iter__(self) -> Iterator[StoredFact]:
        return iter(list(self._held_by_name.values()))

    def publish(
        self,
        topic: Topic,
        key: str,
        value: Any,
        version: FactVersion,
        now: float,
        lifetime_seconds: float | None = None,
    ) -> bool:
        """State a fact; return False when a newer one is known.

        ``lifetime_seconds`` replaces the topic's.
        """
        lifetime = lifetime_seconds or topic.lifetime_seconds
        fact = Fact(
            topic.name,
            key,
            version.epoch,
            version.number,
            codec.pack(value, topic.value_class),
            None if lifetime is None else math.ceil(lifetime),
        )
        return self.merge(fact, now)

    def merge(self, fact: Fact, now: float, source_id: str = "") -> bool:
        """Keep a fact if it is newer than the one held; tell whether."""
        if not self._is_acceptable(fact):
            return False
        held = self._held_by_name.get(fact.name)
        if held is not None and fact.rank <= held.fact.rank:
            return False
        self._drop(held)
        remaining = fact.remaining_seconds
        expires_at = math.inf if remaining is None else now + remaining
        held = StoredFact(fact, fingerprint(fact.name, fact.rank), expires_at)
        self._held_by_name[fact.name] = held
        self.digest.add(held.fingerprint)
        self.changes.on_next(FactChange(fact, source_id))
        return True

    def get(self, topic: Topic, key: str, now: float) -> Fact | None:
        """Return the valid fact about a key, or None."""
        held = self._held_by_name.get(f"{topic.name}/{key}")
        return held.fact if held is not None and now < held.expires_at else None

    def values(self, topic: Topic, now: float) -> dict[str, Any]:
        """Return the valid values of a topic by key."""
        return {
            held.fact.key: decode_value(held.fact, topic)
            for held in self._held_by_name.values()
            if held.fact.topic == topic.name and now < held.expires_at
        }

    def observe(self, topic: Topic) -> Observable:
        """Return the changes of one topic."""
        return self.changes.pipe(
            ops.filter(lambda change: change.fact.topic == topic.name)
        )

    def held(self, name: str) -> StoredFact | None:
        """Return what is held under a name, or None."""
        return self._held_by_name.get(name)

    def expire(self, now: float) -> None:
        """Drop the facts whose time is over."""
        for held in list(self._held_by_name.values()):
            if held.expires_at <= now:
                self._drop(held)
                del self._held_by_name[held.fact.name]

    def _drop(self, held: StoredFact | None) -> None:
        if held is not None:
            self.digest.add(held.fingerprint, -1)

    @staticmethod
    def _is_acceptable(fact: Fact) -> bool:
        if not (
            0 <= fact.epoch < VERSION_NUMBER_LIMIT
            and 0 <= fact.number < VERSION_NUMBER_LIMIT
        ):
            return False
        remaining = fact.remaining_seconds
        return remaining is None or 0 < remaining <= LIFETIME_LIMIT_SECONDS
