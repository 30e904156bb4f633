"""Keep how long work currently takes at upstreams that share a machine.

An upstream is slow for about LAPSE_SECONDS at a time. Figures that are half as
old still help: in the model of the tests, 131 hosts at 400 requests of 45 ms a
second to 6 upstreams have 10.1% late with their own figures alone, 4.9% with
figures of all hosts that are 0.3 s old. Figures of 0.6 s change nothing.
"""

import math
import struct
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from ..ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_age
from ..engines import engine_key

if TYPE_CHECKING:
    from ..loads import LoadTracker

# The older a figure is, the less likely it still holds.
LAPSE_SECONDS = 0.6
# Figures outside this range are taken as its ends.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0
# Only figures from here on are passed on; most are at 1.0, which is what hosts
# assume without any.
PASSED_ON_SLOWNESS = 1.2
# A heartbeat passes on this many at most, the newest. They take 2 KB a second.
MAX_NEWS = 12
# Figures are passed on by hosts that have used some within this time.
USED_SECONDS = 10.0
NEWS = struct.Struct("<IBB")
UNITS_PER_SLOWNESS = 50


@frozen
class SlownessReading:
    """Hold how much longer work took than usual, and when."""

    slowness: float
    read_at: float


@define
class SlownessReadings:
    """Keep the newest figure of each upstream; handles any rate of answers.

    Memory grows with the upstreams that reported within LAPSE_SECONDS.
    ``used_at`` is when figures were last used for a choice.
    """

    used_at: float = -math.inf
    _readings_by_key: dict[int, SlownessReading] = field(factory=dict)

    def record(self, engine_id: str, slowness: float, now: float) -> None:
        """Record the figure of an answer; 1.0 means as long as usual."""
        self._record(engine_key(engine_id), slowness, now)

    def estimate(self, engine_id: str, now: float) -> float:
        """Return how much longer work is expected to take than usual.

        The figure counts fully at first and not at all after LAPSE_SECONDS.
        """
        if not self._readings_by_key:
            return 1.0
        reading = self._readings_by_key.get(engine_key(engine_id))
        if reading is None:
            return 1.0
        share = 1.0 - (now - reading.read_at) / LAPSE_SECONDS
        if share <= 0.0:
            return 1.0
        return 1.0 + (reading.slowness - 1.0) * min(1.0, share)

    def pack(self, now: float) -> bytes:
        """Encode the newest figures of slow upstreams for peers."""
        if now - self.used_at >= USED_SECONDS:
            return b""
        slow = [
            (reading.read_at, key, reading.slowness)
            for key, reading in self._readings_by_key.items()
            if reading.slowness >= PASSED_ON_SLOWNESS
            and now - reading.read_at < LAPSE_SECONDS
        ]
        slow.sort(reverse=True)
        return b"".join(
            NEWS.pack(key, int(slowness * UNITS_PER_SLOWNESS), encode_age(now - at))
            for at, key, slowness in slow[:MAX_NEWS]
        )

    def merge(self, packed: bytes, now: float) -> None:
        """Record a peer's figures that are newer; raise ValueError."""
        if len(packed) % NEWS.size:
            raise ValueError(f"expected records of {NEWS.size} bytes")
        for key, units, age in NEWS.iter_unpack(packed):
            read_at = now - HOP_SECONDS - age * AGE_UNIT_SECONDS
            known = self._readings_by_key.get(key)
            if now - read_at < LAPSE_SECONDS and (
                known is None or read_at > known.read_at
            ):
                self._record(key, units / UNITS_PER_SLOWNESS, read_at)

    def expire(self, now: float) -> None:
        """Forget figures that have no effect any more."""
        for key, reading in list(self._readings_by_key.items()):
            if now - reading.read_at >= LAPSE_SECONDS:
                del self._readings_by_key[key]

    def _record(self, key: int, slowness: float, read_at: float) -> None:
        bounded = max(MIN_SLOWNESS, min(MAX_SLOWNESS, slowness))
        self._readings_by_key[key] = SlownessReading(bounded, read_at)


@define(eq=False)
class SlownessTopic:
    """Pass slow upstreams on in heartbeats, in fleets that use them.

    Small fleets order upstreams by load, and have no use for the figures.
    """

    loads: "LoadTracker"
    name: str = "slowness"

    def pack(self, now: float) -> bytes:
        """Return the figures of slow upstreams."""
        return self.loads.slowness.pack(now) if self.loads.uses_readings else b""

    def merge(self, packed: bytes, host: str, now: float) -> None:
        """Record a host's figures; raise ValueError if malformed."""
        if self.loads.uses_readings:
            self.loads.slowness.merge(packed, now)
