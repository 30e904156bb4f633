"""Tell peers which upstreams requests were just sent to.

An upstream says how many requests it has only when it answers, which a crowded
one does late. The requests that were sent to it since are known from the
hosts that sent them: each start is passed on once by each host that hears of
it, as prefix news are.

Starts also tell which prompt prefix becomes popular, long before a host could
conclude it from its own requests.
"""

import math
import random
import struct
from collections import defaultdict, deque

from attrs import define, field, frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, MAX_AGE, encode_age

START = struct.Struct("<IIB")
# A heartbeat passes on this many starts at most.
MAX_STARTS = 96
# Older starts are neither passed on nor counted: their requests have mostly
# ended, or the upstream has answered since.
COUNTED_SECONDS = 3.0
RELAYED_SECONDS = 1.5
# Most hosts have heard of a start after this time.
HEARD_SECONDS = 0.4
# The rate of a prefix is that of its starts in this time. Fewer starts say
# nothing, as any prefix has two or three at times.
RATE_SECONDS = 2.0
MIN_RATE_STARTS = 4
MIN_RATE_SECONDS = 0.5
# The lower bits of a start's number are random, the others identify the prompt
# prefix. Without a prompt, and from older builds, all of them are random.
RANDOM_BITS = 12
PREFIX_BITS = 20


@frozen
class Start:
    """Describe a request that was sent to an upstream.

    ``started_at`` is on the boot clock. ``number`` tells starts at an upstream
    apart, and says which prompt prefix they are for.
    """

    number: int
    engine_key: int
    started_at: float


@define
class StartTracker:
    """Track the recent starts of all hosts, by upstream."""

    rng: random.Random = field(factory=random.Random)
    _times_by_key: dict[int, deque[float]] = field(factory=lambda: defaultdict(deque))
    _times_by_prefix_number: dict[int, deque[float]] = field(
        factory=lambda: defaultdict(deque)
    )
    _heard: deque[Start] = field(factory=deque)
    _heard_keys: set[tuple[int, int]] = field(factory=set)
    _news: deque[Start] = field(factory=lambda: deque(maxlen=1024))

    def record_own(self, engine_key: int, now: float, prefix: bytes = b"") -> None:
        """Record a request of this host, and tell peers of it.

        ``prefix`` is the key of its prompt prefix, empty without one.
        """
        if prefix:
            number = self.rng.getrandbits(RANDOM_BITS)
            number |= _prefix_number(prefix) << RANDOM_BITS
        else:
            number = self.rng.getrandbits(RANDOM_BITS + PREFIX_BITS)
        self._record(Start(number, engine_key, now))

    def prefix_rate(self, prefix: bytes, now: float) -> float:
        """Return the requests a second of all hosts for a prompt, 0 if few.

        Only requests that most hosts have heard of count, so that all hosts
        return nearly the same.
        """
        newest = now - HEARD_SECONDS
        oldest = newest - RATE_SECONDS
        times = self._times_by_prefix_number.get(_prefix_number(prefix), ())
        counted = [at for at in times if oldest < at <= newest]
        if len(counted) < MIN_RATE_STARTS:
            return 0.0
        # A prompt that became popular within the time is as popular since.
        return len(counted) / max(MIN_RATE_SECONDS, newest - min(counted))

    def count(self, engine_key: int) -> int:
        """Return how many recent starts at an upstream are known."""
        return len(self._times_by_key.get(engine_key, ()))

    def count_since(self, engine_key: int, since: float) -> int:
        """Return how many requests were sent to an upstream after a time."""
        count = 0
        for started_at in reversed(self._times_by_key.get(engine_key, ())):
            if started_at <= since:
                break
            count += 1
        return count

    def remaining_since(
        self, engine_key: int, since: float, now: float, run_seconds: float
    ) -> float:
        """Return how many requests that were sent after a time still run.

        Each ends at any moment with the same chance, on average after
        ``run_seconds``.
        """
        count = 0.0
        for started_at in reversed(self._times_by_key.get(engine_key, ())):
            if started_at <= since:
                break
            count += math.exp((started_at - now) / run_seconds)
        return count

    def pack_news(self, now: float) -> bytes:
        """Encode starts that this host has not passed on yet."""
        packed = []
        while self._news and len(packed) < MAX_STARTS:
            start = self._news.popleft()
            age = now - start.started_at
            if age < RELAYED_SECONDS:
                packed.append(
                    START.pack(start.number, start.engine_key, encode_age(age))
                )
        return b"".join(packed)

    def merge_news(self, packed: bytes, now: float) -> None:
        """Record a peer's news."""
        heard_keys = self._heard_keys
        for number, engine_key, age in START.iter_unpack(packed):
            if (number, engine_key) not in heard_keys and age < MAX_AGE:
                started_at = now - HOP_SECONDS - age * AGE_UNIT_SECONDS
                self._record(Start(number, engine_key, started_at))

    def expire(self, now: float) -> None:
        """Forget old starts."""
        oldest = now - COUNTED_SECONDS
        while self._heard and self._heard[0].started_at <= oldest:
            start = self._heard.popleft()
            self._heard_keys.discard((start.number, start.engine_key))
            _drop_until(oldest, self._times_by_key, start.engine_key)
            prefix_number = start.number >> RANDOM_BITS
            _drop_until(oldest, self._times_by_prefix_number, prefix_number)

    def _record(self, start: Start) -> None:
        self._heard.append(start)
        self._heard_keys.add((start.number, start.engine_key))
        self._times_by_key[start.engine_key].append(start.started_at)
        prefix_number = start.number >> RANDOM_BITS
        self._times_by_prefix_number[prefix_number].append(start.started_at)
        self._news.append(start)


def _prefix_number(prefix: bytes) -> int:
    return int.from_bytes(prefix) % (1 << PREFIX_BITS)


def _drop_until(
    oldest: float, times_by_number: dict[int, deque[float]], number: int
) -> None:
    times = times_by_number.get(number, deque())
    while times and times[0] <= oldest:
        times.popleft()
    if not times:
        times_by_number.pop(number, None)
