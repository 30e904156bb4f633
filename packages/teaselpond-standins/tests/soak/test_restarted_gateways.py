"""Restart gateway processes while upstreams fail, and count the retries."""

import asyncio
import time

import aiohttp

from teaselpond_standins.service import ListedFaultKind as Kind
from teaselpond_standins.soak.single_calls import send_call
from teaselpond_standins.soak.site import SoakPlan, SoakSite
from teaselpond_standins.testing import AsyncTestCase

PLAN = SoakPlan(gateways=3, model_engines=0, plain_engines=4, callers=0)
# The bounds that the site writes to the settings of its gateways.
RETRY_RATIO = 0.2
RETRY_SLACK = 50
WINDOW_SECONDS = 10.0
# The slack alone would carry the retries of two more processes a gateway.
CALLS_PER_SECOND = 20
SERVING_SECONDS = 2.5
START_SECONDS = 20.0
RESTARTS = 2


class RestartedGatewaysTests(AsyncTestCase):
    """Keep to the retry budget though processes forget what they used."""

    async def test_retries_across_restarts(self) -> None:
        """All gateways restart twice within about one window."""
        site = await self.enter(SoakSite(PLAN))
        self.assertEqual([], await site.wait_until_ready(START_SECONDS))
        upstreams = [each.upstream for each in site.engines_by_id.values()]
        for upstream in upstreams:
            upstream.add_fault(Kind.FAIL, count=100_000)
        sent: list[float] = []
        async with aiohttp.ClientSession() as session:
            sender = asyncio.create_task(self.send_calls(site, session, sent))
            for _ in range(RESTARTS):
                await asyncio.sleep(SERVING_SECONDS)
                await asyncio.gather(*(each.kill() for each in site.gateways))
                await asyncio.gather(*(each.start() for each in site.gateways))
                await site.wait_until_ready(START_SECONDS)
            await asyncio.sleep(SERVING_SECONDS)
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
        times_by_id: dict[str, list[float]] = {}
        for upstream in upstreams:
            for call in upstream.seen_calls:
                times_by_id.setdefault(call.request_id, []).append(call.at)
        retries = sorted(
            at for times in times_by_id.values() for at in sorted(times)[1:]
        )
        self.assertGreater(len(retries), 0)
        for start in retries:
            end = start + WINDOW_SECONDS
            count = sum(start <= at < end for at in retries)
            requests = max(
                sum(start - before <= at < end - before for at in sent)
                for before in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
            )
            self.assertLessEqual(count, RETRY_RATIO * requests + RETRY_SLACK)

    async def send_calls(
        self, site: SoakSite, session: aiohttp.ClientSession, sent: list[float]
    ) -> None:
        """Send calls that may be repeated to the gateways in turn."""
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while True:
                gateway = site.gateways[number % len(site.gateways)]
                address = site.get_entry_address(gateway)
                sent.append(time.monotonic())
                call = send_call(
                    session, address, "/stock/x", f"id-{number}", deadline_ms=2000
                )
                tasks.create_task(call)
                number += 1
                await asyncio.sleep(1 / CALLS_PER_SECOND)
