"""Let waits take too long."""

import asyncio

from teaselpond.delivery.stalls import Stalled, StallWatch
from teaselpond_standins.testing import AsyncTestCase


class StallWatchTests(AsyncTestCase):
    """Check that only a wait that is too long is cut."""

    async def test_long_wait_is_cut_and_named(self) -> None:
        """Name the wait that took too long, whichever came before."""
        try:
            async with StallWatch(0.02) as watch:
                watch.start_wait("engine", 0.02)
                await asyncio.sleep(0.001)
                watch.start_wait("caller", 0.02)
                await asyncio.Event().wait()
        except Stalled as error:
            self.assertEqual("caller", error.waiting_for)
        else:
            self.fail("was not cut")
        # The task goes on as if it had not been cancelled.
        await asyncio.sleep(0)

    async def test_many_short_waits_are_not_cut(self) -> None:
        """Let waits go on that together are longer than the limit."""
        async with StallWatch(0.2) as watch:
            for _ in range(40):
                watch.start_wait("engine", 0.2)
                await asyncio.sleep(0.01)

    async def test_cancel_from_elsewhere_goes_through(self) -> None:
        """Don't take another's cancel for a stall."""

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
