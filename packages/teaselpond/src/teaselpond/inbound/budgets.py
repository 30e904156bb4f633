"""Decide who may take memory for input, who waits, and who is ended.

The load that this handles: bodies and heads of callers that stop short of
their end or send slowly, and slow readers of large answers. A body with a
length takes room for all of it before it is read, so that it can be completed.
One in chunks takes more as it grows.
"""

from attrs import define, field

# A part of the budget is kept for those that hold no more than this, so that
# ordinary requests find room among large bodies.
SMALL_BYTES = 64 * 1024
SMALL_SHARE = 0.125
# An ordinary caller that has begun to send goes on within this time. Others
# are ended only if somebody waits for their memory.
STALL_SECONDS = 0.5
# Fewer bytes than this do not count as progress.
PROGRESS_BYTES = 1024


@define(eq=False)
class Holding:
    """Count what one connection holds; times are those of the event loop.

    ``is_complete`` is set once its caller has sent all, ``is_waiting`` while
    it needs more room to go on. ``has_ended`` is set when it was ended to make
    room for others.
    """

    progressed_at: float
    held_bytes: int = 0
    is_complete: bool = False
    is_waiting: bool = False
    has_ended: bool = False
    _unmarked_bytes: int = 0

    def record_progress(self, count: int, now: float) -> None:
        """Record bytes that were received, or taken by a reader."""
        self._unmarked_bytes += count
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self.progressed_at = now


@define(eq=False)
class MemoryBudget:
    """Share the memory for input among connections.

    ``resumed_at`` is when the process last ran again after a pause: bytes
    that arrived in the pause count as progress once they are read.
    """

    limit_bytes: int
    used_bytes: int = 0
    holdings: set[Holding] = field(factory=set)
    resumed_at: float = 0.0

    def can_take(self, holding: Holding, count: int) -> bool:
        """Return whether a holding may take more bytes now.

        One that would be the only one may, whatever the limit is.
        """
        wanted = holding.held_bytes + count
        limit = self.limit_bytes
        if wanted > SMALL_BYTES:
            limit -= int(limit * SMALL_SHARE)
        used = self.used_bytes
        return used + count <= limit or used == holding.held_bytes

    def take(self, holding: Holding, count: int) -> None:
        """Count more bytes as held."""
        self.holdings.add(holding)
        holding.held_bytes += count
        self.used_bytes += count

    def shrink(self, holding: Holding, held_bytes: int) -> None:
        """Release what a holding has beyond some bytes."""
        self.used_bytes -= holding.held_bytes - held_bytes
        holding.held_bytes = held_bytes

    def release(self, holding: Holding) -> None:
        """Release all that a holding has."""
        self.shrink(holding, 0)
        self.holdings.discard(holding)

    def choose_ended(self, requester: Holding, now: float) -> Holding | None:
        """Return the holding to be ended so that another one finds room.

        It is the one that holds most without progress. If nothing goes on
        because all wait for room, it is the largest of those that wait.
        """
        others = [each for each in self.holdings if each is not requester]
        stalled = [
            each
            for each in others
            if not each.is_complete and not each.is_waiting and self._stalls(each, now)
        ]
        if not stalled:
            if not all(each.is_waiting for each in others):
                return None
            stalled = others
        return max(stalled, key=lambda each: each.held_bytes, default=None)

    def _stalls(self, holding: Holding, now: float) -> bool:
        return now - max(holding.progressed_at, self.resumed_at) >= STALL_SECONDS
