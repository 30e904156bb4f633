"""Hand out the memory for input: wait for it, and end those who stall."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from .budgets import Holding, MemoryBudget
from .pauses import PauseDetector

# How often those who wait ask again whether somebody has stalled.
ASK_AGAIN_SECONDS = 0.1


@define(eq=False)
class Wait:
    """Describe a holding that waits for bytes."""

    holding: Holding
    count: int
    granted: asyncio.Future


@define(eq=False)
class MemoryGate:
    """Give room in a budget to connections.

    ``end_by_holding`` has the callbacks that end holdings which may be ended
    for others, ``link_mbps`` is the bandwidth of the host, None if unknown.
    """

    budget: MemoryBudget
    pauses: PauseDetector
    link_mbps: float | None = None
    end_by_holding: dict[Holding, Callable[[], None]] = field(factory=dict)
    _waits: list[Wait] = field(factory=list)
    _timer: asyncio.TimerHandle | None = None

    def hold(self, holding: Holding, count: int) -> None:
        """Count bytes that are there already, and make room for them.

        ``holding.has_ended`` is set if there is none.
        """
        if not self.budget.can_take(holding, count):
            self._make_room(holding, count)
            holding.has_ended = not self.budget.can_take(holding, count)
        self.budget.take(holding, count)

    async def take(self, holding: Holding, count: int) -> None:
        """Take room for bytes, and wait for it while there is none.

        A holding that was ended meanwhile gets none; see ``has_ended``.
        """
        if not self._waits and self.budget.can_take(holding, count):
            self.budget.take(holding, count)
            return
        wait = Wait(holding, count, asyncio.get_running_loop().create_future())
        holding.is_waiting = True
        self._waits.append(wait)
        # The smallest first, so that ordinary requests pass large bodies.
        self._waits.sort(key=lambda each: each.holding.held_bytes + each.count)
        try:
            self._grant(may_end=True)
            await wait.granted
        finally:
            holding.is_waiting = False
            if wait in self._waits:
                self._waits.remove(wait)

    def shrink(self, holding: Holding, held_bytes: int) -> None:
        """Release what a holding has beyond some bytes."""
        self.budget.shrink(holding, held_bytes)
        if self._waits:
            self._grant()

    def release(self, holding: Holding) -> None:
        """Release all that a holding has."""
        self.budget.release(holding)
        self.end_by_holding.pop(holding, None)
        if self._waits:
            self._grant()

    @property
    def waiting(self) -> int:
        """Return how many wait for room."""
        return len(self._waits)

    def _grant(self, *, may_end: bool = False) -> None:
        """Give room to those who wait; ``may_end`` ends others for them."""
        for wait in list(self._waits):
            if wait.granted.done():
                continue
            if may_end and not self.budget.can_take(wait.holding, wait.count):
                self._make_room(wait.holding, wait.count)
                # Larger ones find nobody to end either.
                may_end = self.budget.can_take(wait.holding, wait.count)
            if not self.budget.can_take(wait.holding, wait.count):
                continue
            self.budget.take(wait.holding, wait.count)
            self._waits.remove(wait)
            wait.holding.is_waiting = False
            wait.granted.set_result(None)
        self._ask_again_later()

    def _make_room(self, holding: Holding, count: int) -> None:
        now = asyncio.get_running_loop().time()
        self.budget.resumed_at = self.pauses.resumed_at(now)
        while not self.budget.can_take(holding, count):
            ended = self.budget.choose_ended(holding, now)
            if ended is None:
                return
            ended.has_ended = True
            self.budget.release(ended)
            end = self.end_by_holding.pop(ended, None)
            if end is not None:
                end()

    def _ask_again_later(self) -> None:
        if self._timer is not None or not self._waits:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ASK_AGAIN_SECONDS, self._ask_again)

    def _ask_again(self) -> None:
        self._timer = None
        self._grant(may_end=True)
