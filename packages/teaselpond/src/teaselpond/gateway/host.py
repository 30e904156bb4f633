"""Hold the state of one host, and report it to the peers in heartbeats."""

import os
import random
from collections.abc import Callable, Mapping
from types import MappingProxyType

from attrs import define, field

from .adapters import Adapter
from .admission import Admission
from .ages import HOP_SECONDS
from .applying import StoreApplier
from .backoffs import Backoffs
from .balancing.response_times import ResponseTimesTopic
from .balancing.slowness import SlownessTopic
from .budgets import COLD_WINDOW_SECONDS, ColdBudget
from .clocks import boot_time
from .directory.capacities import CapacityTopic
from .drain import Drain, Phase
from .following import Follower
from .health import HealthTracker
from .journal import Journal
from .loads import LoadTracker
from .members import Heartbeat, Introduction, Members, MemberState
from .metrics import Metrics
from .overload.control import OverloadControl
from .poison import PoisonTracker
from .prefixes import PrefixNews, PrefixTracker
from .readers import (
    CONFIRMATION_TIMEOUT_SECONDS,
    Candidate,
    ReadScheduler,
    choose_readers,
)
from .retry_budgets import RetryBudgets
from .retry_usage import FormerUsage
from .rollouts.metrics import collect_rollouts
from .rollouts.tracker import Rollouts
from .routing_state import RoutingState
from .settings import GatewaySettings
from .sightings import pack_sightings
from .topics import Topics

# How long a host keeps its role as a reader before it ranks its peers again.
# Each table is checked ten times a second, and a fleet may have hundreds.
READER_CACHE_SECONDS = 0.25
INCARNATION_BYTES = 6
NO_NEWS = PrefixNews()


