"""Check orders sent to engine stand-ins over HTTP.

Cover engines that check fencing tokens and engines that don't.
"""

import time
from collections.abc import Mapping
from contextlib import AsyncExitStack

from attrs import define

from teaselpond.exceptions import UpstreamRefused
from teaselpond.leases import LeaseManager, LeaseSettings
from teaselpond.orders import DesiredState, EngineClaims
from teaselpond.orders.change import ChangeContext, ChangePlan, EngineChange
from teaselpond.orders.rollout_store import RolloutStore
from teaselpond.orders.settings import OrderSettings
from teaselpond.upstreams import EngineClient, UpstreamClient
from teaselpond_model.contracts import Address, EngineOrder, LoadReport, OrderKind
from teaselpond_model.rollouts import RolloutLimits
from teaselpond_standins.engine import EngineFaultKind, EngineSettings, EngineStandin
from teaselpond_standins.platform import MemoryTable, MemoryWeights
from teaselpond_standins.testing import AsyncTestCase

LEASES = LeaseSettings(duration_seconds=30.0, renew_seconds=10.0)
ORDERS = OrderSettings(report_interval_seconds=0.05, settle_timeout_seconds=20.0)


@define
class SingleEngineFleet:
    """Implement EngineFleet for one owned engine that is idle."""

    address: Address

    def owned_engines(self) -> Mapping[str, Address]:
        """Return the address of the engine."""
        return {"e1": self.address}

    def last_report(self, engine_id: str) -> LoadReport | None:
        """Return None: a change reads the report from the engine itself."""
        return None

    def slots_by_engine(self, model: str) -> Mapping[str, int]:
        """Return the slots of the engine and of another one."""
        return {"e1": 8, "e2": 8}

    def outstanding_requests(self, model: str) -> int:
        """Return 0."""
        return 0

    def hold(self, engine_id: str) -> None:
        """Do nothing: no requests are dispatched."""

    def resume(self, engine_id: str) -> None:
        """Do nothing: no requests are dispatched."""

    def in_flight(self, engine_id: str) -> int:
        """Return 0."""
        return 0


class EngineOrderTests(AsyncTestCase):
    """Check changes against the engine's HTTP interface."""

    async def start(
        self, stack: AsyncExitStack, *, checks_fence: bool = True, load: float = 0.0
    ) -> None:
        """Start an engine stand-in and a table that all daemons share."""
        settings = EngineSettings(
            checks_fences=checks_fence,
            load_model_seconds=load,
            load_interval_seconds=0.02,
            load_lag_seconds=0.0,
        )
        self.engine = await stack.enter_async_context(EngineStandin(settings))
        client = await stack.enter_async_context(UpstreamClient())
        fresh = await stack.enter_async_context(UpstreamClient(reuse=False))
        self.link = EngineClient(client, fresh)
        self.table = MemoryTable()
        self.checks_fence = checks_fence

    async def change(self, daemon_id: str, version: str, seconds: float = 5.0) -> bool:
        """Run a change to a model version as a daemon; return its result."""
        leases = LeaseManager(self.table, daemon_id, daemon_id, settings=LEASES)
        await leases.step(time.monotonic())
        address = self.engine.address
        context = ChangeContext(
            leases,
            EngineClaims(self.table, daemon_id, daemon_id, LEASES),
            RolloutStore(self.table),
            SingleEngineFleet(address),
            self.link,
            MemoryWeights(),
            ORDERS,
        )
        desired = DesiredState("e1", "fitting", version, (), "serve", self.checks_fence)
        limits = RolloutLimits(1, 0.5)
        plan = ChangePlan(desired, limits, seconds, frozenset({"e1", "e2"}))
        return await EngineChange(context, "e1", address, lambda: plan).run()

    async def send_delayed_order(self, fence: int) -> None:
        """Send the order of a daemon that was paused right before sending."""
        order = EngineOrder(OrderKind.LOAD_MODEL, fence, "fitting", "late")
        await self.link.order(self.engine.address, order, seconds=5.0)

    async def test_delayed_order_is_refused_by_its_fence(self) -> None:
        """Refuse an order whose holder was replaced while it was delayed."""
        async with AsyncExitStack() as stack:
            await self.start(stack)
            self.assertTrue(await self.change("d1", "2"))
            old_fence = self.engine.records.orders[-1].fence
            self.assertTrue(await self.change("d2", "3"))
            try:
                await self.send_delayed_order(old_fence)
            except UpstreamRefused as error:
                self.assertEqual(409, error.status)
            else:
                self.fail("the engine accepted the delayed order")
            self.assertEqual("3", self.engine.engine.model_version)
            fences = [order.fence for order in self.engine.records.orders]
            self.assertEqual(sorted(set(fences)), fences)

    async def test_engine_without_fences_waits_for_expired_claim(self) -> None:
        """Send no order while an earlier holder may still send one."""
        async with AsyncExitStack() as stack:
            await self.start(stack, checks_fence=False)
            self.assertTrue(await self.change("d1", "2"))
            self.assertFalse(await self.change("d2", "3"))
            self.assertEqual("2", self.engine.engine.model_version)
            self.assertEqual(1, len(self.engine.records.orders))

    async def test_lost_and_slow_answers_cause_no_second_order(self) -> None:
        """Read the engine's report instead if an answer is lost or slow."""
        for load, seconds, fault in (
            (0.0, 5.0, None),
            (0.6, 0.1, None),
            (0.0, 5.0, EngineFaultKind.BREAK),
            (0.0, 5.0, EngineFaultKind.RUBBISH),
        ):
            async with AsyncExitStack() as stack:
                await self.start(stack, load=load)
                if fault is not None:
                    self.engine.add_fault(fault, "orders")
                self.assertTrue(await self.change("d1", "2", seconds), fault)
                self.assertEqual("2", self.engine.engine.model_version)
                self.assertEqual(1, len(self.engine.records.orders), (load, fault))
