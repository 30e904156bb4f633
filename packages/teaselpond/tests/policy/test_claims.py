"""Prove the load cap while two daemons believe they own an engine."""

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

# No margin for late sums: the claims alone must hold the cap.
KNOBS = PolicySettings(claim_wait_seconds=2.0, claim_seconds=10.0, sum_discount=0.0)
REPORT_LAG_SECONDS = 1.5
LONGEST_CUT_SECONDS = 7.0
SLOTS = 12
OTHERS = FleetLoad(in_flight=20, slots=36, engines=3)
ENGINE = EngineProfile(
    Host("e", Address("127.0.0.1", 1), "a", HostKind.ENGINE),
    "fit",
    slots=SLOTS,
    cold_limit=SLOTS,
)
DAEMONS = [Host(d, Address("127.0.0.1", 1), "a", HostKind.ENTRY) for d in ("x", "y")]


@define
class Contested:
    """Run one engine under two daemons whose views may differ."""

    now: float = 0.0
    numbers: int = 0
    running: dict[str, str] = field(factory=dict)
    past: list[tuple[float, int]] = field(factory=list)
    dispatchers: dict[str, Dispatcher] = field(factory=dict)

    def start(self) -> None:
        for daemon in DAEMONS:
            dispatcher = Dispatcher(daemon.host_id, "i")
            dispatcher.configure(KNOBS, [ENGINE], 0.0)
            dispatcher.set_daemons(DAEMONS, 0.0)
            self.dispatchers[daemon.host_id] = dispatcher
        for _ in range(80):
            self.wait(0.25)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.past.append((self.now, len(self.running)))
        lagged = [
            count for at, count in self.past if at <= self.now - REPORT_LAG_SECONDS
        ]
        for dispatcher in self.dispatchers.values():
            dispatcher.observe_sum(
                LoadSum("fit", "b", "z", 20, 0, 36, 3, round(self.now * 4)), self.now
            )
            if lagged:
                report = LoadReport(
                    "i",
                    round(self.now * 4),
                    lagged[-1],
                    0,
                    0,
                    "fit",
                    "1",
                    age=REPORT_LAG_SECONDS,
                )
                dispatcher.observe_load("e", report, self.now)
            dispatcher.advance(self.now)

    def ask(self, daemon_id: str) -> None:
        self.numbers += 1
        request = SlotRequest(
            f"r{self.numbers}",
            "w",
            f"c{self.numbers}",
            "fit",
            RequestClass.INTERACTIVE,
            10,
            (),
            self.now + 0.01,
            daemon_id,
            attempt=KNOBS.attempts_per_request,
        )
        answer = self.dispatchers[daemon_id].request(request, self.now)
        if isinstance(answer, Grant):
            self.running[answer.grant_id] = daemon_id

    def finish(self) -> None:
        if self.running:
            grant_id = next(iter(self.running))
            owner = self.dispatchers[self.running.pop(grant_id)]
            owner.release(Release(grant_id, Outcome.COMPLETED, 0.1), self.now)

    def see(self, daemon_id: str, alone: bool) -> None:
        daemons = [d for d in DAEMONS if not alone or d.host_id == daemon_id]
        self.dispatchers[daemon_id].set_daemons(daemons, self.now)

    def cap(self) -> int:
        """Return the cap by the greatest mean that anyone may know of."""
        most = max(count for at, count in self.past if at >= self.now - 15)
        load = FleetLoad(OTHERS.in_flight + max(most, len(self.running)), 48, 4)
        return load_cap(load, SLOTS, KNOBS.load_multiple, KNOBS.load_floor)


