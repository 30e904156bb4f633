"""Test the timeout of waits."""

import asyncio

from teaselpond.delivery.stalls import Stalled, StallWatch
from teaselpond_standins.testing import AsyncTestCase


class StallWatchTests(AsyncTestCase):
    """Check that only a wait that is too long is cancelled."""

    async def test_long_wait_is_cut_and_named(self) -> None:
        """Name the wait that took too long, not the one before it."""
        try:
            async with StallWatch(0.02) as watch:
                # A pause of the test must not expire the first wait.
                watch.start_wait("engine", 10.0)
                await asyncio.sleep(0.001)
                watch.start_wait("caller", 0.02)
                await asyncio.Event().wait()
        except Stalled as error:
            self.assertEqual("caller", error.waiting_for)
        else:
            self.fail("expected Stalled, but the wait was not cancelled")
        # The task can await again: its cancellation was taken back.
        await asyncio.sleep(0)

    async def test_many_short_waits_are_not_cancelled(self) -> None:
        """Allow short waits whose sum exceeds the limit."""
        async with StallWatch(0.2) as watch:
            for _ in range(40):
                watch.start_wait("engine", 0.2)
                await asyncio.sleep(0.01)

    async def test_cancel_by_other_code_takes_effect(self) -> None:
        """Don't report another cancel of the task as a stall."""

        async def wait() -> None:
            async with StallWatch(0.02) as watch:
                watch.start_wait("engine", 0.02)
                try:
                    await asyncio.Event().wait()
                except asyncio.CancelledError:
                    task.cancel()
                    raise

        for early in (False, True):
            task = asyncio.create_task(wait())
            await asyncio.sleep(0)
            if early:
                task.cancel()
            (error,) = await asyncio.gather(task, return_exceptions=True)
            self.assertIsInstance(error, asyncio.CancelledError)
