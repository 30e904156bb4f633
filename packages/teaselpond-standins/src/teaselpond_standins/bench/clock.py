"""Run scheduled actions in virtual time, without waiting."""

import heapq
from collections.abc import Callable
from itertools import count

from attrs import define, field


@define
class VirtualClock:
    """Run actions in the order of their times.

    Times are in seconds since the start of the run. Actions due at the same
    time run in the order in which they were scheduled.
    """

    now: float = 0.0
    _queue: list = field(factory=list)
    _sequence_numbers: count = field(factory=count)

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or now if that time has passed."""
        item = (max(time, self.now), next(self._sequence_numbers), action)
        heapq.heappush(self._queue, item)

    def call_after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a number of seconds."""
        self.call_at(self.now + seconds, action)

    def call_every(
        self, seconds: float, action: Callable[[], None], until: float
    ) -> None:
        """Schedule an action at a fixed interval until a time."""

        def repeat() -> None:
            action()
            if self.now + seconds <= until:
                self.call_after(seconds, repeat)

        self.call_after(seconds, repeat)

    def run(self) -> None:
        """Run scheduled actions until none is left."""
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            action()
