"""Simulate engines and daemons on a clock that tests advance."""

import asyncio
from collections.abc import Mapping

from attrs import define, evolve, field

from teaselpond.exceptions import UpstreamRefused
from teaselpond.leases import LeaseManager, LeaseSettings
from teaselpond.orders import EngineClaims, EngineReconciler
from teaselpond.orders.change import ChangeContext
from teaselpond.orders.rollout_store import RolloutStore
from teaselpond.orders.settings import OrderSettings
from teaselpond_model.configuration import Document, read_toml
from teaselpond_model.contracts import (
    Address,
    EngineOrder,
    LoadReport,
    OrderKind,
)
from teaselpond_model.exceptions import UpstreamBroken
from teaselpond_standins.platform import (
    MemoryTable,
    MemoryWeights,
)

DOCUMENT_TEMPLATE = """
[zones.innsbruck]
region = "tyrol"
[capacity.pools.fitting]
model = "fitting"
hosts = ["e1", "e2", "e3", "e4"]
checks_fence = CHECKS
[models.fitting]
version = "VERSION"
[policy]
order_timeout_seconds = 5.0
"""
LEASES = LeaseSettings(duration_seconds=15.0, store_timeout_seconds=1.0)
SETTINGS = OrderSettings(settle_timeout_seconds=20.0)
ENGINE_IDS = ("e1", "e2", "e3", "e4")


def document(version: str, checks: str = "true") -> Document:
    """Return a configuration with a version of the model."""
    text = DOCUMENT_TEMPLATE.replace("VERSION", version).replace("CHECKS", checks)
    return read_toml(text).document


@define
class FakeEngine:
    """Simulate an engine that executes orders, with faults.

    ``refuses_orders`` and ``rejections`` make orders fail, ``ignored_orders``
    counts orders to accept without effect, and ``lost_answers`` counts orders
    to execute without an answer.
    """

    report: LoadReport
    checks_fence: bool = True
    orders: list[EngineOrder] = field(factory=list)
    refuses_orders: bool = False
    lost_answers: int = 0
    rejections: list[Exception] = field(factory=list)
    ignored_orders: int = 0

    def execute(self, order: EngineOrder) -> None:
        """Execute an order; raise as the engine's client does."""
        if self.rejections:
            raise self.rejections.pop()
        if self.refuses_orders:
            raise UpstreamRefused(500, b"", not_run=False)
        if self.checks_fence and order.fence < self.report.fence:
            raise UpstreamRefused(409, b"", not_run=True)
        self.orders.append(order)
        if self.ignored_orders:
            self.ignored_orders -= 1
            raise UpstreamBroken("the engine crashed")
        self.report = evolve(self.report, fence=order.fence)
        if order.kind is OrderKind.LOAD_MODEL:
            self.report = evolve(self.report, model_version=order.model_version)
        if self.lost_answers:
            self.lost_answers -= 1
            raise UpstreamBroken("the answer is lost")


class SimulatedFleet:
    """Provide the table, the engines and the clock that daemons share.

    A sleep advances the clock and doesn't wait.
    """

    def __init__(self, version: str = "3", checks: str = "true") -> None:
        self.now = 0.0
        self.table = MemoryTable()
        self.weights = MemoryWeights(clock=lambda: self.now)
        self.document = document(version, checks)
        self.checks = checks
        self.in_flight: dict[str, int] = {}
        self.requests = 0
        self.held: set[str] = set()
        self.min_serving = len(ENGINE_IDS)
        self.engines_by_id = {
            engine_id: FakeEngine(
                LoadReport("i", 1, 0, 0, 0, "fitting", version), checks == "true"
            )
            for engine_id in ENGINE_IDS
        }

    def address(self, engine_id: str) -> Address:
        """Return an address whose port identifies the engine."""
        return Address("127.0.0.1", 1 + ENGINE_IDS.index(engine_id))

    def engine(self, address: Address) -> FakeEngine:
        """Return the engine at an address."""
        return self.engines_by_id[ENGINE_IDS[address.port - 1]]

    async def sleep(self, seconds: float) -> None:
        """Advance the clock, and finish one request of each engine on hold."""
        self.now += seconds
        for engine_id in self.held:
            self.in_flight[engine_id] = max(self.in_flight.get(engine_id, 0) - 1, 0)
        await asyncio.sleep(0)

    def hold(self, engine_id: str) -> None:
        """Put an engine on hold, and record how many engines still serve."""
        self.held.add(engine_id)
        self.min_serving = min(self.min_serving, len(ENGINE_IDS) - len(self.held))

    def versions(self) -> list[str]:
        """Return the model version of each engine."""
        return [engine.report.model_version for engine in self.engines_by_id.values()]

    def order_count(self) -> int:
        """Return the number of orders that all engines have accepted."""
        return sum(len(engine.orders) for engine in self.engines_by_id.values())


