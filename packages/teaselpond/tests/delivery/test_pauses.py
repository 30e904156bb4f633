"""Test what a daemon does after a pause of its process."""

import asyncio

from teaselpond.delivery.pauses import (
    CATCH_UP_TIMEOUT_SECONDS,
    MIN_PAUSE_SECONDS,
    PauseGuard,
)
from teaselpond_standins.testing import AsyncTestCase

from .relay_harness import RelayHarness, make_call

POISON = "please run poison-a"


class Clock:
    """Return a time that tests advance."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class PauseGuardTests(AsyncTestCase):
    """Check that work is delayed after a pause."""

    def make(self, answers: list[bool]) -> PauseGuard:
        """Return a guard whose catch-ups return the given answers in turn."""
        self.clock = Clock()
        self.asked = 0

        async def catch_up() -> bool:
            self.asked += 1
            return answers.pop(0) if answers else False

        return PauseGuard(catch_up, self.clock)

    async def test_no_pause(self) -> None:
        """Delay nothing while the process runs."""
        guard = self.make([True])
        self.clock.now += MIN_PAUSE_SECONDS
        await guard.wait()
        self.assertEqual(0, self.asked)

    async def test_waits_for_a_peer(self) -> None:
        """Delay work until a peer has answered, and no longer."""
        guard = self.make([False, False, True])
        self.clock.now += MIN_PAUSE_SECONDS + 0.1
        await asyncio.gather(guard.wait(), guard.wait())
        self.assertEqual(3, self.asked)
        await guard.wait()
        self.assertEqual(3, self.asked)

    async def test_no_peer(self) -> None:
        """Delay work for a limited time when no peer answers."""
        guard = self.make([])
        self.clock.now += MIN_PAUSE_SECONDS + 0.1
        async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS * 5):
            await guard.wait()
        self.assertGreater(self.asked, 1)

    async def test_request_that_arrived_during_the_pause(self) -> None:
        """Refuse a poison request that peers quarantined during the pause."""
        async with RelayHarness(engines=3) as harness:
            other = harness.make_relay("d2")

            async def catch_up() -> bool:
                await other.quarantine.refresh()
                return True

            clock = Clock()
            other.pauses = PauseGuard(catch_up, clock)
            await harness.run_call(make_call(POISON))
            before = sum(len(each.records.crash_times) for each in harness.standins)
            clock.now += MIN_PAUSE_SECONDS + 0.1
            seen = await harness.run_call(make_call(POISON), relay=other)
            crashes = sum(len(each.records.crash_times) for each in harness.standins)
            self.assertEqual((2, 2), (before, crashes))
            self.assertEqual("quarantined not-run", seen)
