"""Estimate when a service's upstreams have capacity for this host again.

Handles services whose upstreams reject requests. The estimate needs no answers
of other hosts, as they are older than most requests last. It is exact for no
single call: it follows how many of this host's offers are rejected.
"""

import math
import random

from attrs import define, field

# A rejected offer doubles the time between two offers, an accepted one takes
# it to this ratio. Both balance where two of three offers are accepted, so
# that upstreams stay busy; below this rate of rejections nothing is limited.
INTERVAL_GROWTH = 2.0
INTERVAL_DECAY = 0.7
# With less time between two offers, they are not limited at all.
MIN_INTERVAL_SECONDS = 0.004
# A limit lapses this long after the last rejection, as nothing else tells
# that capacity has returned while no call is offered.
LIMIT_SECONDS = 2.0
# Weight of the newest answer in the mean answer time.
ANSWER_WEIGHT = 0.1
# Waits vary by this ratio, so that hosts whose calls were rejected together
# do not offer them together again.
JITTER_RATIO = 0.5
# Time constant of the mean rate of accepted offers.
ACCEPTED_SECONDS = 5.0
# Callers that come back later than this meet another load than this one.
MAX_RETRY_SECONDS = 5.0
# Counts as the answer time before the first answer.
DEFAULT_ANSWER_SECONDS = 0.1


@define
class ServiceCapacity:
    """Track one service's capacity as this host meets it.

    ``interval`` is the time between two offers of this host, 0 if they are not
    limited. ``next_offer_at`` is when the next one may be sent.
    ``rejected_at`` is when an upstream last rejected one. ``share_seconds`` is
    how often a slot gets free for this host if all hosts use equally many.
    """

    rng: random.Random = field(factory=random.Random)
    answer_seconds: float = DEFAULT_ANSWER_SECONDS
    interval: float = 0.0
    next_offer_at: float = 0.0
    rejected_at: float | None = None
    share_seconds: float = 0.0
    max_interval: float = 0.0
    deviation_seconds: float = 0.0
    _accepted: float = 0.0
    _accepted_at: float = 0.0
    _sent_back: float = 0.0
    _sent_back_at: float = 0.0
    _has_answers: bool = False

    def is_limited(self, now: float) -> bool:
        """Return whether offers are limited."""
        return (
            self.interval > 0.0
            and self.rejected_at is not None
            and now - self.rejected_at < LIMIT_SECONDS
        )

    def record_answer(self, seconds: float, now: float) -> None:
        """Record an accepted offer that was answered after some seconds."""
        self._accepted = self._accepted_until(now) + 1
        self._accepted_at = now
        weight = ANSWER_WEIGHT if self._has_answers else 1.0
        if self._has_answers:
            difference = abs(seconds - self.answer_seconds)
            self.deviation_seconds += weight * (difference - self.deviation_seconds)
        self._has_answers = True
        self.answer_seconds += weight * (seconds - self.answer_seconds)
        if not self.is_limited(now):
            self.interval = 0.0
            return
        self.interval *= INTERVAL_DECAY
        if self.interval < MIN_INTERVAL_SECONDS:
            self.interval = 0.0
        self.next_offer_at = min(self.next_offer_at, now + self.interval)

    def record_rejection(
        self, slots: int, host_count: int, max_interval: float, now: float
    ) -> None:
        """Record a rejected offer.

        The first one delays nothing, as a single upstream may be full. The
        ``slots`` of the service are shared by ``host_count`` hosts.
        ``max_interval`` limits the interval, so that calls are offered often
        enough to see that capacity is back.
        """
        self.share_seconds = self.answer_seconds * max(1, host_count) / max(1, slots)
        self.max_interval = max(MIN_INTERVAL_SECONDS, max_interval)
        was_limited = self.is_limited(now)
        self.rejected_at = now
        if not was_limited:
            self.interval = MIN_INTERVAL_SECONDS
            return
        grown = max(self.interval * INTERVAL_GROWTH, self.share_seconds / 4)
        self._delay(grown, now)

    def record_all_rejected(self, now: float) -> None:
        """Record that all upstreams rejected a call one after another."""
        self._delay(max(self.interval, self.share_seconds), now)

    def record_offer(self, now: float) -> None:
        """Record that a call is offered to an upstream."""
        if self.interval:
            start = max(self.next_offer_at, now)
            self.next_offer_at = start + self._jitter(self.interval)

    def seconds_to_turn(self, position: float, now: float) -> float:
        """Return when the waiting call at a position may be offered."""
        return max(0.0, self.next_offer_at - now) + position * self.interval

    def accepted_rate(self, now: float) -> float:
        """Return how many calls a second upstreams ran for this host."""
        return self._accepted_until(now) / ACCEPTED_SECONDS

    def _accepted_until(self, now: float) -> float:
        elapsed = max(0.0, now - self._accepted_at)
        return self._accepted * math.exp(-elapsed / ACCEPTED_SECONDS)

    def expected_answer_seconds(self) -> float:
        """Return by when most answers come."""
        return self.answer_seconds + self.deviation_seconds

    def record_sent_back(self, now: float) -> None:
        """Count a call that was rejected, and whose caller may come back."""
        self._sent_back = self._recent_rejections(now) + 1
        self._sent_back_at = now

    def retry_seconds(self, waiting: int, now: float) -> float:
        """Return when a call that is rejected now may find capacity.

        Callers that were sent back lately come first, as if they waited here.
        """
        position = waiting + self._recent_rejections(now)
        seconds = max(self.seconds_to_turn(position, now), self.answer_seconds)
        return min(MAX_RETRY_SECONDS, seconds)

    def sent_back_rate(self, now: float) -> float:
        """Return how many calls a second this host rejected lately."""
        return self._recent_rejections(now) / LIMIT_SECONDS

    def _recent_rejections(self, now: float) -> float:
        elapsed = max(0.0, now - self._sent_back_at)
        return self._sent_back * math.exp(-elapsed / LIMIT_SECONDS)

    def _delay(self, interval: float, now: float) -> None:
        self.interval = min(interval, self.max_interval)
        self.next_offer_at = max(self.next_offer_at, now + self._jitter(self.interval))

    def _jitter(self, seconds: float) -> float:
        return seconds * self.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
