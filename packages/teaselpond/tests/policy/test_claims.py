"""Test the load cap of an engine that two daemons claim."""

import math

import testtools
from attrs import define, field
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools.matchers import LessThan

from teaselpond.policy import (
    Dispatcher,
    EngineProfile,
    Grant,
    LoadSum,
    Outcome,
    PolicySettings,
    Release,
    RequestClass,
    SlotRequest,
    owner_of,
)
from teaselpond.policy.cap import FleetLoad, load_cap
from teaselpond_model.contracts import Address, Host, HostKind, LoadReport

# Without sum_discount, only the claims keep the engine within its cap.
SETTINGS = PolicySettings(claim_wait_seconds=2.0, claim_seconds=10.0, sum_discount=0.0)
REPORT_LAG_SECONDS = 1.5
MAX_PARTITION_SECONDS = 7.0
SLOTS = 12
OTHER_OWNERS_LOAD = FleetLoad(in_flight=20, slots=36, engines=3)
ENGINE = EngineProfile(
    Host("e", Address("127.0.0.1", 1), "a", HostKind.ENGINE),
    "fit",
    slots=SLOTS,
    cold_limit=SLOTS,
)
DAEMONS = [Host(d, Address("127.0.0.1", 1), "a", HostKind.ENTRY) for d in ("x", "y")]


@define
class TwoOwners:
    """Simulate one engine and two daemons that may be partitioned."""

    now: float = 0.0
    request_count: int = 0
    running: dict[str, str] = field(factory=dict)
    load_history: list[tuple[float, int]] = field(factory=list)
    dispatchers: dict[str, Dispatcher] = field(factory=dict)

    def start(self) -> None:
        for daemon in DAEMONS:
            dispatcher = Dispatcher(daemon.host_id, "i")
            dispatcher.configure(SETTINGS, [ENGINE], 0.0)
            dispatcher.set_daemons(DAEMONS, 0.0)
            self.dispatchers[daemon.host_id] = dispatcher
        for _ in range(80):
            self.wait(0.25)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.load_history.append((self.now, len(self.running)))
        lagged_counts = [
            count
            for at, count in self.load_history
            if at <= self.now - REPORT_LAG_SECONDS
        ]
        for dispatcher in self.dispatchers.values():
            dispatcher.observe_sum(
                LoadSum("fit", "b", "z", 20, 0, 36, 3, round(self.now * 4)), self.now
            )
            if lagged_counts:
                report = LoadReport(
                    "i",
                    round(self.now * 4),
                    lagged_counts[-1],
                    0,
                    0,
                    "fit",
                    "1",
                    age=REPORT_LAG_SECONDS,
                )
                dispatcher.observe_load("e", report, self.now)
            dispatcher.advance(self.now)

    def request_slot(self, daemon_id: str) -> None:
        self.request_count += 1
        request = SlotRequest(
            f"r{self.request_count}",
            "w",
            f"c{self.request_count}",
            "fit",
            RequestClass.INTERACTIVE,
            10,
            (),
            self.now + 0.01,
            daemon_id,
            attempt=SETTINGS.attempts_per_request,
        )
        decision = self.dispatchers[daemon_id].request(request, self.now)
        if isinstance(decision, Grant):
            self.running[decision.grant_id] = daemon_id

    def complete_request(self) -> None:
        if self.running:
            grant_id = next(iter(self.running))
            owner = self.dispatchers[self.running.pop(grant_id)]
            owner.release(Release(grant_id, Outcome.COMPLETED, 0.1), self.now)

    def set_partitioned(self, daemon_id: str, is_partitioned: bool) -> None:
        daemons = [d for d in DAEMONS if not is_partitioned or d.host_id == daemon_id]
        self.dispatchers[daemon_id].set_daemons(daemons, self.now)

    def cap(self) -> int:
        """Return the cap by the highest load that a daemon may still use."""
        highest = max(count for at, count in self.load_history if at >= self.now - 15)
        load = FleetLoad(
            OTHER_OWNERS_LOAD.in_flight + max(highest, len(self.running)), 48, 4
        )
        return load_cap(load, SLOTS, SETTINGS.load_multiple, SETTINGS.load_floor)


