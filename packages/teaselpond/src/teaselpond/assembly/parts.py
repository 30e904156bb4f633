"""Build, start and stop the parts of a daemon."""

import hashlib
import random
import time

from attrs import define, field

from teaselpond_model.configuration import Document
from teaselpond_model.contracts import Address
from teaselpond_model.platform import Platform

from ..configuration import ConfigurationInForce, ConfigurationKeeper
from ..delivery.drain import Drain
from ..delivery.expiry import LedgerSweeper
from ..delivery.jobs import JobScheduler
from ..delivery.ledger import Ledger
from ..delivery.pauses import PauseGuard
from ..delivery.plans import PlanRunner
from ..delivery.poison import Quarantine
from ..delivery.relay import ChatRelay
from ..delivery.retries import RetryPolicy
from ..delivery.services import IdempotentCalls
from ..delivery.tokens import ResumeTokens, SigningKey, TokenSigner
from ..entry import Application
from ..entry.context import EntryContext
from ..entry.journal import RequestJournal
from ..leases import LeaseManager, LeaseSettings
from ..links import Identity, LinkKeys, LinkManager
from ..links.exchange import ExchangeSettings, FactExchange
from ..links.facts import FactStore
from ..links.loads import LOAD_TOPIC
from ..locate import LocateSettings, max_answer_lifetime_seconds
from ..membership import MembershipService
from ..membership.records import HOST_TOPIC, MEMBER_TOPIC
from ..metrics import Metrics
from ..orders import EngineClaims, EngineReconciler
from ..orders.change import ChangeContext
from ..orders.rollout_store import RolloutStore
from ..orders.settings import OrderSettings
from ..owner import EnginePollers, SlotBroker
from ..policy import Dispatcher
from ..settings import Settings, parse_address
from ..upstreams import EngineClient, UpstreamClient
from .configuration_links import LinkedConfiguration
from .fleet_follower import FleetFollower
from .liveness import MemberLiveness, holder_name
from .load_sums import LoadSums
from .locator import Locator
from .order_fleet import OwnedFleet
from .quarantine_links import (
    LIFTED_TOPIC,
    SUSPICION_TOPIC,
    LinkedQuarantine,
)

KEY_ID_CHARACTERS = 8
PUSH_INTERVAL_SECONDS = 0.1
TOPICS = (MEMBER_TOPIC, HOST_TOPIC, LOAD_TOPIC, SUSPICION_TOPIC, LIFTED_TOPIC)


