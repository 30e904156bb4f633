"""Run a scenario in virtual time, with its engines and faults."""

from collections.abc import Callable

import numpy as np
from attrs import define, evolve, field

from .clock import VirtualClock
from .engines import TurnResult, VirtualEngine
from .metrics import Recorder
from .scenarios import Fault, Scenario
from .workload import Turn, make_trace

SAMPLE_INTERVAL_SECONDS = 0.1
# Every daemon has noticed a zone change after this time.
ZONE_NOTICE_SECONDS = 2.0
DRAIN_CHECK_SECONDS = 1.0
REPLACED_SHARE = 0.1


@define
class Simulation:
    """Hold the clock, engines, faults and records of one run.

    ``zones_out`` maps each zone out of service to the time of its removal.
    ``ejected_engine_ids`` returns the engines that any daemon has ejected.
    """

    scenario: Scenario
    clock: VirtualClock = field(factory=VirtualClock)
    recorder: Recorder = field(factory=Recorder)
    engines_by_id: dict[str, VirtualEngine] = field(factory=dict)
    zones_out: dict[str, float] = field(factory=dict)
    ejected_engine_ids: Callable[[], set[str]] = set
    zone_observers: list[Callable[[], None]] = field(factory=list)

    @classmethod
    def create(cls, scenario: Scenario) -> "Simulation":
        """Create the engines of a scenario and schedule its faults."""
        simulation = cls(scenario)
        for profile in scenario.make_engines():
            engine = VirtualEngine(profile, simulation.clock)
            simulation.engines_by_id[profile.engine_id] = engine
        simulation.schedule_faults()
        return simulation

    @property
    def end(self) -> float:
        """Return the time at which the callers stop."""
        return self.scenario.seconds

    def eligible_engines(self) -> list[VirtualEngine]:
        """Return the engines that are up, in service and not ejected.

        An engine of a removed zone is included until every daemon must have
        noticed the removal.
        """
        ejected_engine_ids = self.ejected_engine_ids()
        noticed_before = self.clock.now - ZONE_NOTICE_SECONDS
        known_zones_out = {
            zone
            for zone, removed_at in self.zones_out.items()
            if removed_at <= noticed_before
        }
        return [
            engine
            for engine_id, engine in self.engines_by_id.items()
            if engine.profile.host.zone not in known_zones_out
            and not engine.is_down
            and engine_id not in ejected_engine_ids
        ]

    def schedule_faults(self) -> None:
        """Schedule the scenario's faults and the load samples."""
        scenario = self.scenario
        sample_interval = SAMPLE_INTERVAL_SECONDS
        self.clock.call_every(
            sample_interval,
            lambda: self.recorder.sample_loads(self.eligible_engines()),
            self.end,
        )
        if scenario.fault is Fault.ZONE:
            self.clock.call_at(
                scenario.fault_starts_at, lambda: self.remove_zone("zone-0")
            )
            self.clock.call_at(
                scenario.fault_ends_at, lambda: self.restore_zone("zone-0")
            )
        if scenario.fault is Fault.CHURN:
            self.clock.call_at(scenario.fault_starts_at, self.replace_engines)

    def remove_zone(self, zone: str) -> None:
        """Take a zone out of service and stop its engines as they drain."""
        self.zones_out[zone] = self.clock.now
        self.notify_zone_observers()
        self.clock.call_after(ZONE_NOTICE_SECONDS, lambda: self.stop_zone(zone))

    def stop_zone(self, zone: str) -> None:
        """Stop a removed zone's idle engines; repeat until it is restored."""
        if zone not in self.zones_out:
            return
        for engine in self.engines_in_zone(zone):
            if not engine.is_down and engine.in_flight == 0:
                engine.stop()
        self.clock.call_after(DRAIN_CHECK_SECONDS, lambda: self.stop_zone(zone))

    def restore_zone(self, zone: str) -> None:
        """Put a zone back into service; its stopped engines restart cold."""
        del self.zones_out[zone]
        for engine in self.engines_in_zone(zone):
            if engine.is_down:
                engine.restart()
        self.notify_zone_observers()

    def replace_engines(self) -> None:
        """Restart a tenth of the engines at once, without notice."""
        engines = list(self.engines_by_id.values())
        rng = np.random.default_rng(self.scenario.seed)
        count = max(1, int(REPLACED_SHARE * len(engines)))
        for index in rng.choice(len(engines), count, replace=False):
            engines[index].stop()
            engines[index].restart()

    def engines_in_zone(self, zone: str) -> list[VirtualEngine]:
        """Return the engines of a zone."""
        return [
            engine
            for engine in self.engines_by_id.values()
            if engine.profile.host.zone == zone
        ]

    def notify_zone_observers(self) -> None:
        """Call each observer after a zone was removed or restored."""
        for observer in self.zone_observers:
            observer()

    def submit(
        self, engine: VirtualEngine, turn: Turn, on_done: Callable[[TurnResult], None]
    ) -> None:
        """Submit a turn to an engine and record its load against the cap."""
        removed_at = self.zones_out.get(engine.profile.host.zone, float("inf"))
        if self.clock.now > removed_at + ZONE_NOTICE_SECONDS:
            self.recorder.work_for_zones_out += 1
        engine.submit(turn, on_done)
        self.recorder.record_admission(engine, self.eligible_engines())

    def run(self, serve: Callable[[Turn], None]) -> None:
        """Generate the trace and serve its turns until all have ended."""
        scenario = self.scenario
        trace = make_trace(
            scenario.seed, scenario.turns_per_second, scenario.seconds, scenario.surge
        )
        self.recorder.turns = len(trace)
        for turn in trace:
            self.clock.call_at(turn.sent_at, lambda turn=turn: serve(turn))
        self.clock.run()