class TwoOwnersMachine(RuleBasedStateMachine):
    """Run partitions, requests, completions and time in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = TwoOwners()
        self.simulation.start()
        self.partitioned_at = float("inf")

    @rule(
        is_partitioned=st.booleans(),
        order=st.sampled_from(["xy", "yx"]),
        delay=st.sampled_from([0.0, 0.5, 1.75]),
        request_burst=st.integers(0, SLOTS),
    )
    def change_partition(
        self, is_partitioned: bool, order: str, delay: float, request_burst: int
    ) -> None:
        """Partition or reconnect the daemons, one with a delay."""
        self.simulation.set_partitioned(order[0], is_partitioned)
        for _ in range(math.ceil(delay / 0.25)):
            self.simulation.wait(0.25)
            self.simulation.request_slot(order[0])
            self.check_cap()
        for _ in range(request_burst):
            self.simulation.request_slot(order[1])
        self.simulation.set_partitioned(order[1], is_partitioned)
        self.partitioned_at = self.simulation.now if is_partitioned else float("inf")

    def end_long_partition(self, seconds: float) -> None:
        """Reconnect the daemons before their contested claims expire."""
        if self.simulation.now + seconds > self.partitioned_at + MAX_PARTITION_SECONDS:
            self.change_partition(False, "xy", 0.5, 0)

    @rule(daemon_id=st.sampled_from(["x", "y"]), count=st.integers(1, SLOTS))
    def request_burst(self, daemon_id: str, count: int) -> None:
        """Request many slots from one daemon at once."""
        for _ in range(count):
            self.simulation.request_slot(daemon_id)

    @rule(steps=st.integers(1, 20))
    def pass_time(self, steps: int) -> None:
        """Advance the time, with load reports that lag."""
        self.end_long_partition(steps * 0.25)
        for _ in range(steps):
            self.simulation.wait(0.25)

    @rule(count=st.integers(1, 6))
    def complete_request(self, count: int) -> None:
        """Complete some requests."""
        for _ in range(count):
            self.simulation.complete_request()

    @invariant()
    def check_cap(self) -> None:
        """Check that the engine is within its cap."""
        assert len(self.simulation.running) <= self.simulation.cap()


TwoOwnersMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    phases=[Phase.generate],
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TwoOwnersTests = TwoOwnersMachine.TestCase


class PartitionTests(testtools.TestCase):
    def test_both_sides_of_a_partition_stay_within_the_cap(self):
        for first, second in ("xy", "yx"):
            for seconds in (0.5, 4.0, 6.0):
                simulation = TwoOwners()
                simulation.start()
                simulation.set_partitioned("x", is_partitioned=True)
                simulation.set_partitioned("y", is_partitioned=True)
                for _ in range(int(seconds * 4)):
                    simulation.wait(0.25)
                for daemon_id in (first, second) * SLOTS:
                    simulation.request_slot(daemon_id)
                self.assertThat(len(simulation.running), LessThan(simulation.cap() + 1))

    def test_a_reconnected_owner_waits_for_the_former_owner(self):
        simulation = TwoOwners()
        simulation.start()
        simulation.set_partitioned("x", is_partitioned=True)
        simulation.set_partitioned("y", is_partitioned=True)
        for _ in range(38):
            simulation.wait(0.25)
        (owner, other) = "xy" if owner_of(ENGINE.host, DAEMONS) == DAEMONS[0] else "yx"
        simulation.set_partitioned(owner, is_partitioned=False)
        simulation.wait(0.5)
        for _ in range(SLOTS):
            simulation.request_slot(other)
        for _ in range(SLOTS):
            simulation.request_slot(owner)
        self.assertThat(len(simulation.running), LessThan(simulation.cap() + 1))


class HandoverTests(testtools.TestCase):
    def test_a_handed_over_engine_is_used_at_once_within_its_cap(self):
        simulation = TwoOwners()
        simulation.start()
        first = next(
            d for d, each in simulation.dispatchers.items() if each.engines.by_id
        )
        second = "y" if first == "x" else "x"
        simulation.set_partitioned(second, is_partitioned=False)
        for _ in range(SLOTS):
            simulation.request_slot(first)
        before = len(simulation.running)
        self.assertEqual(simulation.cap(), before)
        leaving = [d for d in DAEMONS if d.host_id == second]
        (handover,) = simulation.dispatchers[first].set_daemons(leaving, simulation.now)
        simulation.dispatchers[second].set_daemons(leaving, simulation.now)
        simulation.request_slot(second)
        self.assertEqual(before, len(simulation.running))
        simulation.dispatchers[second].accept(handover, simulation.now)
        simulation.wait(0.25)
        simulation.request_slot(second)
        self.assertEqual(before, len(simulation.running))
        for _ in range(3):
            simulation.complete_request()
        simulation.wait(2.0)
        simulation.wait(2.0)
        simulation.request_slot(second)
        self.assertEqual(before - 2, len(simulation.running))
