"""Send calls to gateway processes while all of their upstreams are slow."""

import asyncio
import signal

import aiohttp

from teaselpond_standins.soak.single_calls import send_call
from teaselpond_standins.soak.site import SoakPlan, SoakSite
from teaselpond_standins.testing import AsyncTestCase

PLAN = SoakPlan(gateways=3, model_engines=3, plain_engines=3, callers=0)
START_SECONDS = 20.0
# Events of the stream route may take 0.6 s, and calls of the other one 0.3 s.
PAUSE_SECONDS = 1.0
WORK_SECONDS = 0.9
CALLS = 150
CALL_GAP_SECONDS = 0.015
STOP_AFTER = 40
DEADLINE_MS = 3000


class SlowEnginesTests(AsyncTestCase):
    """Slow down upstreams, and send SIGTERM to one of three gateways."""

    async def send_all(self, path: str, *, stops: bool) -> list[int | None]:
        """Send calls to the gateways in turn; return the statuses."""
        site = await self.enter(SoakSite(PLAN))
        self.assertEqual([], await site.wait_until_ready(START_SECONDS))
        session = await self.enter(aiohttp.ClientSession())
        for engine in site.engines_by_id.values():
            engine.upstream.pause_event = 3
            engine.upstream.pause_seconds = PAUSE_SECONDS
            if engine.service == "plain":
                engine.upstream.work_seconds = WORK_SECONDS
        calls = []
        for number in range(CALLS):
            gateway = site.gateways[number % len(site.gateways)]
            call = send_call(
                session,
                site.get_entry_address(gateway),
                f"{path}{number}",
                f"id-{number}",
                body=b"asked",
                deadline_ms=DEADLINE_MS,
            )
            calls.append(asyncio.create_task(call))
            if stops and number == STOP_AFTER:
                site.gateways[0].process.send_signal(signal.SIGTERM)
            await asyncio.sleep(CALL_GAP_SECONDS)
        return await asyncio.gather(*calls)

    async def test_streams_around_a_planned_stop(self) -> None:
        """Guard against streams that are cut while their upstreams pause."""
        statuses = await self.send_all("/stream/", stops=True)
        self.assertEqual([200] * CALLS, statuses)

    async def test_streams_without_a_stop(self) -> None:
        """Guard against streams that are cut without planned work."""
        statuses = await self.send_all("/stream/", stops=False)
        self.assertEqual([200] * CALLS, statuses)

    async def test_calls_around_a_planned_stop(self) -> None:
        """Guard against calls that are given up by a host that leaves."""
        statuses = await self.send_all("/stock/", stops=True)
        self.assertEqual([200] * CALLS, statuses)

    async def test_calls_without_a_stop(self) -> None:
        """Guard against calls that are given up before their answers."""
        statuses = await self.send_all("/stock/", stops=False)
        self.assertEqual([200] * CALLS, statuses)
