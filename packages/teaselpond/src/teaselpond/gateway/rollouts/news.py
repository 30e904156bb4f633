"""Encode what hosts tell one another of roll-outs in heartbeats."""

import struct

from attrs import frozen

from ..ages import AGE_UNIT_SECONDS, HOP_SECONDS, MAX_AGE, MAX_LONG_AGE, encode_age
from .evidence import Outcome, Sample
from .orders import Stage

# Service and version, order, age of the order, stage, ages of the last request
# to old upstreams that may not be repeated, and of any; number of samples.
HEADER = struct.Struct("<IIHBBBB")
# Number, route, engine, flags, latency bucket, age.
SAMPLE = struct.Struct("<IBBBBB")
# Peers' ages are rounded; smaller differences are not adopted, so that an age
# does not drift by being passed on.
AGE_TOLERANCE_SECONDS = 0.1
IS_WRITTEN = 0x80
IS_CLOSING = 0x40
IS_NEW = 1
IS_HELD = 2
OUTCOME_SHIFT = 2


@frozen
class RolloutNews:
    """Hold what a host tells of one roll-out; ages are in seconds.

    ``order_version`` is that of the order's row. ``busy_seconds`` is how long
    ago any host had a request at an old upstream, ``fixed_seconds`` the same
    for requests that may not be repeated; None is long ago. ``is_written``
    tells whether the store's status says that the stage has ended the order,
    ``is_closing`` whether the old upstreams are about to be stopped.
    """

    service_key: int
    order_version: int
    order_seconds: float
    stage: Stage
    is_written: bool
    fixed_seconds: float | None
    busy_seconds: float | None
    samples: tuple[Sample, ...]
    is_closing: bool = False


def pack_news(news: RolloutNews, now: float) -> bytes:
    """Encode the news of one roll-out."""
    parts = [
        HEADER.pack(
            news.service_key,
            news.order_version & 0xFFFFFFFF,
            min(MAX_LONG_AGE, int(news.order_seconds / AGE_UNIT_SECONDS) + 1),
            news.stage | IS_WRITTEN * news.is_written | IS_CLOSING * news.is_closing,
            _pack_age(news.fixed_seconds),
            _pack_age(news.busy_seconds),
            len(news.samples),
        )
    ]
    for sample in news.samples:
        flags = sample.outcome << OUTCOME_SHIFT
        flags |= IS_NEW * sample.is_new | IS_HELD * sample.is_held
        parts.append(
            SAMPLE.pack(
                sample.number,
                sample.route_key,
                sample.engine_key,
                flags,
                sample.bucket,
                encode_age(now - sample.ended_at),
            )
        )
    return b"".join(parts)


def unpack_news(packed: bytes, now: float) -> list[RolloutNews]:
    """Decode the news of all roll-outs; raise ValueError if malformed."""
    news = []
    offset = 0
    try:
        while offset < len(packed):
            key, version, age, stage, fixed, busy, count = HEADER.unpack_from(
                packed, offset
            )
            offset += HEADER.size
            samples = []
            for _ in range(count):
                samples.append(_unpack_sample(packed, offset, now))
                offset += SAMPLE.size
            news.append(
                RolloutNews(
                    key,
                    version,
                    age * AGE_UNIT_SECONDS,
                    Stage(stage & ~(IS_WRITTEN | IS_CLOSING)),
                    bool(stage & IS_WRITTEN),
                    _unpack_age(fixed),
                    _unpack_age(busy),
                    tuple(samples),
                    bool(stage & IS_CLOSING),
                )
            )
    except struct.error as error:
        raise ValueError(f"truncated news of roll-outs: {error}") from error
    return news


def _unpack_sample(packed: bytes, offset: int, now: float) -> Sample:
    number, route_key, engine_key, flags, bucket, age = SAMPLE.unpack_from(
        packed, offset
    )
    return Sample(
        number,
        bool(flags & IS_NEW),
        route_key,
        engine_key,
        Outcome(flags >> OUTCOME_SHIFT),
        bool(flags & IS_HELD),
        bucket,
        now - HOP_SECONDS - age * AGE_UNIT_SECONDS,
    )


def _pack_age(seconds: float | None) -> int:
    return MAX_AGE if seconds is None else encode_age(seconds)


def _unpack_age(age: int) -> float | None:
    return None if age == MAX_AGE else age * AGE_UNIT_SECONDS + HOP_SECONDS


def newer_time(at: float, seconds: float | None, now: float) -> float:
    """Return a time, or that of a peer's age if it is clearly later.

    An age that takes longer on the way than is added to it at each hop would
    hardly grow while it goes round, if each difference were adopted.
    """
    if seconds is None or now - seconds <= at + AGE_TOLERANCE_SECONDS:
        return at
    return now - seconds
