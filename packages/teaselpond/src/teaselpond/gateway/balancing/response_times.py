"""Share how long responses took, for upstreams that report no load.

The load it handles: any rate of responses from any number of hosts, each of
which sends too little to notice a slow upstream. A host has one vote for each
upstream, its newest response, and a quartile of the votes counts, so that a
host that is slow itself cannot take an upstream out of use.
"""

import heapq
import math
import statistics
import struct
import zlib
from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from ..ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_age
from ..engines import engine_key

if TYPE_CHECKING:
    from ..loads import LoadTracker

# Older responses say nothing of the present, and age in one byte.
KEPT_SECONDS = 1.5
# With responses to fewer hosts an upstream counts as usual.
MIN_HOSTS = 8
# The most votes of hosts that are kept for one upstream, the newest.
MAX_VOTES = 16
# The most that a heartbeat passes on, 64 bytes. In a simulated exchange of 131
# hosts and three upstreams all hosts knew 16 votes for each with 6 as with 48,
# which took 8 KB a second more.
MAX_NEWS = 8
# An upstream keeps a part of its share, which shows when it is faster again.
MAX_SLOWNESS = 4.0
# Smaller differences are chance.
MIN_SLOWNESS = 1.3
# Times are passed on by hosts that have asked for some within this time.
USED_SECONDS = 10.0
NEWS = struct.Struct("<IHBB")
# Busy hosts sum up the votes for an upstream again after this time only, as
# that takes 4 us.
SUMMARY_SECONDS = 0.05
# A time is sent as a number of these steps of 5% above a millisecond.
LEAST_SECONDS = 0.001
STEP = math.log(1.05)


@frozen
class Vote:
    """Hold how long a host's newest response of an upstream took."""

    seconds: float
    read_at: float


@frozen
class Summary:
    """Hold what the votes for an upstream said at a time.

    ``quartile`` is the lower one. Both are None with too few votes.
    """

    made_at: float
    median: float | None
    quartile: float | None