class SimulatedDaemon:
    """Simulate one daemon: its EngineFleet, EngineApi and reconciler."""

    def __init__(
        self, simulation: SimulatedFleet, daemon_id: str, owned: tuple[str, ...]
    ) -> None:
        self.simulation = simulation
        self.owned = owned
        self.counts: list[str] = []
        self.leases = LeaseManager(
            simulation.table, daemon_id, f"{daemon_id}-i", settings=LEASES
        )
        claims = EngineClaims(
            simulation.table,
            daemon_id,
            f"{daemon_id}-i",
            LEASES,
            clock=lambda: simulation.now,
        )
        self.context = ChangeContext(
            self.leases,
            claims,
            RolloutStore(simulation.table),
            fleet=self,
            engine_api=self,
            weights=simulation.weights,
            settings=SETTINGS,
            clock=lambda: simulation.now,
            sleep=self.sleep,
            count=self.counts.append,
        )
        self.reconciler = EngineReconciler(self.context, lambda: simulation.document)

    async def sleep(self, seconds: float) -> None:
        """Advance the shared clock and renew the lease."""
        await self.simulation.sleep(seconds)
        await self.leases.step(self.simulation.now)

    async def check(self, rounds: int = 1) -> None:
        """Run some rounds of checks, and wait for the changes of each."""
        for _ in range(rounds):
            self.simulation.now += 5.0
            await self.leases.step(self.simulation.now)
            await self.reconciler.check()
            tasks = self.reconciler._tasks_by_engine.values()
            await asyncio.gather(*tasks, return_exceptions=True)

    def owned_engines(self) -> Mapping[str, Address]:
        """Return the address of each owned engine."""
        return {
            engine_id: self.simulation.address(engine_id) for engine_id in self.owned
        }

    def last_report(self, engine_id: str) -> LoadReport | None:
        """Return an engine's current load report."""
        return self.simulation.engines_by_id[engine_id].report

    def slots_by_engine(self, model: str) -> Mapping[str, int]:
        """Return 8 slots for each engine."""
        return dict.fromkeys(ENGINE_IDS, 8)

    def outstanding_requests(self, model: str) -> int:
        """Return the number of requests that the test has set."""
        return self.simulation.requests

    def hold(self, engine_id: str) -> None:
        """Put an engine on hold."""
        self.simulation.hold(engine_id)

    def resume(self, engine_id: str) -> None:
        """End the hold of an engine."""
        self.simulation.held.discard(engine_id)

    def in_flight(self, engine_id: str) -> int:
        """Return the number of requests that run on an engine."""
        return self.simulation.in_flight.get(engine_id, 0)

    async def load(self, address: Address) -> LoadReport:
        """Return the load report of the engine at an address."""
        return self.simulation.engine(address).report

    async def order(
        self, address: Address, order: EngineOrder, *, seconds: float
    ) -> None:
        """Send an order; fail the test if it would interrupt a request."""
        engine = self.simulation.engine(address)
        running = self.simulation.in_flight.get(ENGINE_IDS[address.port - 1], 0)
        if running:
            raise AssertionError(f"the order would interrupt {running} requests")
        engine.execute(order)
