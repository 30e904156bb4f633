"""Give the daemons' dispatchers what they would hear, late and with gaps."""

from collections.abc import Callable

import numpy as np
from attrs import define, evolve, field

from teaselpond.policy import Dispatcher, LoadSum, PolicySettings
from teaselpond_model.contracts import Host, HostState, LoadReport

from .engines import VirtualEngine
from .runs import ZONE_NOTICE_SECONDS, World

REPORT_SECONDS = 1.0
REPORT_AGE_SECONDS = 1.0
EVENT_LAG_SECONDS = 0.5
LOST_PAGES = 0.02
SUM_SECONDS = 0.1
SUM_LAG_SECONDS = 0.005
TICK_SECONDS = 0.25
WARM_SECONDS = 20.0


@define
class Daemons:
    """Hold a dispatcher for each daemon, each with its own late view."""

    world: World
    settings: PolicySettings
    advance: Callable[[str], None]
    hosts: list[Host] = field(factory=list)
    dispatchers_by_id: dict[str, Dispatcher] = field(factory=dict)
    _random: np.random.Generator = field(factory=lambda: np.random.default_rng(7))
    _reports: int = 0

    def start(self) -> None:
        """Start the daemons with warm engines, and all that they exchange."""
        self.hosts = self.world.scenario.make_daemons()
        profiles = self.world.scenario.make_engines()
        for host in self.hosts:
            dispatcher = Dispatcher(host.host_id, "1")
            dispatcher.configure(self.settings, profiles, -WARM_SECONDS)
            dispatcher.set_daemons(self.hosts, -WARM_SECONDS)
            self.dispatchers_by_id[host.host_id] = dispatcher
            self._warm_up(dispatcher)
        self._exchange_sums()
        clock, end = self.world.clock, self.world.end + 30
        clock.call_every(REPORT_SECONDS, self._report, end)
        clock.call_every(SUM_SECONDS, self._exchange_sums, end)
        clock.call_every(TICK_SECONDS, self._tick, end)
        self.world.watchers.append(self._spread_zones)

    def _warm_up(self, dispatcher: Dispatcher) -> None:
        for engine in dispatcher.engines.by_id.values():
            engine.warmup.observe_incarnation("1", -WARM_SECONDS)
            engine.warmup.raise_to(engine.profile.slots)
            engine.claim.confirm()
            engine.last_contact_at = 0.0

    def _tick(self) -> None:
        for daemon_id in self.dispatchers_by_id:
            self.advance(daemon_id)

    def _report(self) -> None:
        self._reports += 1
        for engine in self.world.engines_by_id.values():
            if engine.is_down:
                continue
            report = engine.report(REPORT_AGE_SECONDS, self._reports)
            self.world.clock.call_after(
                REPORT_AGE_SECONDS,
                lambda engine=engine, report=report: self._deliver(engine, report),
            )

    def _deliver(self, engine: VirtualEngine, report: LoadReport) -> None:
        engine_id = engine.profile.engine_id
        for dispatcher in self.dispatchers_by_id.values():
            if engine_id in dispatcher.engines.by_id:
                dispatcher.observe_load(engine_id, report, self.world.clock.now)
                if self._random.random() >= LOST_PAGES:
                    self._poll_cache(dispatcher, engine)

    def _poll_cache(self, dispatcher: Dispatcher, engine: VirtualEngine) -> None:
        engine_id = engine.profile.engine_id
        incarnation = str(engine.incarnation)
        now = self.world.clock.now
        known = dispatcher.engines.by_id[engine_id].prefixes
        after = known.last_sequence if known.incarnation == incarnation else 0
        page = engine.cache_page(after, EVENT_LAG_SECONDS)
        if dispatcher.observe_cache(engine_id, page, now):
            dispatcher.observe_snapshot(
                engine_id,
                incarnation,
                engine.last_sequence,
                engine.cache_snapshot(),
                now,
            )

    def _exchange_sums(self) -> None:
        now = self.world.clock.now
        for sender in self.dispatchers_by_id.values():
            for load_sum in sender.sums(now):
                self.world.clock.call_after(
                    SUM_LAG_SECONDS,
                    lambda load_sum=load_sum: self._hear_sum(load_sum),
                )

    def _hear_sum(self, load_sum: LoadSum) -> None:
        for dispatcher in self.dispatchers_by_id.values():
            dispatcher.observe_sum(load_sum, self.world.clock.now)

    def _spread_zones(self) -> None:
        out = frozenset(self.world.zones_out)
        for daemon_id in self.dispatchers_by_id:
            delay = self._random.uniform(0, ZONE_NOTICE_SECONDS)
            self.world.clock.call_after(
                delay, lambda daemon_id=daemon_id: self._learn_zones(daemon_id, out)
            )

    def _learn_zones(self, daemon_id: str, out: frozenset[str]) -> None:
        now = self.world.clock.now
        dispatcher = self.dispatchers_by_id[daemon_id]
        profiles = [
            evolve(profile, available=profile.host.zone not in out)
            for profile in self.world.scenario.make_engines()
        ]
        hosts = [
            evolve(
                host, state=HostState.LEAVING if host.zone in out else HostState.LIVE
            )
            for host in self.hosts
        ]
        handovers = dispatcher.configure(self.settings, profiles, now)
        handovers += dispatcher.set_daemons(hosts, now)
        for handover in handovers:
            # The next owner may learn of the change later than the former.
            self.world.clock.call_after(
                ZONE_NOTICE_SECONDS,
                lambda handover=handover: self.dispatchers_by_id[
                    handover.to_owner
                ].accept(handover, self.world.clock.now),
            )
        self.advance(daemon_id)
