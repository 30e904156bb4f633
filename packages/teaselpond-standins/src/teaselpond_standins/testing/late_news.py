"""Trackers of one host that hear of all hosts' requests late.

They stand for the heartbeats of a large fleet, in tests that place requests
without a network.
"""

from collections import deque

from teaselpond.gateway.prefixes import PrefixTracker, PrefixUse
from teaselpond.gateway.starts import StartTracker


class LateStarts(StartTracker):
    """Count starts when most hosts hear of them."""

    def __init__(self, delay_seconds: float) -> None:
        super().__init__()
        self.delay_seconds = delay_seconds
        self.late: deque[tuple[int, float, bytes]] = deque()

    def record_own(self, engine_key: int, now: float, prefix: bytes = b"") -> None:
        """Keep one start until it is due."""
        self.late.append((engine_key, now, prefix))

    def advance(self, now: float) -> None:
        """Count the starts that are due, and forget old ones."""
        while self.late and self.late[0][1] <= now - self.delay_seconds:
            super().record_own(*self.late.popleft())
        self.expire(now)


class LatePrefixes(PrefixTracker):
    """Know the holders of prompts when most hosts hear of them."""

    def __init__(self, delay_seconds: float) -> None:
        super().__init__()
        self.delay_seconds = delay_seconds
        self.late: deque[PrefixUse] = deque()

    def record(self, prefix_use: PrefixUse, *, is_news: bool = True) -> None:
        """Keep one use until it is due."""
        self.late.append(prefix_use)

    def advance(self, now: float) -> None:
        """Record the uses that are due."""
        while self.late and self.late[0].at <= now - self.delay_seconds:
            super().record(self.late.popleft())