@define(eq=False)
class GatewayHost:
    """Hold the settings, the routing state and the trackers of one process."""

    settings: GatewaySettings
    adapter: Adapter
    clock: Callable[[], float] = boot_time
    journal: Journal = field(init=False)
    routing_state: RoutingState = field(factory=RoutingState)
    metrics: Metrics = field(factory=Metrics)
    loads: LoadTracker = field(factory=LoadTracker)
    health: HealthTracker = field(factory=HealthTracker)
    backoffs: Backoffs = field(factory=Backoffs)
    prefixes: PrefixTracker = field(factory=PrefixTracker)
    poison: PoisonTracker = field(factory=PoisonTracker)
    topics: Topics = field(factory=Topics)
    capacities: CapacityTopic = field(init=False)
    rollouts: Rollouts = field(factory=Rollouts)
    applier: StoreApplier = field(init=False)
    members: Members = field(init=False)
    drain: Drain = field(init=False)
    admission: Admission = field(init=False)
    retries: RetryBudgets = field(init=False)
    overload: OverloadControl = field(init=False)
    followers: list[Follower] = field(factory=list)
    rng: random.Random = field(factory=random.Random)
    is_reader: bool = False
    _reads_until: float = 0.0
    started_at: float = field(init=False)
    incarnation: int = field(
        factory=lambda: int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
    )

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.started_at = self.clock()
        self.journal = Journal(settings.host)
        self.applier = StoreApplier(
            self.routing_state, self.journal, self.adapter.decode_change
        )
        self.members = Members(settings.host)
        self.topics.add(SlownessTopic(self.loads))
        self.topics.add(self.poison.accused_prompts)
        self.loads.response_times.host = settings.host
        self.topics.add(ResponseTimesTopic(self.loads))
        self.metrics.balancing.response_times = self.loads.response_times
        self.retries = RetryBudgets(
            self.members,
            self.incarnation,
            settings.bounds.retry_ratio,
            settings.bounds.retry_slack,
            settings.bounds.retry_window_seconds,
            self.started_at,
            settings.is_first_start,
        )
        self.capacities = CapacityTopic(
            self.members, self.incarnation, settings.capacity
        )
        self.topics.add(self.capacities)
        self.overload = OverloadControl(self.started_at, self.rng)
        self.rollouts.configure(
            settings.bounds.exposure_ratio, settings.bounds.exposure_slack
        )
        self.rollouts.host_count = self.host_count
        self.rollouts.engines = lambda: self.routing_state.engines_by_id.values()
        self.rollouts.journal = self.journal
        self.applier.rollouts = self.rollouts
        self.topics.add(self.rollouts)
        self.metrics.collectors.append(lambda: collect_rollouts(self.rollouts))
        self.drain = Drain(settings.bounds.grace_seconds)
        self.admission = Admission(
            self.routing_state,
            settings.bounds.strict_revocation,
            settings.bounds.revoke_seconds,
        )

    def state(self, now: float) -> MemberState:
        """Return whether this host is starting, serving or leaving.

        It is unconfirmed if its configuration may be out of date.
        """
        if self.drain.phase(now) is not Phase.SERVING:
            return MemberState.LEAVING
        if self.routing_state.configuration is None:
            return MemberState.STARTING
        if not self.admission.is_confirmed(now):
            return MemberState.UNCONFIRMED
        return MemberState.SERVING

    @property
    def is_store_answering(self) -> bool:
        """Return whether no request of this host to the store failed last."""
        return not any(follower.is_failing for follower in self.followers)

    def heartbeat(
        self,
        ips_by_host: Mapping[str, str],
        introductions: tuple[Introduction, ...] = (),
        prefix_news: PrefixNews = NO_NEWS,
        starts: bytes = b"",
        former_usage: FormerUsage | None = None,
        news_by_topic: Mapping[str, bytes] = MappingProxyType({}),
    ) -> Heartbeat:
        """Build this host's heartbeat.

        ``ips_by_host`` holds addresses of other hosts to share,
        ``former_usage`` the answer to the host that it is sent to.
        """
        now = self.clock()
        routing_state = self.routing_state
        configuration = routing_state.configuration
        sharing = self.members.sharing(now)
        return Heartbeat(
            host=self.settings.host,
            incarnation=self.incarnation,
            ip=self.settings.ip,
            availability_zone=self.settings.availability_zone,
            state=self.state(now),
            confirmed_store_seconds=(
                routing_state.freshness.confirmed_store_seconds or 0.0
            ),
            row_versions=self.applier.row_versions(),
            is_store_answering=self.is_store_answering,
            store_back_seconds=routing_state.outages.returned_at or 0.0,
            loads_by_engine=self.loads.own_counts(),
            ips_by_host=ips_by_host,
            engines_by_prefix_key={},
            engines_by_broken_request={},
            era=self.applier.era,
            configuration_version=configuration.version if configuration else 0,
            introductions=introductions,
            sightings=pack_sightings(self.members, now),
            load_readings=self.loads.readings.pack(self.rng, now),
            prefix_news=prefix_news,
            starts=starts,
            departures=routing_state.departures.pack_news(now),
            fleet_size=sharing.hosts,
            fleet_size_age_seconds=now - sharing.observed_at + HOP_SECONDS,
            poison_news=self.poison.pack_news(now),
            departure_reminders=routing_state.departures.pack_reminders(now),
            retry_usage=self.retries.pack(now),
            asks_former_usage=self.retries.is_asking(now),
            former_usage=former_usage,
            news_by_topic=news_by_topic,
        )

    def must_read(self, scheduler: ReadScheduler) -> bool:
        """Return whether this host reads a table from the store itself.

        Otherwise its peers do. While they confirm the configuration, clear
        the failure state of the followers.
        """
        now = self.clock()
        age = self.routing_state.freshness.age(now)
        is_confirmed = age is not None and age <= CONFIRMATION_TIMEOUT_SECONDS
        if is_confirmed and now < self._reads_until:
            return self.is_reader
        own = Candidate(self.settings.host, self.state(now), self.is_store_answering)
        hosts = [own, *self.members.recent(now)]
        if is_confirmed:
            self.is_reader = own.host in choose_readers(hosts)
            self._reads_until = now + READER_CACHE_SECONDS
        if scheduler.is_due(hosts, age, now):
            return True
        if is_confirmed:
            for follower in self.followers:
                follower.clear_failure()
        return False

    def host_count(self) -> int:
        """Return the number of hosts that share the fleet's budgets."""
        return self.members.sharing(self.clock()).hosts

    def make_cold_budget(self) -> ColdBudget:
        """Build this host's budget for requests to cold upstreams."""
        bounds = self.settings.bounds
        return ColdBudget(
            bounds.cold_overage,
            bounds.cold_slack,
            usable_from=self._cold_usable_from(),
        )

    def _cold_usable_from(self) -> float:
        """Return when requests of an earlier process no longer count."""
        if self.settings.is_first_start:
            return self.started_at
        return self.started_at + COLD_WINDOW_SECONDS

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings, except addresses, which need a restart."""
        self.settings = settings
        self.capacities.capacity = settings.capacity
        self.drain.update_grace(settings.bounds.grace_seconds)
        self.retries.update_bounds(
            settings.bounds.retry_ratio, settings.bounds.retry_slack
        )
        self.rollouts.configure(
            settings.bounds.exposure_ratio, settings.bounds.exposure_slack
        )
        self.admission.strict_revocation = settings.bounds.strict_revocation
        self.admission.revoke_seconds = settings.bounds.revoke_seconds
