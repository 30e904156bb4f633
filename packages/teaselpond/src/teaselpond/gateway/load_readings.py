"""Exchange what upstreams say about their load in their answers.

Each host sees only the answers to its own requests, so the newest reading of
each upstream is passed on in heartbeats. Their number depends on the number of
upstreams, not on that of hosts.
"""

import random
import struct
from collections.abc import Mapping

from attrs import define, field, frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_age
from .engines import engine_key

READING = struct.Struct("<IHB")
MAX_READINGS = 64
MAX_LOAD = 0xFFFF
# Older readings are not passed on; what they say no longer holds.
RELAYED_SECONDS = 1.5
# Older readings are forgotten.
EXPIRY_SECONDS = 10.0


@frozen
class LoadReading:
    """Hold how many requests an upstream had at a time of the boot clock.

    ``own_count`` is how many of them this host knew to be its own.
    """

    load: int
    read_at: float
    own_count: int


@define
class LoadReadings:
    """Keep the newest reading of each upstream."""

    _readings_by_key: dict[int, LoadReading] = field(factory=dict)

    def newest(self, engine_id: str) -> LoadReading | None:
        """Return an upstream's newest reading, None if there is none."""
        return self._readings_by_key.get(engine_key(engine_id))

    def record(self, engine_id: str, load: int, own_count: int, now: float) -> None:
        """Record a reading from an upstream's answer to this host."""
        key = engine_key(engine_id)
        self._readings_by_key[key] = LoadReading(load, now, own_count)

    def pack(self, rng: random.Random, now: float) -> bytes:
        """Encode recent readings for peers."""
        oldest = now - RELAYED_SECONDS
        recent = [
            (key, reading)
            for key, reading in self._readings_by_key.items()
            if reading.read_at > oldest
        ]
        if len(recent) > MAX_READINGS:
            recent = rng.sample(recent, MAX_READINGS)
        return b"".join(
            READING.pack(
                key,
                min(MAX_LOAD, reading.load),
                encode_age(now - reading.read_at),
            )
            for key, reading in recent
        )

    def merge(self, packed: bytes, own_by_key: Mapping[int, int], now: float) -> None:
        """Record a peer's readings that are newer than the known ones.

        ``own_by_key`` holds the number of this host's requests at upstreams.
        """
        readings_by_key = self._readings_by_key
        heard_at = now - HOP_SECONDS
        for key, load, age in READING.iter_unpack(packed):
            read_at = heard_at - age * AGE_UNIT_SECONDS
            known = readings_by_key.get(key)
            if known is None or read_at > known.read_at:
                own_count = own_by_key.get(key, 0)
                readings_by_key[key] = LoadReading(load, read_at, own_count)

    def expire(self, now: float) -> None:
        """Forget old readings."""
        oldest = now - EXPIRY_SECONDS
        for key, reading in list(self._readings_by_key.items()):
            if reading.read_at < oldest:
                del self._readings_by_key[key]
