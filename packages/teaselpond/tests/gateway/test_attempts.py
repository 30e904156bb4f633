"""Test the attempts of one call that are open at the same time."""

import asyncio

from multidict import CIMultiDict

from teaselpond.gateway.attempts import Attempt, OpenAttempts
from teaselpond.gateway.health import Result
from teaselpond.gateway.placement import Placement
from teaselpond.gateway.replies import Reply
from teaselpond.gateway.routing_state import EngineRecord
from teaselpond.gateway.sending import AttemptFailed
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import make_engine

REPLY = Reply(200, CIMultiDict(), b"answer")
LIMIT_SECONDS = 0.05


class OpenAttemptsTests(AsyncTestCase):
    """Start attempts that wait until the test lets them answer."""

    def setUp(self) -> None:
        super().setUp()
        self.ended: list[str] = []

    def add(
        self,
        attempts: OpenAttempts,
        name: str,
        answer: asyncio.Future,
        *,
        limit_seconds: float | None = None,
    ) -> Attempt:
        """Start an attempt that ends like a future."""
        record = EngineRecord(make_engine(name), 0.0, 0.0)
        attempt = Attempt(Placement(record, 0, 0.0, 1, 0), 0.0)

        async def wait() -> Reply:
            return await answer

        attempt.limit_silence(limit_seconds)
        attempts.add(attempt, wait(), lambda: self.ended.append(name))
        return attempt

    async def test_attempt_stays_open_while_it_is_overdue(self) -> None:
        """An overdue attempt is reported once, and may still answer."""
        answer = asyncio.get_running_loop().create_future()
        async with OpenAttempts() as attempts:
            attempt = self.add(attempts, "e1", answer, limit_seconds=LIMIT_SECONDS)
            self.assertFalse(attempts.are_overdue())
            await attempts.wait(None)
            self.assertEqual([attempt], attempts.take_overdue())
            self.assertEqual([], attempts.take_overdue())
            self.assertTrue(attempts.are_overdue())
            answer.set_result(REPLY)
            await attempts.wait(None)
            self.assertEqual([attempt], attempts.take_ended())
            self.assertIs(REPLY, attempt.result())
            self.assertEqual(0, len(attempts))

    async def test_heard_attempt_is_not_overdue(self) -> None:
        """A new limit applies from the last event on."""
        answer = asyncio.get_running_loop().create_future()
        async with OpenAttempts() as attempts:
            attempt = self.add(attempts, "e1", answer, limit_seconds=LIMIT_SECONDS)
            await attempts.wait(None)
            attempt.limit_silence(None)
            self.assertFalse(attempts.are_overdue())

    async def test_first_attempt_with_events_ends_the_others(self) -> None:
        """The others count as silent, and may not write any more."""
        loop = asyncio.get_running_loop()
        async with OpenAttempts() as attempts:
            first = self.add(attempts, "e1", loop.create_future())
            second = self.add(attempts, "e2", loop.create_future())
            await asyncio.sleep(0)
            self.assertTrue(attempts.claim_caller(second))
            self.assertFalse(attempts.claim_caller(first))
            await attempts.wait(None)
            self.assertEqual([first], attempts.take_ended())
            with self.assertRaises(AttemptFailed) as raised:
                first.result()
            self.assertIs(Result.SILENT, raised.exception.result)
        self.assertEqual(["e1", "e2"], self.ended)

    async def test_given_up_attempt_is_not_the_newest(self) -> None:
        """Guards against a stream whose both attempts are given up (ORDER).

        An attempt that was given up takes some turns of the event loop to end.
        """
        loop = asyncio.get_running_loop()
        async with OpenAttempts() as attempts:
            first = self.add(attempts, "e1", loop.create_future())
            self.add(attempts, "e2", loop.create_future())
            await asyncio.sleep(0)
            self.assertTrue(attempts.claim_caller(first))
            self.assertIs(first, attempts.newest)
            attempts.give_up_others(attempts.newest)
            self.assertFalse(first.is_given_up)

    async def test_no_attempt_writes_beside_a_whole_answer(self) -> None:
        """Guard against events and a whole answer for one caller."""
        answer = asyncio.get_running_loop().create_future()
        async with OpenAttempts() as attempts:
            self.add(attempts, "e1", answer)
            late = self.add(attempts, "e2", asyncio.Future())
            answer.set_result(REPLY)
            await attempts.wait(None)
            self.assertFalse(attempts.claim_caller(late))

    async def test_cancelled_call_ends_all_attempts(self) -> None:
        """No attempt outlives its call."""
        loop = asyncio.get_running_loop()

        async def run() -> None:
            async with OpenAttempts() as attempts:
                for name in ("e1", "e2"):
                    self.add(attempts, name, loop.create_future())
                await attempts.wait(None)

        running = asyncio.create_task(run())
        await asyncio.sleep(LIMIT_SECONDS)
        running.cancel()
        await asyncio.wait((running,))
        self.assertTrue(running.cancelled())
        self.assertEqual(["e1", "e2"], self.ended)
