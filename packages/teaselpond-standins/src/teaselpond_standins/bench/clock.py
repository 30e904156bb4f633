"""Order what happens in virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

from attrs import define, field


@define
class VirtualClock:
    """Run callables at their times, in seconds from zero."""

    now: float = 0.0
    _queue: list = field(factory=list)
    _order: count = field(factory=count)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now when that has passed."""
        item = (max(time, self.now), next(self._order), action)
        heapq.heappush(self._queue, item)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a number of seconds."""
        self.at(self.now + seconds, action)

    def every(self, seconds: float, action: Callable[[], None], until: float) -> None:
        """Run an action at a fixed interval until a time."""

        def repeat() -> None:
            action()
            if self.now + seconds <= until:
                self.after(seconds, repeat)

        self.after(seconds, repeat)

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            action()