@define
class ResponseTimes:
    """Keep the newest response times of hosts; handles any rate of responses.

    Memory grows with the upstreams that responded within KEPT_SECONDS.
    ``used_at`` is when times were last asked for, ``slow_choices`` how often
    they showed a slow upstream then.
    """

    host: str = ""
    used_at: float = -math.inf
    slow_choices: int = 0
    _votes_by_key: dict[int, dict[int, Vote]] = field(factory=dict)
    _summaries_by_key: dict[int, Summary] = field(factory=dict)

    def record(self, engine_id: str, seconds: float, now: float) -> None:
        """Record how long a response to this host took."""
        self.record_of(self.host, engine_id, seconds, now)

    def record_of(self, host: str, engine_id: str, seconds: float, at: float) -> None:
        """Record how long a response to a host took."""
        self._record(engine_key(engine_id), _host_key(host), Vote(seconds, at))

    def estimates(self, engine_ids: Sequence[str], now: float) -> list[float]:
        """Return how much longer each upstream takes than the fastest."""
        self.used_at = now
        # Among thousands of upstreams hardly any has the votes that it needs.
        votes = self._votes_by_key.values()
        if sum(len(each) >= MIN_HOSTS for each in votes) < 2:
            return [1.0] * len(engine_ids)
        summaries_by_id = {
            engine_id: summary
            for engine_id in engine_ids
            if (summary := self._summarize(engine_id, now)).median is not None
        }
        if len(summaries_by_id) < 2:
            return [1.0] * len(engine_ids)
        usual = min(each.median for each in summaries_by_id.values())
        # The lower quartile, so that an upstream which happened to get more
        # long requests than others does not count as slow.
        slowness_by_id = {
            engine_id: min(MAX_SLOWNESS, summary.quartile / usual)
            for engine_id, summary in summaries_by_id.items()
        }
        is_slow = max(slowness_by_id.values()) >= MIN_SLOWNESS
        self.slow_choices += is_slow
        return [
            slowness
            if (slowness := slowness_by_id.get(each, 1.0)) >= MIN_SLOWNESS
            else 1.0
            for each in engine_ids
        ]

    def copy(self) -> "ResponseTimes":
        """Return a copy whose use is not recorded; it is not for recording."""
        return evolve(self, summaries_by_key={})

    def pack(self, now: float) -> bytes:
        """Encode the newest times for peers, if they are of use."""
        if now - self.used_at >= USED_SECONDS:
            return b""
        news = []
        for key, votes in self._votes_by_key.items():
            recent = [
                (now - vote.read_at, host_key, vote.seconds)
                for host_key, vote in votes.items()
                if now - vote.read_at < KEPT_SECONDS
            ]
            # Busy upstreams must not displace others.
            for rank, (age, host_key, seconds) in enumerate(sorted(recent)):
                news.append((rank, age, key, host_key, seconds))
        return b"".join(
            NEWS.pack(key, host_key, _encode_seconds(seconds), encode_age(age))
            for _, age, key, host_key, seconds in heapq.nsmallest(MAX_NEWS, news)
        )

    def merge(self, packed: bytes, now: float) -> None:
        """Record times that a peer passed on; raise ValueError."""
        if len(packed) % NEWS.size:
            raise ValueError(f"expected records of {NEWS.size} bytes")
        for key, host_key, steps, age in NEWS.iter_unpack(packed):
            read_at = now - HOP_SECONDS - age * AGE_UNIT_SECONDS
            if now - read_at < KEPT_SECONDS:
                seconds = LEAST_SECONDS * math.exp(steps * STEP)
                self._record(key, host_key, Vote(seconds, read_at))

    def expire(self, now: float) -> None:
        """Forget times that have no effect any more."""
        for key, votes in list(self._votes_by_key.items()):
            for host_key, vote in list(votes.items()):
                if now - vote.read_at >= KEPT_SECONDS:
                    del votes[host_key]
            if not votes:
                del self._votes_by_key[key]
        for key, summary in list(self._summaries_by_key.items()):
            if now - summary.made_at >= KEPT_SECONDS:
                del self._summaries_by_key[key]

    def _record(self, key: int, host_key: int, vote: Vote) -> None:
        votes = self._votes_by_key.setdefault(key, {})
        known = votes.get(host_key)
        if known is not None and known.read_at >= vote.read_at:
            return
        votes[host_key] = vote
        if len(votes) > MAX_VOTES:
            del votes[min(votes, key=lambda each: votes[each].read_at)]

    def _summarize(self, engine_id: str, now: float) -> Summary:
        key = engine_key(engine_id)
        summary = self._summaries_by_key.get(key)
        if summary is not None and 0.0 <= now - summary.made_at < SUMMARY_SECONDS:
            return summary
        recent = [
            vote.seconds
            for vote in self._votes_by_key.get(key, {}).values()
            if now - vote.read_at < KEPT_SECONDS
        ]
        if len(recent) < MIN_HOSTS:
            summary = Summary(now, None, None)
        else:
            quartile = statistics.quantiles(recent, n=4)[0]
            summary = Summary(now, statistics.median(recent), quartile)
        self._summaries_by_key[key] = summary
        return summary


@define(eq=False)
class ResponseTimesTopic:
    """Pass response times on in heartbeats of fleets that choose at random."""

    loads: "LoadTracker"
    name: str = "times"

    def pack(self, now: float) -> bytes:
        """Return the newest times."""
        return self.loads.response_times.pack(now) if self.loads.uses_readings else b""

    def merge(self, packed: bytes, host: str, now: float) -> None:
        """Record a host's news; raise ValueError if malformed."""
        if self.loads.uses_readings:
            self.loads.response_times.merge(packed, now)


def _host_key(host: str) -> int:
    return zlib.crc32(host.encode()) & 0xFFFF


def _encode_seconds(seconds: float) -> int:
    steps = math.log(max(seconds, LEAST_SECONDS) / LEAST_SECONDS) / STEP
    return min(255, round(steps))
