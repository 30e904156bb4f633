"""Check changes of engines from the wish to the report, under faults."""

import asyncio

from attrs import evolve

from teaselpond.exceptions import UpstreamRefused
from teaselpond_model.contracts import (
    Address,
    EngineOrder,
    LoadReport,
    Put,
)
from teaselpond_model.exceptions import UpstreamUnavailable
from teaselpond_model.rollouts import Rollout, rollout_key
from teaselpond_standins.platform import (
    PlatformFaultKind,
)
from teaselpond_standins.testing import AsyncTestCase

from .simulated_fleet import ENGINE_IDS, Daemon, World, document


class ChangeTests(AsyncTestCase):
    """Check rolling changes."""

    async def test_a_version_rolls_over_all_engines(self) -> None:
        """Change one engine after the other, once each, cutting nothing."""
        world = World()
        first, second = (
            Daemon(world, "d1", ("e1", "e2")),
            Daemon(world, "d2", ("e3", "e4")),
        )
        world.document = document("4")
        world.in_flight = dict.fromkeys(ENGINE_IDS, 3)
        for _ in range(4):
            await asyncio.gather(first.check(), second.check())
        self.assertEqual(["4"] * 4, world.versions())
        self.assertEqual(4, world.order_count())
        self.assertEqual(len(ENGINE_IDS) - 1, world.least_left)
        self.assertEqual(set(), world.held)
        self.assertEqual(4, len(world.weights.grants))
        before = world.table.faults.calls_by_operation.total()
        await first.keeper.check()
        self.assertEqual(before, world.table.faults.calls_by_operation.total())

    async def test_nothing_changes_while_all_capacity_is_needed(self) -> None:
        """Wait until the others can bear the load."""
        world = World()
        daemon = Daemon(world, "d1", ENGINE_IDS)
        world.document, world.requests = document("4"), 25
        await daemon.check(5)
        self.assertEqual(["3"] * 4, world.versions())
        world.requests = 24
        await daemon.check(4)
        self.assertEqual(["4"] * 4, world.versions())

    async def test_fault_table(self) -> None:
        """Come to the wish once each fault is over, with the fewest orders."""
        table_faults = PlatformFaultKind.REFUSE, PlatformFaultKind.LOSE_ANSWER
        for checks in ("true", "false"):
            for fault in (None, "loses", *table_faults, PlatformFaultKind.SLOW_ANSWER):
                with self.subTest(checks=checks, fault=fault):
                    world = World(checks=checks)
                    daemon = Daemon(world, "d1", ENGINE_IDS)
                    await daemon.check()
                    world.document = document("4", checks)
                    if fault == "loses":
                        for engine in world.engines_by_id.values():
                            engine.loses_answers = 1
                    elif fault is not None:
                        world.table.faults.add(fault, "table.transact", count=3)
                    await daemon.check(10)
                    self.assertEqual(["4"] * 4, world.versions())
                    self.assertEqual(4, world.order_count())
                    self.assertNotIn("orders.failed", daemon.counts)
                    rollout = await self._rollout(world)
                    self.assertEqual(frozenset(), rollout.changing)

    async def _rollout(self, world: World) -> Rollout:
        entry = await world.table.get(rollout_key("fitting"))
        return Rollout.from_value(entry.value)

    async def test_failures_stop_a_rollout_until_it_is_turned_back(self) -> None:
        """Order no further engines after two failures, then go back."""
        world = World()
        daemon = Daemon(world, "d1", ENGINE_IDS)
        world.document = document("4")
        await daemon.check()
        world.engines_by_id["e2"].refuses = True
        world.engines_by_id["e3"].ignores_orders = 9
        await daemon.check(10)
        self.assertEqual(["4", "3", "3", "3"], world.versions())
        rollout = await self._rollout(world)
        self.assertEqual({"e2", "e3"}, set(rollout.reasons_by_failed_engine))
        self.assertEqual(2, daemon.counts.count("orders.failed"))
        self.assertEqual([], world.engines_by_id["e4"].orders)
        self.assertEqual(1, len(world.engines_by_id["e3"].orders))
        world.engines_by_id["e2"].refuses = False
        world.document = document("3")
        await daemon.check(5)
        self.assertEqual(["3"] * 4, world.versions())
        self.assertEqual([], world.engines_by_id["e4"].orders)

    async def test_a_change_that_waits_follows_the_wish(self) -> None:
        """Give up before the order when the configuration turns back."""
        world = World()
        daemon = Daemon(world, "d1", ENGINE_IDS)
        world.document = document("4")
        world.in_flight = {"e1": 3}
        sleep = daemon.sleep

        async def turn_back(seconds: float) -> None:
            world.document = document("3")
            await sleep(seconds)

        daemon.keeper.context = evolve(daemon.context, sleep=turn_back)
        await daemon.check(6)
        self.assertEqual(0, world.order_count())
        self.assertEqual(set(), world.held)
        self.assertEqual(frozenset(), (await self._rollout(world)).changing)

    async def test_a_new_owner_goes_on(self) -> None:
        """Take over an engine whose owner died in the middle of a change."""
        for checks in ("true", "false"):
            with self.subTest(checks=checks):
                world = World(checks=checks)
                old = Daemon(world, "d1", ENGINE_IDS)
                world.document = document("4", checks)
                old.context.engine_api.order = self._die
                await old.check()
                rollout = await self._rollout(world)
                self.assertEqual({"e1"}, set(rollout.changing))
                new = Daemon(world, "d2", ENGINE_IDS)
                await new.check()
                waited = checks == "false"
                self.assertEqual("3" if waited else "4", world.versions()[0])
                await new.check(12)
                self.assertEqual(["4"] * 4, world.versions())
                self.assertEqual(frozenset(), (await self._rollout(world)).changing)

    async def _die(self, address: Address, order: EngineOrder, *, seconds: float):
        raise asyncio.CancelledError

    async def test_a_place_left_behind_is_freed(self) -> None:
        """Free the place of an engine whose change ended unseen."""
        world = World("4")
        rollout_record_key = rollout_key("fitting")
        daemon = Daemon(world, "d1", ENGINE_IDS)
        left = Rollout("fitting:4:serve", frozenset({"e3"}))
        await world.table.transact((), (Put(rollout_record_key, left.to_value()),))
        await daemon.check(4)
        self.assertEqual(frozenset(), (await self._rollout(world)).changing)

    async def test_a_paused_owner_orders_nothing(self) -> None:
        """Check the lease right before the order, after all waiting."""
        for checks in ("true", "false"):
            world = World(checks=checks)
            daemon = Daemon(world, "d1", ENGINE_IDS)
            await daemon.check()
            world.document = document("4", checks)
            claim = daemon.context.claims.claim

            async def pause(*arguments, claim=claim, world=world) -> None:
                await claim(*arguments)
                world.now += 60.0

            daemon.context.claims.claim = pause
            await daemon.check(2)
            self.assertEqual(0, world.order_count())

    async def test_an_old_fence_is_refused_by_the_engine(self) -> None:
        """Meet a newer number, and come back with a higher one."""
        world = World()
        daemon = Daemon(world, "d1", ("e1",))
        await daemon.check()
        engine = world.engines_by_id["e1"]
        fence = daemon.leases.lease(world.now).fence
        engine.report = evolve(engine.report, fence=fence + 1)
        world.document = document("4")
        await daemon.check()
        self.assertEqual("3", world.versions()[0])
        self.assertIn("orders.fence_too_low", daemon.counts)
        await daemon.check(2)
        self.assertEqual("4", world.versions()[0])
        self.assertGreater(engine.report.fence, fence + 1)

    async def test_weights_are_shared_at_the_stores_rate(self) -> None:
        """Wait for grants of a store that all daemons use."""
        world = World()
        world.weights.downloads_per_second, world.weights.burst = 0.05, 1
        daemons = [Daemon(world, "d1", ("e1", "e2")), Daemon(world, "d2", ("e3", "e4"))]
        world.document = document("4")
        started = world.now
        for _ in range(12):
            await asyncio.gather(*(daemon.check() for daemon in daemons))
        self.assertEqual(["4"] * 4, world.versions())
        self.assertEqual(4, len(world.weights.grants))
        self.assertGreaterEqual(world.now - started, 60.0)
        counts = [name for daemon in daemons for name in daemon.counts]
        self.assertIn("orders.weights_awaited", counts)

    async def test_claims_of_engines_that_moved_are_released(self) -> None:
        """Pass an engine that ignores fences on without a wait."""
        world = World(checks="false")
        old = Daemon(world, "d1", ENGINE_IDS)
        world.document = document("4", "false")
        await old.check()
        old.owned = ()
        await old.check()
        new = Daemon(world, "d2", ENGINE_IDS)
        world.document = document("5", "false")
        await new.check()
        self.assertEqual("5", world.versions()[0])

    async def test_orders_that_did_not_arrive_are_given_again(self) -> None:
        """Don't count what the engine never saw as its failure."""
        world = World()
        daemon = Daemon(world, "d1", ENGINE_IDS)
        world.document = document("4")
        for engine in world.engines_by_id.values():
            engine.rejections = [
                UpstreamUnavailable("gone"),
                UpstreamRefused(503, b"", not_run=True),
            ]
        await daemon.check(16)
        self.assertEqual(["4"] * 4, world.versions())
        self.assertEqual(4, world.order_count())
        self.assertNotIn("orders.failed", daemon.counts)

    async def test_unreachable_engines_stop_nothing(self) -> None:
        """Go on with the others."""
        world = World()
        daemon = Daemon(world, "d1", ENGINE_IDS)
        load = daemon.load

        async def load_others(address: Address) -> LoadReport:
            if address == world.address("e1"):
                raise UpstreamUnavailable("gone")
            return await load(address)

        daemon.context.engine_api.load = load_others
        world.document = document("4")
        await daemon.check(10)
        self.assertEqual(["3", "4", "4", "4"], world.versions())
