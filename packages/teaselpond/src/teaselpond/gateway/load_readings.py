"""Exchange what upstreams say about their load in their answers.

Each host sees only the answers to its own requests, so the newest reading of
each upstream is passed on in heartbeats. Their number depends on the number of
upstreams, not on that of hosts.
"""

import random
import struct

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
    """Hold how many requests an upstream had at a time of the boot clock."""

    load: int
    read_at: float


@define
class LoadReadings:
    """Keep the newest reading of each upstream."""

    _readings_by_key: dict[int, LoadReading] = field(factory=dict)

    def newest(self, key: int) -> LoadReading | None:
        """Return the newest reading of the upstream with an engine key."""
        return self._readings_by_key.get(key)

    def record(self, engine_id: str, load: int, now: float) -> None:
        """Record a reading from an upstream's answer to this host."""
        self._readings_by_key[engine_key(engine_id)] = LoadReading(load, now)

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

    def merge(self, packed: bytes, now: float) -> None:
        """Record a peer's readings that are newer than the known ones."""
        readings_by_key = self._readings_by_key
        heard_at = now - HOP_SECONDS
        for key, load, age in READING.iter_unpack(packed):
            read_at = heard_at - age * AGE_UNIT_SECONDS
            known = readings_by_key.get(key)
            if known is None or read_at > known.read_at:
                readings_by_key[key] = LoadReading(load, read_at)

    def expire(self, now: float) -> None:
        """Forget old readings."""
        oldest = now - EXPIRY_SECONDS
        for key, reading in list(self._readings_by_key.items()):
            if reading.read_at < oldest:
                del self._readings_by_key[key]
