"""Drive a placement through a scenario in virtual time."""

from collections.abc import Callable

import numpy as np
from attrs import define, evolve, field

from .clock import VirtualClock
from .engines import TurnResult, VirtualEngine
from .metrics import Recorder
from .scenarios import Fault, Scenario
from .workload import Turn, make_trace

SAMPLE_SECONDS = 0.1
ZONE_NOTICE_SECONDS = 2.0
DRAIN_CHECK_SECONDS = 1.0
CHURN_SHARE = 0.1


@define
class World:
    """Hold the engines and the clock of one run."""

    scenario: Scenario
    clock: VirtualClock = field(factory=VirtualClock)
    recorder: Recorder = field(factory=Recorder)
    engines_by_id: dict[str, VirtualEngine] = field(factory=dict)
    zones_out: dict[str, float] = field(factory=dict)
    ejected: Callable[[], set[str]] = set
    watchers: list[Callable[[], None]] = field(factory=list)

    @classmethod
    def create(cls, scenario: Scenario) -> "World":
        """Make the engines of a scenario and plan its faults."""
        world = cls(scenario)
        for profile in scenario.make_engines():
            engine = VirtualEngine(profile, world.clock)
            world.engines_by_id[profile.engine_id] = engine
        world.plan()
        return world

    @property
    def end(self) -> float:
        """Return when the callers stop."""
        return self.scenario.seconds

    def eligible_engines(self) -> list[VirtualEngine]:
        """Return the engines in service that run and are not ejected.

        A zone counts until the daemons must know that it is out.
        """
        ejected = self.ejected()
        notice = self.clock.now - ZONE_NOTICE_SECONDS
        known_out = {zone for zone, at in self.zones_out.items() if at <= notice}
        return [
            engine
            for engine_id, engine in self.engines_by_id.items()
            if engine.profile.host.zone not in known_out
            and not engine.is_down
            and engine_id not in ejected
        ]

    def plan(self) -> None:
        """Put the scenario's faults and the samples on the clock."""
        scenario = self.scenario
        sample = SAMPLE_SECONDS
        self.clock.call_every(
            sample, lambda: self.recorder.sample(self.eligible_engines()), self.end
        )
        if scenario.fault is Fault.ZONE:
            self.clock.call_at(scenario.first_at, lambda: self.take_out("zone-0"))
            self.clock.call_at(scenario.second_at, lambda: self.bring_back("zone-0"))
        if scenario.fault is Fault.CHURN:
            self.clock.call_at(scenario.first_at, self.replace_some)

    def take_out(self, zone: str) -> None:
        """Take a zone out; its engines stop once they had time to drain."""
        self.zones_out[zone] = self.clock.now
        self.tell()
        self.clock.call_after(ZONE_NOTICE_SECONDS, lambda: self.stop_zone(zone))

    def stop_zone(self, zone: str) -> None:
        """Stop each engine of a zone that is out when its work has ended."""
        if zone not in self.zones_out:
            return
        for engine in self.of_zone(zone):
            if not engine.is_down and engine.in_flight == 0:
                engine.stop()
        self.clock.call_after(DRAIN_CHECK_SECONDS, lambda: self.stop_zone(zone))

    def bring_back(self, zone: str) -> None:
        """Bring a zone back; the engines that had stopped are cold."""
        del self.zones_out[zone]
        for engine in self.of_zone(zone):
            if engine.is_down:
                engine.restart()
        self.tell()

    def replace_some(self) -> None:
        """Replace a tenth of the engines without notice."""
        engines = list(self.engines_by_id.values())
        random = np.random.default_rng(self.scenario.seed)
        count = max(1, int(CHURN_SHARE * len(engines)))
        for index in random.choice(len(engines), count, replace=False):
            engines[index].stop()
            engines[index].restart()

    def of_zone(self, zone: str) -> list[VirtualEngine]:
        """Return a zone's engines."""
        return [
            engine
            for engine in self.engines_by_id.values()
            if engine.profile.host.zone == zone
        ]

    def tell(self) -> None:
        """Tell the watchers that zones changed."""
        for watcher in self.watchers:
            watcher()

    def submit(
        self, engine: VirtualEngine, turn: Turn, done: Callable[[TurnResult], None]
    ) -> None:
        """Give an engine a turn and compare its load with the cap."""
        out_since = self.zones_out.get(engine.profile.host.zone, float("inf"))
        if self.clock.now > out_since + ZONE_NOTICE_SECONDS:
            self.recorder.work_for_zones_out += 1
        engine.submit(turn, done)
        self.recorder.admit(engine, self.eligible_engines())

    def play(self, serve: Callable[[Turn], None]) -> None:
        """Play the trace to the end of its answers."""
        scenario = self.scenario
        trace = make_trace(
            scenario.seed, scenario.turns_per_second, scenario.seconds, scenario.surge
        )
        self.recorder.turns = len(trace)
        for turn in trace:
            self.clock.call_at(turn.sent_at, lambda turn=turn: serve(turn))
        self.clock.run()


ATTEMPTS = 3
PATIENCE_SECONDS = 10.0
WAIT_SECONDS = 0.05


@define
class CentralRun:
    """Serve turns by a chooser that sees all daemons' requests."""

    world: World
    choose: Callable
    knows_zones_without_lag: bool = False
    _known_out: frozenset[str] = frozenset()

    def start(self) -> None:
        """Learn of zones as the daemons do, after a moment."""
        delay = 0.0 if self.knows_zones_without_lag else ZONE_NOTICE_SECONDS / 2
        self.world.watchers.append(
            lambda: self.world.clock.call_after(delay, self._learn)
        )

    def leaked_slots(self) -> int:
        """Return 0: a central run hands out no slots."""
        return 0

    def _learn(self) -> None:
        self._known_out = frozenset(self.world.zones_out)

    def serve(self, turn: Turn, attempt: int = 1) -> None:
        """Place a turn, and again when its engine fails."""
        eligible = [
            engine
            for engine in self.world.engines_by_id.values()
            if engine.profile.host.zone not in self._known_out and not engine.is_down
        ]
        engine = self.choose(turn, eligible) if eligible else None
        if engine is None:
            self._wait(turn, attempt)
            return
        started = self.world.clock.now

        def done(answer: TurnResult) -> None:
            if answer.completed:
                self.world.recorder.answer(turn, answer, started - turn.sent_at)
            elif attempt < ATTEMPTS:
                self.world.recorder.retries += 1
                self.world.recorder.cut += 1
                again = evolve(turn, number=turn.number + attempt * 10_000_000)
                self.world.clock.call_after(0.1, lambda: self.serve(again, attempt + 1))
            else:
                self.world.recorder.refuse("failed")

        self.world.submit(engine, turn, done)

    def _wait(self, turn: Turn, attempt: int) -> None:
        clock = self.world.clock
        if clock.now > turn.sent_at + PATIENCE_SECONDS:
            self.world.recorder.refuse("no-room")
            return
        clock.call_after(WAIT_SECONDS, lambda: self.serve(turn, attempt))
