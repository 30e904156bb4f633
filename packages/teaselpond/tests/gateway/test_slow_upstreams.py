"""Test that calls are answered by upstreams that are silent for a while.

All upstreams of a service are slow together, so that most retries are refused.
"""

import asyncio
import time

import aiohttp
from attrs import frozen

from teaselpond_standins.platform.operator import wire_configuration
from teaselpond_standins.service.listed import ListedFaultKind
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet

EVENTS = 6
# Events of the stream route may take 0.6 s, and its first one 0.45 s.
PAUSE_SECONDS = 1.0
# The route's objective is 0.3 s, the deadline of its calls 3 s.
WORK_SECONDS = 0.9
CALL_COUNT = 60
CALL_GAP_SECONDS = 0.01
# The host of the tests refuses new calls 3 s after the stop signal.
REFUSE_SECONDS = 3.0
# A host alone may use 40 retries in a window.
RETRY_SLACK = 50.0


@frozen
class CallResult:
    """Describe what a caller received."""

    status: int
    body: bytes
    is_whole: bool

    @property
    def numbers(self) -> list[int]:
        """Return the numbers of the events."""
        lines = self.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class SlowUpstreamTests(AsyncTestCase):
    """Send calls while upstreams are slow, and read what callers get."""

    async def start_fleet(self, **fields: object) -> GatewayFleet:
        """Start gateways whose upstreams all pause in each stream."""
        fleet = await self.enter(GatewayFleet(**fields))
        for upstream in fleet.model_upstreams:
            upstream.stream_events = EVENTS
            upstream.event_seconds = 0.02
            upstream.pause_event = 3
            upstream.pause_seconds = PAUSE_SECONDS
        return fleet

    async def read(self, fleet: GatewayFleet, path: str, number: int) -> CallResult:
        """Send a call to a gateway, and return its result."""
        async with fleet.call(path, number=number) as response:
            body = bytearray()
            try:
                async for part in response.content.iter_any():
                    body += part
            except aiohttp.ClientError:
                return CallResult(response.status, bytes(body), False)
        return CallResult(response.status, bytes(body), True)

    async def read_all(
        self,
        fleet: GatewayFleet,
        path: str,
        *,
        count: int = CALL_COUNT,
        numbers: tuple[int, ...] = (0,),
    ) -> list[CallResult]:
        """Send calls to gateways in turn, and return their results."""
        tasks = []
        for index in range(count):
            number = numbers[index % len(numbers)]
            tasks.append(asyncio.create_task(self.read(fleet, path, number)))
            await asyncio.sleep(CALL_GAP_SECONDS)
        return await asyncio.gather(*tasks)

    def check_streams(self, results: list[CallResult]) -> None:
        """Check that each caller got each event once, in order."""
        cut = [result for result in results if not result.is_whole]
        self.assertEqual([], cut, f"{len(cut)} of {len(results)} streams were cut")
        for result in results:
            self.assertEqual(200, result.status)
            self.assertEqual(list(range(1, EVENTS + 1)), result.numbers)

    def check_attempts(
        self, fleet: GatewayFleet, results: list[CallResult], *, size: int = 1
    ) -> None:
        """Check the bounds on runs by call and on the fleet's retries."""
        upstreams = fleet.model_upstreams + fleet.plain_upstreams
        calls = [seen for upstream in upstreams for seen in upstream.seen_calls]
        ids = {seen.request_id for seen in calls}
        for request_id in ids:
            runs = sum(upstream.runs_by_id[request_id] for upstream in upstreams)
            self.assertLessEqual(runs, 2)
        self.assertLessEqual(len(calls) - len(ids), 0.2 * len(results) + RETRY_SLACK)

    async def test_streams_of_pausing_upstreams_are_not_cut_without_a_retry(
        self,
    ) -> None:
        """Guard against streams cut because their retry was refused."""
        fleet = await self.start_fleet()
        results = await self.read_all(fleet, "/stream/x", count=120)
        self.check_streams(results)
        self.check_attempts(fleet, results)

    async def test_streams_are_not_cut_during_a_planned_stop(self) -> None:
        """Guard against streams cut by a stop while their upstreams pause."""
        fleet = await self.start_fleet(size=3, model_count=3)
        reading = asyncio.create_task(
            self.read_all(fleet, "/stream/x", count=150, numbers=(0, 1, 2))
        )
        await asyncio.sleep(0.5)
        fleet.daemons[0].begin_stop()
        results = await reading
        self.check_streams(results)
        self.check_attempts(fleet, results)

    async def test_streams_that_pause_late_in_the_grace_are_not_cut(self) -> None:
        """Guard against streams cut as too little of the grace remains."""
        configuration = wire_configuration()
        configuration["Routes"][0]["SloMs"] = 900
        fleet = await self.start_fleet(
            size=2, bounds={"grace_seconds": 4.5}, configuration=configuration
        )
        for upstream in fleet.model_upstreams:
            upstream.event_seconds = 0.15
            upstream.pause_event = EVENTS
            upstream.pause_seconds = 0.9
        fleet.daemons[0].begin_stop()
        await asyncio.sleep(REFUSE_SECONDS - 1.1)
        results = await self.read_all(fleet, "/stream/x", count=8)
        self.check_streams(results)

    async def test_stream_of_the_only_upstream_is_not_cut(self) -> None:
        """Guard against streams cut because no other upstream is listed."""
        fleet = await self.start_fleet(model_count=1)
        results = await self.read_all(fleet, "/stream/x", count=5)
        self.check_streams(results)

    async def test_stream_is_not_cut_when_other_upstreams_shed_it(self) -> None:
        """Guard against streams given up for upstreams that shed the retry."""
        fleet = await self.start_fleet(model_count=3)
        sending = asyncio.create_task(self.read_all(fleet, "/stream/x", count=12))
        await asyncio.sleep(0.4)
        for upstream in fleet.model_upstreams[1:]:
            upstream.add_fault(ListedFaultKind.SHED, count=1000)
        results = await sending
        self.check_streams(results)

    async def test_whole_answers_are_delivered_late(self) -> None:
        """Guard against calls given up although an upstream would answer."""
        fleet = await self.enter(GatewayFleet())
        for upstream in fleet.plain_upstreams:
            upstream.work_seconds = WORK_SECONDS
        results = await self.read_all(fleet, "/stock/x", count=120)
        self.assertEqual([200] * 120, [result.status for result in results])
        self.check_attempts(fleet, results)

    async def test_whole_answer_of_the_only_upstream_is_delivered(self) -> None:
        """Guard against calls given up because no other upstream is listed."""
        fleet = await self.enter(GatewayFleet(plain_count=1))
        fleet.plain_upstreams[0].work_seconds = WORK_SECONDS
        results = await self.read_all(fleet, "/stock/x", count=5)
        self.assertEqual([200] * 5, [result.status for result in results])

    async def test_callers_that_leave_end_all_runs(self) -> None:
        """Guard against runs that go on after their caller has left."""
        fleet = await self.enter(GatewayFleet())
        for upstream in fleet.plain_upstreams:
            upstream.work_seconds = 2.5
        calls = [
            asyncio.create_task(self.read(fleet, "/stock/x", 0)) for _ in range(10)
        ]
        await asyncio.sleep(0.7)
        for call in calls:
            call.cancel()
        left_at = time.monotonic()
        await self.wait_until(
            lambda: not any(upstream.running for upstream in fleet.plain_upstreams)
        )
        self.assertLess(time.monotonic() - left_at, 0.5)

    async def test_calls_are_served_while_their_upstreams_are_slow(self) -> None:
        """Guard against sound calls suspected of crashing slow upstreams."""
        fleet = await self.enter(GatewayFleet(size=3, plain_count=5))
        for upstream in fleet.plain_upstreams:
            upstream.work_seconds = WORK_SECONDS
        results = await self.read_all(fleet, "/stock/x", count=300, numbers=(0, 1, 2))
        refused = [result.body for result in results if result.status != 200]
        self.assertEqual([], refused, f"{len(refused)} of 300 calls were refused")