MAX_ATTEMPTS = 3
REQUEST_TIMEOUT_SECONDS = 10.0
RETRY_SECONDS = 0.05


@define
class CentralRun:
    """Serve turns with one central chooser instead of daemons."""

    simulation: Simulation
    choose: Callable
    knows_zones_without_lag: bool = False
    _known_zones_out: frozenset[str] = frozenset()

    def start(self) -> None:
        """Observe zone changes, by default with a delay like the daemons'."""
        delay = 0.0 if self.knows_zones_without_lag else ZONE_NOTICE_SECONDS / 2
        self.simulation.zone_observers.append(
            lambda: self.simulation.clock.call_after(delay, self._update_zones)
        )

    def leaked_slots(self) -> int:
        """Return 0, as a central run grants no slots."""
        return 0

    def _update_zones(self) -> None:
        self._known_zones_out = frozenset(self.simulation.zones_out)

    def serve(self, turn: Turn, attempt: int = 1) -> None:
        """Serve a turn, with another attempt if its engine fails."""
        eligible = [
            engine
            for engine in self.simulation.engines_by_id.values()
            if engine.profile.host.zone not in self._known_zones_out
            and not engine.is_down
        ]
        engine = self.choose(turn, eligible) if eligible else None
        if engine is None:
            self._retry_later(turn, attempt)
            return
        started = self.simulation.clock.now

        def on_done(result: TurnResult) -> None:
            if result.completed:
                self.simulation.recorder.record_result(
                    turn, result, started - turn.sent_at
                )
            elif attempt < MAX_ATTEMPTS:
                self.simulation.recorder.retries += 1
                self.simulation.recorder.cut += 1
                retried = evolve(turn, number=turn.number + attempt * 10_000_000)
                self.simulation.clock.call_after(
                    0.1, lambda: self.serve(retried, attempt + 1)
                )
            else:
                self.simulation.recorder.record_refusal("failed")

        self.simulation.submit(engine, turn, on_done)

    def _retry_later(self, turn: Turn, attempt: int) -> None:
        clock = self.simulation.clock
        if clock.now > turn.sent_at + REQUEST_TIMEOUT_SECONDS:
            self.simulation.recorder.record_refusal("no-room")
            return
        clock.call_after(RETRY_SECONDS, lambda: self.serve(turn, attempt))
