"""Choose which answers become samples, and pass each on once.

Handles some hundred samples a second, at a rate that hosts share.
"""

import random
from collections import deque

from attrs import define, field

from ..ages import MAX_AGE, encode_age
from .evidence import Sample

# Samples of all hosts in a second: with a share for each host, and forwarded
# once by each, they take 5 KB a second of a host.
NEW_PER_SECOND = 70.0
OLD_PER_SECOND = 30.0
BURST = 3.0
MAX_REMEMBERED = 8192
MAX_WAITING = 512


@define
class SampleRate:
    """Allow this host's share of a rate of samples.

    It is asked before the outcome of a request is known, so that failures are
    sampled like successes. ``host_count`` is that at the start.
    """

    per_second: float
    now: float
    host_count: int = 1
    rng: random.Random = field(factory=random.Random, repr=False)
    _tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        # One second's share, rounded at random, as that of many hosts is below
        # one.
        share = min(BURST - 1, self.per_second / max(1, self.host_count))
        self._tokens = share + self.rng.random()

    def take(self, now: float, host_count: int) -> bool:
        """Return whether a request that is sent now becomes a sample."""
        elapsed = max(0.0, now - self.now)
        self.now = now
        filled = self._tokens + elapsed * self.per_second / max(1, host_count)
        self._tokens = min(BURST, filled)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@define
class SampleNews:
    """Hold the samples that peers are told next, and which ones are known."""

    _waiting: deque[Sample] = field(factory=lambda: deque(maxlen=MAX_WAITING))
    _numbers: set[int] = field(factory=set)
    _remembered: deque[int] = field(factory=deque)

    def add(self, sample: Sample) -> bool:
        """Pass a sample on; return whether it is new to this host."""
        if sample.number in self._numbers:
            return False
        self._numbers.add(sample.number)
        self._remembered.append(sample.number)
        if len(self._remembered) > MAX_REMEMBERED:
            self._numbers.discard(self._remembered.popleft())
        self._waiting.append(sample)
        return True

    def take(self, now: float, max_samples: int) -> tuple[Sample, ...]:
        """Return what to tell peers now."""
        samples: list[Sample] = []
        while self._waiting and len(samples) < max_samples:
            sample = self._waiting.popleft()
            if encode_age(now - sample.ended_at) < MAX_AGE:
                samples.append(sample)
        return tuple(samples)
