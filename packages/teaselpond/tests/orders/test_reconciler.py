"""Check changes of simulated engines to desired states, under faults."""

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

from .simulated_fleet import ENGINE_IDS, SimulatedDaemon, SimulatedFleet, document


class ChangeTests(AsyncTestCase):
    """Check rolling changes of the engines of one or two daemons."""

    async def test_a_version_rolls_over_all_engines(self) -> None:
        """Change one engine at a time, once each, and interrupt no request.

        A check must not access the table when nothing is left to change.
        """
        simulation = SimulatedFleet()
        first, second = (
            SimulatedDaemon(simulation, "d1", ("e1", "e2")),
            SimulatedDaemon(simulation, "d2", ("e3", "e4")),
        )
        simulation.document = document("4")
        simulation.in_flight = dict.fromkeys(ENGINE_IDS, 3)
        for _ in range(4):
            await asyncio.gather(first.check(), second.check())
        self.assertEqual(["4"] * 4, simulation.versions())
        self.assertEqual(4, simulation.order_count())
        self.assertEqual(len(ENGINE_IDS) - 1, simulation.min_serving)
        self.assertEqual(set(), simulation.held)
        self.assertEqual(4, len(simulation.weights.grants))
        before = simulation.table.faults.calls_by_operation.total()
        await first.reconciler.check()
        self.assertEqual(before, simulation.table.faults.calls_by_operation.total())

    async def test_no_change_while_all_capacity_is_needed(self) -> None:
        """Wait until the other engines can serve all outstanding requests."""
        simulation = SimulatedFleet()
        daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
        simulation.document, simulation.requests = document("4"), 25
        await daemon.check(5)
        self.assertEqual(["3"] * 4, simulation.versions())
        simulation.requests = 24
        await daemon.check(4)
        self.assertEqual(["4"] * 4, simulation.versions())

    async def test_fault_table(self) -> None:
        """Reach the desired state with one order per engine despite faults."""
        table_faults = PlatformFaultKind.REFUSE, PlatformFaultKind.LOSE_ANSWER
        for checks in ("true", "false"):
            for fault in (
                None,
                "answers lost",
                *table_faults,
                PlatformFaultKind.SLOW_ANSWER,
            ):
                with self.subTest(checks=checks, fault=fault):
                    simulation = SimulatedFleet(checks=checks)
                    daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
                    await daemon.check()
                    simulation.document = document("4", checks)
                    if fault == "answers lost":
                        for engine in simulation.engines_by_id.values():
                            engine.lost_answers = 1
                    elif fault is not None:
                        simulation.table.faults.add(fault, "table.transact", count=3)
                    await daemon.check(10)
                    self.assertEqual(["4"] * 4, simulation.versions())
                    self.assertEqual(4, simulation.order_count())
                    self.assertNotIn("orders.failed", daemon.counts)
                    rollout = await self._rollout(simulation)
                    self.assertEqual(frozenset(), rollout.changing)

    async def _rollout(self, simulation: SimulatedFleet) -> Rollout:
        entry = await simulation.table.get(rollout_key("fitting"))
        return Rollout.from_value(entry.value)

    async def test_failures_stop_a_rollout_until_rollback(self) -> None:
        """Send no order to further engines after two failures; roll back."""
        simulation = SimulatedFleet()
        daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
        simulation.document = document("4")
        await daemon.check()
        simulation.engines_by_id["e2"].refuses_orders = True
        simulation.engines_by_id["e3"].ignored_orders = 9
        await daemon.check(10)
        self.assertEqual(["4", "3", "3", "3"], simulation.versions())
        rollout = await self._rollout(simulation)
        self.assertEqual({"e2", "e3"}, set(rollout.reasons_by_failed_engine))
        self.assertEqual(2, daemon.counts.count("orders.failed"))
        self.assertEqual([], simulation.engines_by_id["e4"].orders)
        self.assertEqual(1, len(simulation.engines_by_id["e3"].orders))
        simulation.engines_by_id["e2"].refuses_orders = False
        simulation.document = document("3")
        await daemon.check(5)
        self.assertEqual(["3"] * 4, simulation.versions())
        self.assertEqual([], simulation.engines_by_id["e4"].orders)

    async def test_draining_change_ends_when_desired_state_changes(self) -> None:
        """Send no order if the configuration is reverted during a drain."""
        simulation = SimulatedFleet()
        daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
        simulation.document = document("4")
        simulation.in_flight = {"e1": 3}
        sleep = daemon.sleep

        async def restore_old_version(seconds: float) -> None:
            simulation.document = document("3")
            await sleep(seconds)

        daemon.reconciler.context = evolve(daemon.context, sleep=restore_old_version)
        await daemon.check(6)
        self.assertEqual(0, simulation.order_count())
        self.assertEqual(set(), simulation.held)
        self.assertEqual(frozenset(), (await self._rollout(simulation)).changing)

    async def test_new_owner_completes_the_change(self) -> None:
        """Take over an engine whose owner stopped during a change.

        An engine that ignores fencing tokens is taken over only once the old
        owner's lease has expired.
        """
        for checks in ("true", "false"):
            with self.subTest(checks=checks):
                simulation = SimulatedFleet(checks=checks)
                old = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
                simulation.document = document("4", checks)
                old.context.engine_api.order = self._cancel
                await old.check()
                rollout = await self._rollout(simulation)
                self.assertEqual({"e1"}, set(rollout.changing))
                new = SimulatedDaemon(simulation, "d2", ENGINE_IDS)
                await new.check()
                waited = checks == "false"
                self.assertEqual("3" if waited else "4", simulation.versions()[0])
                await new.check(12)
                self.assertEqual(["4"] * 4, simulation.versions())
                self.assertEqual(
                    frozenset(), (await self._rollout(simulation)).changing
                )

    async def _cancel(self, address: Address, order: EngineOrder, *, seconds: float):
        raise asyncio.CancelledError

    async def test_leftover_rollout_entry_is_removed(self) -> None:
        """Remove an engine from a rollout if its change ended unobserved."""
        simulation = SimulatedFleet("4")
        rollout_record_key = rollout_key("fitting")
        daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
        leftover = Rollout("fitting:4:serve", frozenset({"e3"}))
        await simulation.table.transact(
            (), (Put(rollout_record_key, leftover.to_value()),)
        )
        await daemon.check(4)
        self.assertEqual(frozenset(), (await self._rollout(simulation)).changing)

    async def test_paused_owner_sends_no_order(self) -> None:
        """Check the lease again right before an order, after all waiting."""
        for checks in ("true", "false"):
            simulation = SimulatedFleet(checks=checks)
            daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
            await daemon.check()
            simulation.document = document("4", checks)
            claim = daemon.context.claims.claim

            async def pause(*arguments, claim=claim, simulation=simulation) -> None:
                await claim(*arguments)
                simulation.now += 60.0

            daemon.context.claims.claim = pause
            await daemon.check(2)
            self.assertEqual(0, simulation.order_count())

    async def test_an_old_fence_is_refused_by_the_engine(self) -> None:
        """Reacquire the lease if the engine has seen a higher token."""
        simulation = SimulatedFleet()
        daemon = SimulatedDaemon(simulation, "d1", ("e1",))
        await daemon.check()
        engine = simulation.engines_by_id["e1"]
        fence = daemon.leases.lease(simulation.now).fence
        engine.report = evolve(engine.report, fence=fence + 1)
        simulation.document = document("4")
        await daemon.check()
        self.assertEqual("3", simulation.versions()[0])
        self.assertIn("orders.fence_too_low", daemon.counts)
        await daemon.check(2)
        self.assertEqual("4", simulation.versions()[0])
        self.assertGreater(engine.report.fence, fence + 1)

    async def test_weight_downloads_keep_the_stores_rate(self) -> None:
        """Wait for grants of the weight store that all daemons share."""
        simulation = SimulatedFleet()
        simulation.weights.downloads_per_second, simulation.weights.burst = 0.05, 1
        daemons = [
            SimulatedDaemon(simulation, "d1", ("e1", "e2")),
            SimulatedDaemon(simulation, "d2", ("e3", "e4")),
        ]
        simulation.document = document("4")
        started_at = simulation.now
        for _ in range(12):
            await asyncio.gather(*(daemon.check() for daemon in daemons))
        self.assertEqual(["4"] * 4, simulation.versions())
        self.assertEqual(4, len(simulation.weights.grants))
        self.assertGreaterEqual(simulation.now - started_at, 60.0)
        counts = [name for daemon in daemons for name in daemon.counts]
        self.assertIn("orders.weights_awaited", counts)

    async def test_claims_of_unowned_engines_are_released(self) -> None:
        """Let a new owner change an engine that ignores fences at once."""
        simulation = SimulatedFleet(checks="false")
        old = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
        simulation.document = document("4", "false")
        await old.check()
        old.owned = ()
        await old.check()
        new = SimulatedDaemon(simulation, "d2", ENGINE_IDS)
        simulation.document = document("5", "false")
        await new.check()
        self.assertEqual("5", simulation.versions()[0])

    async def test_undelivered_orders_are_retried(self) -> None:
        """Retry an order that wasn't delivered; don't count it as failed."""
        simulation = SimulatedFleet()
        daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
        simulation.document = document("4")
        for engine in simulation.engines_by_id.values():
            engine.rejections = [
                UpstreamUnavailable("gone"),
                UpstreamRefused(503, b"", not_run=True),
            ]
        await daemon.check(16)
        self.assertEqual(["4"] * 4, simulation.versions())
        self.assertEqual(4, simulation.order_count())
        self.assertNotIn("orders.failed", daemon.counts)

    async def test_unreachable_engine_does_not_stop_others(self) -> None:
        """Change the other engines while one is unreachable."""
        simulation = SimulatedFleet()
        daemon = SimulatedDaemon(simulation, "d1", ENGINE_IDS)
        load = daemon.load

        async def load_except_first(address: Address) -> LoadReport:
            if address == simulation.address("e1"):
                raise UpstreamUnavailable("gone")
            return await load(address)

        daemon.context.engine_api.load = load_except_first
        simulation.document = document("4")
        await daemon.check(10)
        self.assertEqual(["3", "4", "4", "4"], simulation.versions())
