"""Count events within a sliding window of time."""

import bisect
from collections import deque

from attrs import define, field


@define
class SlidingWindowCounter:
    """Count the events of the last ``seconds`` seconds."""

    seconds: float
    _times: deque[float] = field(factory=deque)

    def add(self, now: float) -> None:
        """Count one event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window."""
        while self._times and now - self._times[0] >= self.seconds:
            self._times.popleft()
        return len(self._times)

    def count_since(self, start: float, now: float) -> int:
        """Return the number of events in the window after ``start``."""
        count = self.count(now)
        return count - bisect.bisect_right(self._times, start, hi=count)

    def slot_counts(self, now: float, slots: int) -> list[int]:
        """Return the events by slot of equal length, the newest slot first."""
        counts = [0] * slots
        slot_seconds = self.seconds / slots
        for at in self._times:
            slot = int((now - at) / slot_seconds)
            if slot < slots:
                counts[max(0, slot)] += 1
        return counts
