"""Test which requests complete gateways refuse for ends of upstreams."""

import asyncio

from teaselpond.gateway.health import EJECT_MIN_SECONDS
from teaselpond_standins.faults import FaultPlan
from teaselpond_standins.service import ListedFault
from teaselpond_standins.service import ListedFaultKind as Kind
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet


class RefusedRequestTests(AsyncTestCase):
    """Break requests off, or spoil the answers to them."""

    async def test_poisonous_request(self) -> None:
        """A request that breaks upstreams reaches at most three of them."""
        fleet = await self.enter(GatewayFleet(size=2, model_count=6))
        for upstream in fleet.model_upstreams:
            upstream.add_fault(Kind.RUN_THEN_DROP, count=100)
        for number in range(6):
            async with fleet.call("/stream/x", number=number % 2) as response:
                self.assertIn(response.status, (502, 503))
            await asyncio.sleep(0.5)
        reached = sum(bool(each.seen_calls) for each in fleet.model_upstreams)
        self.assertLessEqual(reached, 3)

    async def test_request_with_invalid_answers_is_not_quarantined(self) -> None:
        """Upstreams that answer live, whatever they answer."""
        for kind in (Kind.UNSIGNED, Kind.ENCODED, Kind.CROSS):
            fleet = await self.enter(GatewayFleet())
            for upstream in fleet.plain_upstreams:
                upstream.add_fault(kind, count=100)
            for _ in range(4):
                async with fleet.call("/stock/x", method="GET") as response:
                    self.assertEqual(502, response.status, kind)
                await asyncio.sleep(0.5)
            for upstream in fleet.plain_upstreams:
                upstream.faults = FaultPlan()
            await asyncio.sleep(2 * EJECT_MIN_SECONDS)
            async with fleet.call("/stock/x", method="GET") as response:
                self.assertEqual(200, response.status, kind)

    async def test_popular_request_is_not_quarantined(self) -> None:
        """Callers of a target are not refused for others' broken requests."""
        fleet = await self.enter(GatewayFleet(size=2, plain_count=6))
        upstreams = fleet.plain_upstreams
        for upstream in upstreams:
            upstream.faults = upstreams[0].faults
        for number in range(6):
            # Both upstreams of the first call break off.
            upstreams[0].faults.add(ListedFault(Kind.RUN_THEN_DROP), 2)
            statuses = []
            for _ in range(2):
                async with fleet.call(
                    "/stock/x", method="GET", body=None, number=number % 2
                ) as response:
                    statuses.append(response.status)
            self.assertEqual([502, 200], statuses, number)
            await asyncio.sleep(0.5)
