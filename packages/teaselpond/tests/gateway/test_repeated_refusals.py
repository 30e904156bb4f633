"""Test upstreams that send an earlier refusal once more."""

import asyncio
from collections import Counter

from teaselpond_standins.service.listed import NOT_RUN, REQUEST_ID, SIGNATURE
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet
from teaselpond_standins.testing.raw import RawRequest, RawUpstream, encode_answer

REFUSED = "503 Service Unavailable"
NOT_RUN_STATUSES = (408, 421, 429, 503)


def encode_refusal(request_id: str = "") -> bytes:
    """Return the refusal of a request that was not run."""
    headers = {NOT_RUN: "1", **({REQUEST_ID: request_id} if request_id else {})}
    return encode_answer(REFUSED, headers=headers)


class RepeatedRefusalTests(AsyncTestCase):
    """Send a copy of an earlier refusal before the answer to a request."""

    async def start_fleet(self, *upstreams: RawUpstream) -> GatewayFleet:
        """Run a gateway with these upstreams of the plain service."""
        fleet = await self.enter(GatewayFleet(plain_count=0))
        for upstream in upstreams:
            await self.enter(upstream)
            await fleet.list_raw_upstream(upstream, "plain")
        known = fleet.daemons[0].host.routing_state.engines_by_id
        await self.wait_until(
            lambda: all(each.engine_id in known for each in upstreams)
        )
        return fleet

    async def test_copy_without_an_id_promises_nothing(self) -> None:
        """A call that ran is not reported as not run."""
        runs: Counter[str] = Counter()

        async def answer(request: RawRequest) -> None:
            if request.number > 1:
                request.writer.write(encode_refusal())
            runs[request.request_id] += 1
            identity = {REQUEST_ID: request.request_id, SIGNATURE: "signed"}
            request.writer.write(encode_answer("200 OK", b"whole", identity))

        fleet = await self.start_fleet(RawUpstream("raw-1", answer))
        statuses_by_id = {}
        for number in range(6):
            request_id = f"id-{number}"
            async with fleet.call(
                "/stock/x", method="GET", body=None, request_id=request_id
            ) as response:
                statuses_by_id[request_id] = response.status
        falsely_refused = [
            request_id
            for request_id, status in statuses_by_id.items()
            if status in NOT_RUN_STATUSES and runs[request_id]
        ]
        self.assertEqual([], falsely_refused, statuses_by_id)
        self.assertIn(200, statuses_by_id.values())

    async def test_refusal_without_an_id_on_a_new_connection_counts(self) -> None:
        """No other answer can come first there, so the call did not run."""

        async def answer(request: RawRequest) -> None:
            request.writer.write(encode_refusal())

        fleet = await self.start_fleet(RawUpstream("raw-1", answer))
        for path in ("/stock/x", "/orders/x"):
            async with fleet.call(path) as response:
                self.assertEqual(503, response.status, path)
            await asyncio.sleep(0.5)

    async def test_copy_of_the_own_refusal_is_not_taken_for_the_answer(self) -> None:
        """A call that is offered to an upstream again runs there once."""
        runs: Counter[str] = Counter()
        refused: set[str] = set()

        async def fail(request: RawRequest) -> None:
            identity = {REQUEST_ID: request.request_id, SIGNATURE: "signed"}
            request.writer.write(
                encode_answer("500 Internal Server Error", b"failed", identity)
            )

        async def answer(request: RawRequest) -> None:
            request_id = request.request_id
            if request_id not in refused:
                refused.add(request_id)
                request.writer.write(encode_refusal(request_id))
                return
            if request.number > 1:
                request.writer.write(encode_refusal(request_id))
            runs[request_id] += 1
            identity = {REQUEST_ID: request_id, SIGNATURE: "signed"}
            request.writer.write(encode_answer("200 OK", b"whole", identity))

        failing, shedding = RawUpstream("raw-1", fail), RawUpstream("raw-2", answer)
        fleet = await self.start_fleet(failing, shedding)
        for number in range(4):
            request_id = f"id-{number}"
            async with fleet.call(
                "/stock/x", method="GET", body=None, request_id=request_id
            ) as response:
                self.assertEqual((200, 1), (response.status, runs[request_id]))