@define(eq=False)
class DaemonParts:
    """Hold the parts of one daemon and manage their lifecycle."""

    settings: Settings
    incarnation: int
    metrics: Metrics
    platform: Platform
    client: UpstreamClient
    single_use_client: UpstreamClient
    links: LinkManager = field(init=False)
    exchange: FactExchange = field(init=False)
    membership: MembershipService | None = field(init=False, default=None)
    keeper: ConfigurationKeeper = field(init=False)
    broker: SlotBroker = field(init=False)
    pollers: EnginePollers = field(init=False)
    fleet: FleetFollower = field(init=False)
    load_sums: LoadSums = field(init=False)
    leases: LeaseManager = field(init=False)
    orders: EngineReconciler = field(init=False)
    quarantine: Quarantine = field(init=False)
    pauses: PauseGuard = field(init=False)
    relay: ChatRelay = field(init=False)
    ledger: Ledger = field(init=False)
    sweeper: LedgerSweeper = field(init=False)
    jobs: JobScheduler = field(init=False)
    drain: Drain = field(init=False)
    application: Application = field(init=False)
    caller_address: Address = field(init=False)

    async def start(self) -> None:
        """Build every part and open the ports."""
        self._build_links()
        self._build_configuration()
        self._build_owner()
        self._build_orders()
        self._build_delivery()
        await self._open_ports()

    async def stop(self) -> None:
        """Close the ports and stop the parts."""
        await self.application.stop()
        await self.pollers.stop()
        if self.membership is not None:
            await self.membership.stop()
        await self.exchange.stop()
        await self.links.stop()

    def _build_links(self) -> None:
        identity = Identity(
            self.settings.daemon_id,
            self.incarnation,
            self.settings.zone,
            parse_address(self.settings, "peer_listen"),
        )
        keys = LinkKeys(tuple(key.encode() for key in self.settings.link_keys))
        self.links = LinkManager(identity, keys)
        self.exchange = FactExchange(
            self.links,
            FactStore(),
            TOPICS,
            ExchangeSettings(push_seconds=PUSH_INTERVAL_SECONDS),
        )

    def _build_configuration(self) -> None:
        configuration_links = LinkedConfiguration(self.links)
        self.keeper = ConfigurationKeeper(
            self.platform.table, configuration_links, count=self.metrics.incr
        )
        configuration_links.attach(self.keeper)

    def _build_owner(self) -> None:
        dispatcher = Dispatcher(self.settings.daemon_id, str(self.incarnation))
        self.broker = SlotBroker(dispatcher, self.links, self.metrics, self.incarnation)
        self.pollers = EnginePollers(
            self.broker,
            EngineClient(self.client, self.single_use_client),
            self.metrics,
            self.settings.poll_interval_seconds,
        )
        self.fleet = FleetFollower(self.broker, self.pollers)
        self.load_sums = LoadSums(dispatcher, self.exchange.store, self.incarnation)

    def _build_orders(self) -> None:
        table = self.platform.table
        name = holder_name(self.settings.daemon_id, self.incarnation)
        lease_settings = LeaseSettings()
        self.leases = LeaseManager(
            table,
            self.settings.daemon_id,
            name,
            settings=lease_settings,
            count=self.metrics.incr,
        )
        context = ChangeContext(
            leases=self.leases,
            claims=EngineClaims(table, self.settings.daemon_id, name, lease_settings),
            rollouts=RolloutStore(table),
            fleet=OwnedFleet(self.broker, self.fleet),
            engine_api=EngineClient(self.client, self.single_use_client),
            weights=self.platform.weights,
            settings=OrderSettings(),
            count=self.metrics.incr,
        )
        self.orders = EngineReconciler(context, self._document)

    def _document(self) -> Document | None:
        in_force = self.keeper.in_force.value
        return in_force.document if in_force else None

    def _build_delivery(self) -> None:
        holder = holder_name(self.settings.daemon_id, self.incarnation)
        quarantine_links = LinkedQuarantine(self.exchange)
        self.quarantine = Quarantine(self.platform.table, quarantine_links)
        quarantine_links.attach(self.quarantine)
        retries = RetryPolicy(counters=self.metrics)
        self.pauses = PauseGuard(self.exchange.catch_up)
        self.relay = ChatRelay(
            slots=self.broker,
            addresses=self.broker,
            engines=EngineClient(self.client, self.single_use_client),
            quarantine=self.quarantine,
            tokens=ResumeTokens(TokenSigner(self._signing_keys())),
            retries=retries,
            daemon=self.settings.daemon_id,
            pauses=self.pauses,
            counters=self.metrics,
        )
        self.broker.subscribe_reports(
            lambda engine_id, report: self.relay.deaths.record_incarnation(
                engine_id, report.incarnation
            )
        )
        self.ledger = Ledger(
            self.platform.table,
            self.platform.objects,
            self.single_use_client,
            daemon=holder,
        )
        self.sweeper = LedgerSweeper(self.platform.table, self.platform.objects)
        self.jobs = JobScheduler(
            self.platform.table,
            self.platform.objects,
            PlanRunner(self.relay),
            MemberLiveness(self.fleet),
            daemon=holder,
            random_source=random.Random(),
            counters=self.metrics,
        )
        self.drain = Drain(
            ttl_seconds=max_answer_lifetime_seconds(self.settings.locate_ttl_seconds),
            finish_seconds=self.settings.stop_timeout_seconds,
            alternatives=self._alternatives,
        )
        self.application = Application(
            self._entry_context(IdempotentCalls(self.client, retries))
        )

    def _entry_context(self, idempotent_calls: IdempotentCalls) -> EntryContext:
        return EntryContext(
            settings=self.settings,
            incarnation=self.incarnation,
            metrics=self.metrics,
            keeper=self.keeper,
            broker=self.broker,
            relay=self.relay,
            ledger=self.ledger,
            idempotent_calls=idempotent_calls,
            jobs=self.jobs,
            quarantine=self.quarantine,
            drain=self.drain,
            links=self.links,
            fleet=self.fleet,
            locator=Locator(
                self.broker.dispatcher,
                self.fleet,
                LocateSettings(ttl_seconds=self.settings.locate_ttl_seconds),
            ),
            journal=RequestJournal(),
        )

    async def _open_ports(self) -> None:
        await self.links.start()
        listen = parse_address(self.settings, "listen")
        port = await self.application.start(listen.ip, listen.port)
        self.caller_address = Address(listen.ip, port)
        self.membership = MembershipService(
            self.links, self.exchange, self.platform.hosts, self.caller_address
        )
        self.keeper.in_force.subscribe(self.fleet.update_configuration)
        self.keeper.in_force.subscribe(self._update_drain)
        self.membership.memberships.subscribe(self.fleet.update_membership)
        self.exchange.start()
        self.membership.start()

    def _update_drain(self, in_force: ConfigurationInForce | None) -> None:
        if in_force is None:
            return
        if in_force.document.is_host_in_service(
            self.settings.daemon_id, self.settings.zone
        ):
            self.drain.resume()
        else:
            self.drain.start(time.monotonic())

    def _signing_keys(self) -> list[SigningKey]:
        return [
            SigningKey(
                hashlib.sha256(key.encode()).hexdigest()[:KEY_ID_CHARACTERS],
                key.encode(),
            )
            for key in self.settings.token_keys
        ]

    def _alternatives(self) -> tuple[Address, ...]:
        return tuple(
            daemon.caller_address
            for daemon in self.fleet.membership.usable_daemons()
            if daemon.daemon_id != self.settings.daemon_id
        )
