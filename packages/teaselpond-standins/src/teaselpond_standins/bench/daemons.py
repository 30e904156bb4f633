"""Feed the daemons' dispatchers with delayed and incomplete information."""

from collections.abc import Callable

import numpy as np
from attrs import define, evolve, field

from teaselpond.policy import Dispatcher, LoadSum, PolicySettings
from teaselpond_model.contracts import Host, HostState, LoadReport

from .engines import VirtualEngine
from .runs import ZONE_NOTICE_SECONDS, Simulation

REPORT_INTERVAL_SECONDS = 1.0
REPORT_AGE_SECONDS = 1.0
CACHE_EVENT_LAG_SECONDS = 0.5
LOST_PAGE_SHARE = 0.02
SUM_INTERVAL_SECONDS = 0.1
SUM_LAG_SECONDS = 0.005
TICK_INTERVAL_SECONDS = 0.25
WARM_UP_SECONDS = 20.0


@define
class SimulatedDaemons:
    """Run a dispatcher for each daemon.

    Each one receives load reports, cache events, load sums and zone changes
    late; some cache event pages are lost. ``advance`` is called with the id
    of a daemon whose queued requests may have to be decided.
    """

    simulation: Simulation
    settings: PolicySettings
    advance: Callable[[str], None]
    hosts: list[Host] = field(factory=list)
    dispatchers_by_id: dict[str, Dispatcher] = field(factory=dict)
    _rng: np.random.Generator = field(factory=lambda: np.random.default_rng(7))
    _report_sequence: int = 0

    def start(self) -> None:
        """Start the daemons with warm engines and schedule their messages."""
        self.hosts = self.simulation.scenario.make_daemons()
        profiles = self.simulation.scenario.make_engines()
        for host in self.hosts:
            dispatcher = Dispatcher(host.host_id, "1")
            dispatcher.configure(self.settings, profiles, -WARM_UP_SECONDS)
            dispatcher.set_daemons(self.hosts, -WARM_UP_SECONDS)
            self.dispatchers_by_id[host.host_id] = dispatcher
            self._warm_up(dispatcher)
        self._exchange_sums()
        clock, end = self.simulation.clock, self.simulation.end + 30
        clock.call_every(REPORT_INTERVAL_SECONDS, self._send_reports, end)
        clock.call_every(SUM_INTERVAL_SECONDS, self._exchange_sums, end)
        clock.call_every(TICK_INTERVAL_SECONDS, self._advance_all, end)
        self.simulation.zone_observers.append(self._announce_zones)

    def _warm_up(self, dispatcher: Dispatcher) -> None:
        for engine in dispatcher.engines.by_id.values():
            engine.warmup.observe_incarnation("1", -WARM_UP_SECONDS)
            engine.warmup.raise_to(engine.profile.slots)
            engine.claim.confirm()
            engine.last_contact_at = 0.0

    def _advance_all(self) -> None:
        for daemon_id in self.dispatchers_by_id:
            self.advance(daemon_id)

    def _send_reports(self) -> None:
        self._report_sequence += 1
        for engine in self.simulation.engines_by_id.values():
            if engine.is_down:
                continue
            report = engine.report(REPORT_AGE_SECONDS, self._report_sequence)
            self.simulation.clock.call_after(
                REPORT_AGE_SECONDS,
                lambda engine=engine, report=report: self._deliver_report(
                    engine, report
                ),
            )

    def _deliver_report(self, engine: VirtualEngine, report: LoadReport) -> None:
        engine_id = engine.profile.engine_id
        for dispatcher in self.dispatchers_by_id.values():
            if engine_id in dispatcher.engines.by_id:
                dispatcher.observe_load(engine_id, report, self.simulation.clock.now)
                if self._rng.random() >= LOST_PAGE_SHARE:
                    self._poll_cache(dispatcher, engine)

    def _poll_cache(self, dispatcher: Dispatcher, engine: VirtualEngine) -> None:
        engine_id = engine.profile.engine_id
        incarnation = str(engine.incarnation)
        now = self.simulation.clock.now
        prefixes = dispatcher.engines.by_id[engine_id].prefixes
        after = prefixes.last_sequence if prefixes.incarnation == incarnation else 0
        page = engine.cache_page(after, CACHE_EVENT_LAG_SECONDS)
        if dispatcher.observe_cache(engine_id, page, now):
            dispatcher.observe_snapshot(
                engine_id,
                incarnation,
                engine.last_sequence,
                engine.cache_snapshot(),
                now,
            )

    def _exchange_sums(self) -> None:
        now = self.simulation.clock.now
        for sender in self.dispatchers_by_id.values():
            for load_sum in sender.sums(now):
                self.simulation.clock.call_after(
                    SUM_LAG_SECONDS,
                    lambda load_sum=load_sum: self._receive_sum(load_sum),
                )

    def _receive_sum(self, load_sum: LoadSum) -> None:
        for dispatcher in self.dispatchers_by_id.values():
            dispatcher.observe_sum(load_sum, self.simulation.clock.now)

    def _announce_zones(self) -> None:
        zones_out = frozenset(self.simulation.zones_out)
        for daemon_id in self.dispatchers_by_id:
            delay = self._rng.uniform(0, ZONE_NOTICE_SECONDS)
            self.simulation.clock.call_after(
                delay,
                lambda daemon_id=daemon_id: self._apply_zones(daemon_id, zones_out),
            )

    def _apply_zones(self, daemon_id: str, zones_out: frozenset[str]) -> None:
        now = self.simulation.clock.now
        dispatcher = self.dispatchers_by_id[daemon_id]
        profiles = [
            evolve(profile, available=profile.host.zone not in zones_out)
            for profile in self.simulation.scenario.make_engines()
        ]
        hosts = [
            evolve(
                host,
                state=HostState.LEAVING if host.zone in zones_out else HostState.LIVE,
            )
            for host in self.hosts
        ]
        handovers = dispatcher.configure(self.settings, profiles, now)
        handovers += dispatcher.set_daemons(hosts, now)
        for handover in handovers:
            # The next owner may receive the change later than the former one.
            self.simulation.clock.call_after(
                ZONE_NOTICE_SECONDS,
                lambda handover=handover: self.dispatchers_by_id[
                    handover.to_owner
                ].accept(handover, self.simulation.clock.now),
            )
        self.advance(daemon_id)
