"""Encode what hosts tell one another of traits that crash upstreams."""

import enum
import math
import struct
from collections.abc import Iterator

from attrs import frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, MAX_LONG_AGE, encode_long_age
from .suspects import EndedProcess, Suspect
from .traits import FINGERPRINT_BYTES, Scope, Trait

# The fingerprint, the kind and the scope in one byte, the key of a process,
# and the ages of the event and of the request that caused it.
NEWS = struct.Struct(f"<{FINGERPRINT_BYTES}sBIHH")
SCOPE_SHIFT = 4
KIND_MASK = 0x0F


class NewsKind(enum.IntEnum):
    """List what hosts tell one another of a trait."""

    ENDED_PROCESS = 0
    QUARANTINED = 1
    CLEARED = 2
    TRIED = 3
    ON_PROBATION = 4


@frozen
class News:
    """Tell of one event; ``at`` is on the boot clock.

    ``process_key`` and ``sent_at`` are those of an ended process. For a
    quarantine, ``sent_at`` is that of the newest evidence.
    """

    trait: Trait
    kind: NewsKind
    at: float
    process_key: int = 0
    sent_at: float = -math.inf

    @property
    def accused_at(self) -> float | None:
        """Return when the newest evidence was sent, None if it is unknown."""
        return self.sent_at if self.sent_at > -math.inf else None


def news_of(ended: EndedProcess) -> News:
    """Return the news that a process ended."""
    return News(
        ended.trait,
        NewsKind.ENDED_PROCESS,
        ended.at,
        ended.process_key,
        ended.sent_at,
    )


def quarantine_news(suspect: Suspect) -> News:
    """Return the news that a trait is refused."""
    return News(
        suspect.trait,
        NewsKind.QUARANTINED,
        suspect.quarantined_at,
        sent_at=suspect.accused_at,
    )


def pack_news(news: News, now: float) -> bytes:
    """Encode an event for peers."""
    return NEWS.pack(
        news.trait.fingerprint,
        news.kind | news.trait.scope << SCOPE_SHIFT,
        news.process_key,
        encode_long_age(now - news.at),
        encode_long_age(now - news.sent_at),
    )


def unpack_news(packed: bytes, now: float) -> Iterator[News]:
    """Decode a peer's news; pass over those that only newer builds know."""
    heard_at = now - HOP_SECONDS
    for fingerprint, kind_and_scope, key, age, sent_age in NEWS.iter_unpack(packed):
        try:
            kind = NewsKind(kind_and_scope & KIND_MASK)
            scope = Scope(kind_and_scope >> SCOPE_SHIFT)
        except ValueError:
            continue
        yield News(
            Trait(fingerprint, scope),
            kind,
            heard_at - age * AGE_UNIT_SECONDS,
            key,
            _sent_at(sent_age, heard_at),
        )


def _sent_at(age: int, heard_at: float) -> float:
    """Return when a request was sent; older builds may not tell."""
    return heard_at - age * AGE_UNIT_SECONDS if age < MAX_LONG_AGE else -math.inf
