"""Let an upstream stop in the middle of its answers' heads and close."""

import asyncio
from collections import Counter

import aiohttp

from teaselpond_standins.service import ListedUpstream
from teaselpond_standins.service.listed import REQUEST_ID, SIGNATURE
from teaselpond_standins.soak.single_calls import send_call
from teaselpond_standins.soak.site import PLAIN, SoakPlan, SoakSite
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.raw import RawRequest, RawUpstream, encode_answer

PLAN = SoakPlan(gateways=1, model_engines=0, plain_engines=0, callers=0)
START_SECONDS = 20.0
CALLS = 40
# An upstream that fails a few times in a row is left out for a while.
GAP_SECONDS = 0.15
DEADLINE_MS = 2000


class CutHeadTests(AsyncTestCase):
    """Send calls that may run once through a gateway process."""

    async def test_no_part_of_a_head_is_an_answer(self) -> None:
        """Callers get a failure, and their calls run once at most."""
        cuts: list[int] = []

        async def answer(request: RawRequest) -> None:
            headers = {REQUEST_ID: request.request_id, SIGNATURE: "signed"}
            whole = encode_answer("200 OK", b"x" * 1200, headers)
            head = whole.partition(b"\r\n\r\n")[0] + b"\r\n\r"
            cuts.append(len(cuts) * len(head) // CALLS)
            request.writer.write(head[: cuts[-1]])
            request.writer.close()

        upstream = await self.enter(RawUpstream("raw-1", answer))
        site = await self.enter(SoakSite(PLAN))
        entry = ListedUpstream("raw-1").entry(PLAIN, Address=str(upstream.address))
        await site.platform.rows.put_json("servers", "raw-1", entry)
        self.assertEqual([], await site.wait_until_ready(START_SECONDS))
        address = site.get_entry_address(site.gateways[0])
        statuses: Counter[int | None] = Counter()
        async with aiohttp.ClientSession() as session:
            for number in range(CALLS):
                status = await send_call(
                    session,
                    address,
                    "/orders/x",
                    f"id-{number}",
                    deadline_ms=DEADLINE_MS,
                )
                statuses[status] += 1
                await asyncio.sleep(GAP_SECONDS)
        self.assertEqual(set(), set(statuses) - {502, 503}, statuses)
        runs = Counter(request.request_id for request in upstream.requests)
        self.assertEqual(1, max(runs.values()))
        self.assertEqual(statuses[502], len(runs))
        self.assertGreater(len(set(cuts)), 4)
