"""Test the phases of a planned stop."""

import asyncio

from teaselpond.delivery.drain import Drain, Phase
from teaselpond.exceptions import Refused
from teaselpond_model.contracts import Address
from teaselpond_standins.testing import AsyncTestCase

OTHERS = (Address("127.0.0.1", 7000),)


class DrainTests(AsyncTestCase):
    """Check that a planned stop interrupts no request."""

    async def test_phases(self) -> None:
        """Serve for the time to live, then refuse with alternatives."""
        drain = Drain(ttl_seconds=10.0, alternatives=lambda: OTHERS)
        drain.start(100.0)
        drain.start(105.0)
        for now, phase in ((100.0, Phase.UNLISTED), (109.9, Phase.UNLISTED)):
            self.assertEqual(phase, drain.phase(now))
            with drain.request(now):
                self.assertEqual(1, drain.active)
        self.assertEqual(Phase.REFUSING, drain.phase(110.0))
        refused = self._refusal(drain, 110.0)
        self.assertEqual(("leaving", "not-run"), refused[:2])
        self.assertEqual(OTHERS, refused[2])

    async def test_requests_in_progress_end_before_the_steps(self) -> None:
        """Run the steps in order, after the last request."""
        drain = Drain(ttl_seconds=0.02, finish_seconds=5.0)
        done = []

        async def step(name: str) -> None:
            done.append((name, drain.active))

        with drain.request(0.0):
            stop = asyncio.create_task(
                drain.run(lambda: step("jobs"), lambda: step("lease"))
            )
            await asyncio.sleep(0.06)
            self.assertEqual([], done)
        self.assertTrue(await stop)
        self.assertEqual([("jobs", 0), ("lease", 0)], done)
        self.assertEqual(Phase.STOPPED, drain.phase(0.0))

    async def test_stop_ends_after_its_timeout_and_despite_errors(self) -> None:
        """Run every step although a request hangs and a step fails."""
        drain = Drain(ttl_seconds=0.0, finish_seconds=0.02)
        done = []

        async def fail() -> None:
            raise ValueError("step")

        async def step() -> None:
            done.append("step")

        with drain.request(0.0):
            errors = await self._errors(drain.run(fail, step))
        self.assertEqual((["step"], 1), (done, len(errors.exceptions)))

    async def _errors(self, awaitable) -> ExceptionGroup:
        try:
            await awaitable
        except ExceptionGroup as group:
            return group
        return self.fail("expected an ExceptionGroup")

    def _refusal(self, drain: Drain, now: float) -> tuple:
        try:
            with drain.request(now):
                return self.fail("expected a refusal, but the request was admitted")
        except Refused as refused:
            return refused.reason.value, refused.run.value, refused.alternatives
