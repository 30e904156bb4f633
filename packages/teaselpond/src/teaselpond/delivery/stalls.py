"""Limit each wait of a stream with one timer for all waits."""

import asyncio

CHECKS_PER_LIMIT = 4


class Stalled(Exception):
    """Report that a wait took longer than its limit."""

    def __init__(self, waiting_for: str) -> None:
        super().__init__(f"timed out while waiting for the {waiting_for}")
        self.waiting_for = waiting_for


class StallWatch:
    """Raise Stalled in the current task when one of its waits is too long.

    A separate timer for each wait would cost more than forwarding the event
    itself. This timer checks CHECKS_PER_LIMIT times within the shortest
    limit, so a stall is detected at most one check interval late.
    """

    def __init__(self, shortest_limit_seconds: float) -> None:
        self._interval = shortest_limit_seconds / CHECKS_PER_LIMIT
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._waiting_for = ""
        self._deadline = float("inf")
        self._expired = False
        self._cancels_at_entry = 0

    def start_wait(self, waiting_for: str, limit_seconds: float) -> None:
        """Start to time a wait; the previous wait is over."""
        self._waiting_for = waiting_for
        self._deadline = self._loop.time() + limit_seconds

    async def __aenter__(self) -> "StallWatch":
        self._task = asyncio.current_task()
        self._cancels_at_entry = self._task.cancelling()
        self._schedule()
        return self

    async def __aexit__(self, error_type, error, traceback) -> None:
        self._timer.cancel()
        if not self._expired:
            return
        # If other code cancelled the task too, its cancel must take effect.
        is_only_cancel = self._task.uncancel() <= self._cancels_at_entry
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
