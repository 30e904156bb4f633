"""Bound each wait of a stream with one timer for all of them."""

import asyncio

CHECKS_PER_LIMIT = 4


class Stalled(Exception):
    """Report that a wait took longer than its limit."""

    def __init__(self, waiting_for: str) -> None:
        super().__init__(f"stalled: {waiting_for}")
        self.waiting_for = waiting_for


class StallWatch:
    """Cancel its task's wait when it takes too long; raise Stalled then.

    A timer of its own for each wait would cost more than the wait's work
    for each event. This one looks a few times within the shortest limit, so
    that a stall is seen after at most that limit and a part of it.
    """

    def __init__(self, shortest_limit_seconds: float) -> None:
        self._interval = shortest_limit_seconds / CHECKS_PER_LIMIT
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._waiting_for = ""
        self._deadline = float("inf")
        self._expired = False
        self._cancelling = 0

    def start_wait(self, waiting_for: str, limit_seconds: float) -> None:
        """Begin a wait of at most some seconds, which ends the one before."""
        self._waiting_for = waiting_for
        self._deadline = self._loop.time() + limit_seconds

    async def __aenter__(self) -> "StallWatch":
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling()
        self._schedule()
        return self

    async def __aexit__(self, error_type, error, traceback) -> None:
        self._timer.cancel()
        if not self._expired:
            return
        # A cancel from elsewhere that came as well has to go through.
        is_only_cancel = self._task.uncancel() <= self._cancelling
        if is_only_cancel and error_type is asyncio.CancelledError:
            raise Stalled(self._waiting_for) from error

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(self._interval, self._check)

    def _check(self) -> None:
        if self._loop.time() < self._deadline:
            self._schedule()
            return
        self._expired = True
        self._task.cancel()
