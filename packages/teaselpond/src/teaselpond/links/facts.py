"""Store versioned facts that daemons replicate to each other.

A fact is replaced only by one of a higher rank. Ranks are totally ordered:
daemons that received the same facts in any order store the same ones, and no
fact returns to an older version.
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
    """Describe a kind of fact and how its facts spread and expire.

    Facts of an ``is_frequent`` topic are sent to each daemon along one path
    instead of every link. With a ``lifetime_seconds`` of None, facts do not
    expire.
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
    """Hold one fact as daemons send it to each other.

    ``remaining_seconds`` is the remaining lifetime, or None if the fact
    does not expire. Each daemon counts it down on its own clock, so clocks
    of different daemons are never compared.
    """

    topic: str
    key: str
    epoch: int
    number: int
    content: bytes
    remaining_seconds: int | None = None

    @property
    def name(self) -> str:
        """Return the topic and key, which identify the fact."""
        return f"{self.topic}/{self.key}"

    @property
    def version(self) -> FactVersion:
        """Return the fact's version."""
        return FactVersion(self.epoch, self.number)

    @property
    def rank(self) -> tuple[int, int, bytes]:
        """Return the sort key by which one fact replaces another."""
        return (self.epoch, self.number, self.content)


def decode_value(fact: Fact, topic: Topic) -> Any:
    """Decode a fact's typed value; raise MalformedFrame."""
    return codec.unpack(fact.content, topic.value_class)


@frozen
class StoredFact:
    """Hold a fact, its fingerprint and its expiry on the local clock."""

    fact: Fact
    fingerprint: int
    expires_at: float

    def with_remaining_lifetime(self, now: float) -> Fact | None:
        """Return the fact with its remaining lifetime, or None if expired."""
        if math.isinf(self.expires_at):
            return self.fact
        # Rounded down: a fact that two daemons send back and forth must
        # expire.
        remaining = math.floor(self.expires_at - now)
        return evolve(self.fact, remaining_seconds=remaining) if remaining > 0 else None


@frozen
class FactChange:
    """Report a stored fact; ``source_id`` is empty if published locally."""

    fact: Fact
    source_id: str


@define(eq=False)
class FactStore:
    """Store the newest fact of each name; times are monotonic seconds."""

    changes: Subject = field(factory=Subject)
    digest: FactDigest = field(factory=FactDigest)
    _stored_by_name: dict[str, StoredFact] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._stored_by_name)

    def __iter__(self) -> Iterator[StoredFact]:
        return iter(list(self._stored_by_name.values()))

    def publish(
        self,
        topic: Topic,
        key: str,
        value: Any,
        version: FactVersion,
        now: float,
        lifetime_seconds: float | None = None,
    ) -> bool:
        """Publish a fact; return whether it replaced the stored one.

        ``lifetime_seconds`` overrides that of the topic.
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
        """Store a fact if it is newer; return whether it was stored."""
        if not self._is_acceptable(fact):
            return False
        stored = self._stored_by_name.get(fact.name)
        if stored is not None and fact.rank <= stored.fact.rank:
            return False
        self._remove_from_digest(stored)
        remaining = fact.remaining_seconds
        expires_at = math.inf if remaining is None else now + remaining
        stored = StoredFact(fact, fingerprint(fact.name, fact.rank), expires_at)
        self._stored_by_name[fact.name] = stored
        self.digest.add(stored.fingerprint)
        self.changes.on_next(FactChange(fact, source_id))
        return True

    def get(self, topic: Topic, key: str, now: float) -> Fact | None:
        """Return the unexpired fact for a key, or None."""
        stored = self._stored_by_name.get(f"{topic.name}/{key}")
        return stored.fact if stored is not None and now < stored.expires_at else None

    def values(self, topic: Topic, now: float) -> dict[str, Any]:
        """Return the unexpired values of a topic by key."""
        return {
            stored.fact.key: decode_value(stored.fact, topic)
            for stored in self._stored_by_name.values()
            if stored.fact.topic == topic.name and now < stored.expires_at
        }

    def observe(self, topic: Topic) -> Observable:
        """Return the changes of one topic."""
        return self.changes.pipe(
            ops.filter(lambda change: change.fact.topic == topic.name)
        )

    def get_stored(self, name: str) -> StoredFact | None:
        """Return the stored fact of a name, expired or not, or None."""
        return self._stored_by_name.get(name)

    def expire(self, now: float) -> None:
        """Remove expired facts."""
        for stored in list(self._stored_by_name.values()):
            if stored.expires_at <= now:
                self._remove_from_digest(stored)
                del self._stored_by_name[stored.fact.name]

    def _remove_from_digest(self, stored: StoredFact | None) -> None:
        if stored is not None:
            self.digest.add(stored.fingerprint, -1)

    @staticmethod
    def _is_acceptable(fact: Fact) -> bool:
        if not (
            0 <= fact.epoch < VERSION_NUMBER_LIMIT
            and 0 <= fact.number < VERSION_NUMBER_LIMIT
        ):
            return False
        remaining = fact.remaining_seconds
        return remaining is None or 0 < remaining <= LIFETIME_LIMIT_SECONDS