class ContestedEngine(RuleBasedStateMachine):
    """Mix views, requests, ends and time in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = Contested()
        self.world.start()
        self.cut_at = float("inf")

    @rule(
        alone=st.booleans(),
        order=st.sampled_from(["xy", "yx"]),
        delay=st.sampled_from([0.0, 0.5, 1.75]),
        surge=st.integers(0, SLOTS),
    )
    def change_views(self, alone: bool, order: str, delay: float, surge: int) -> None:
        """Cut the daemons apart or join them; one learns of it later."""
        self.world.see(order[0], alone)
        for _ in range(math.ceil(delay / 0.25)):
            self.world.wait(0.25)
            self.world.ask(order[0])
            self.check()
        for _ in range(surge):
            self.world.ask(order[1])
        self.world.see(order[1], alone)
        self.cut_at = self.world.now if alone else float("inf")

    def end_long_cut(self, seconds: float) -> None:
        """Join the daemons before a cut outlasts what claims stand for."""
        if self.world.now + seconds > self.cut_at + LONGEST_CUT_SECONDS:
            self.change_views(False, "xy", 0.5, 0)

    @rule(daemon_id=st.sampled_from(["x", "y"]), count=st.integers(1, SLOTS))
    def surge(self, daemon_id: str, count: int) -> None:
        """Ask one daemon for many slots at once."""
        for _ in range(count):
            self.world.ask(daemon_id)

    @rule(steps=st.integers(1, 20))
    def pass_time(self, steps: int) -> None:
        """Let reports come, late."""
        self.end_long_cut(steps * 0.25)
        for _ in range(steps):
            self.world.wait(0.25)

    @rule(count=st.integers(1, 6))
    def finish(self, count: int) -> None:
        """End some answers."""
        for _ in range(count):
            self.world.finish()

    @invariant()
    def check(self) -> None:
        """No moment shows the engine above its cap."""
        assert len(self.world.running) <= self.world.cap()


ContestedEngine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    phases=[Phase.generate],
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
ContestedEngineTests = ContestedEngine.TestCase


class CutTests(testtools.TestCase):
    def test_both_sides_of_a_cut_stay_under_the_cap_together(self):
        for first, second in ("xy", "yx"):
            for seconds in (0.5, 4.0, 6.0):
                world = Contested()
                world.start()
                world.see("x", alone=True)
                world.see("y", alone=True)
                for _ in range(int(seconds * 4)):
                    world.wait(0.25)
                for daemon_id in (first, second) * SLOTS:
                    world.ask(daemon_id)
                self.assertThat(len(world.running), LessThan(world.cap() + 1))

    def test_a_rejoined_owner_waits_for_the_other_to_let_go(self):
        world = Contested()
        world.start()
        world.see("x", alone=True)
        world.see("y", alone=True)
        for _ in range(38):
            world.wait(0.25)
        (owner, other) = "xy" if owner_of(ENGINE.host, DAEMONS) == DAEMONS[0] else "yx"
        world.see(owner, alone=False)
        world.wait(0.5)
        for _ in range(SLOTS):
            world.ask(other)
        for _ in range(SLOTS):
            world.ask(owner)
        self.assertThat(len(world.running), LessThan(world.cap() + 1))


class HandoverTests(testtools.TestCase):
    def test_a_handed_over_engine_is_used_at_once_and_not_overrun(self):
        world = Contested()
        world.start()
        first = next(d for d, made in world.dispatchers.items() if made.engines.by_id)
        second = "y" if first == "x" else "x"
        world.see(second, alone=False)
        for _ in range(SLOTS):
            world.ask(first)
        before = len(world.running)
        self.assertEqual(world.cap(), before)
        leaving = [d for d in DAEMONS if d.host_id == second]
        (handover,) = world.dispatchers[first].set_daemons(leaving, world.now)
        world.dispatchers[second].set_daemons(leaving, world.now)
        world.ask(second)
        self.assertEqual(before, len(world.running))
        world.dispatchers[second].accept(handover, world.now)
        world.wait(0.25)
        world.ask(second)
        self.assertEqual(before, len(world.running))
        for _ in range(3):
            world.finish()
        world.wait(2.0)
        world.wait(2.0)
        world.ask(second)
        self.assertEqual(before - 2, len(world.running))
