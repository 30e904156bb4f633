"""Maintain the membership from the host list, the links and the facts."""

import asyncio
import random
from typing import Any

from absl import logging
from attrs import define, field, frozen
from reactivex.subject import BehaviorSubject

from teaselpond_model.contracts import (
    Address,
    Host,
    HostDirectory,
    HostKind,
    HostState,
)
from teaselpond_model.exceptions import StoreUnavailable

from ..links import (
    LinkClosed,
    LinkError,
    LinkManager,
    LinkOpened,
    MalformedFrame,
    Peer,
)
from ..links.exchange import FactExchange
from ..links.facts import Fact, FactChange, FactVersion, decode_value
from .damping import DampingSettings, FlapDamping
from .listing import HostListReconciler, host_from_record, poll_interval
from .members import DaemonState, Membership
from .neighbours import MAX_DIALED_LINKS, Candidate, choose_neighbours
from .records import (
    HOST_TOPIC,
    MEMBER_TOPIC,
    MemberRecord,
    RecordState,
    claim_version,
    initial_version,
    refutation_version,
    with_state,
)
from .suspicion import SuspicionSettings, SuspicionTimers
from .view import MembershipView

GONE_RECORD_LIFETIME_SECONDS = 3600.0
NEIGHBOUR_STATES = (DaemonState.ALIVE, DaemonState.SUSPECT, DaemonState.LEAVING)
RECONNECT_STATES = (DaemonState.LISTED, DaemonState.GONE)


@frozen
class MembershipSettings:
    """Configure the membership.

    ``poll_seconds`` is the shortest interval between polls of the host list;
    longer lists are polled less often. A daemon publishes its record again
    every ``republish_seconds``, and tries to reach one lost daemon every
    ``reconnect_seconds``. For ``list_lag_seconds`` after a peer reported a
    change of a host, polls do not undo it.
    """

    poll_seconds: float = 2.0
    tick_seconds: float = 0.5
    republish_seconds: float = 600.0
    reconnect_seconds: float = 5.0
    list_lag_seconds: float = 10.0
    suspicion: SuspicionSettings = field(factory=SuspicionSettings)
    damping: DampingSettings = field(factory=DampingSettings)


@define(eq=False)
class MembershipService:
    """Track the fleet's members and publish this daemon's own record.

    ``memberships`` emits the current Membership on subscription, and then
    each new one.
    """

    links: LinkManager
    exchange: FactExchange
    directory: HostDirectory
    caller_address: Address
    settings: MembershipSettings = field(factory=MembershipSettings)
    rng: random.Random = field(factory=random.Random)
    memberships: BehaviorSubject = field(factory=lambda: BehaviorSubject(Membership()))
    _view: MembershipView = field(init=False)
    _suspicion_timers: SuspicionTimers = field(init=False)
    _damping: FlapDamping = field(init=False)
    _host_list_reconciler: HostListReconciler = field(init=False)
    _own_state: RecordState = RecordState.ALIVE
    _published_at: float = 0.0
    _subscriptions: list[Any] = field(factory=list)
    _tasks: list[asyncio.Task] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        store = self.exchange.store
        self._view = MembershipView()
        self._suspicion_timers = SuspicionTimers(self.settings.suspicion)
        self._damping = FlapDamping(self.settings.damping)
        self._host_list_reconciler = HostListReconciler(
            store, self.settings.list_lag_seconds
        )
        self._subscriptions = [
            store.observe(MEMBER_TOPIC).subscribe(self._handle_member_change),
            store.observe(HOST_TOPIC).subscribe(self._handle_host_change),
            self.links.events.subscribe(self._handle_link_event),
        ]

    @property
    def membership(self) -> Membership:
        """Return the current membership."""
        return self._view.membership

    def start(self) -> None:
        """Publish this daemon's record and start the background tasks.

        Start the links first: the record contains the address on which they
        listen.
        """
        self._publish_own_record(_loop_time())
        self._tasks = [
            asyncio.create_task(self._poll_forever()),
            asyncio.create_task(self._tick_forever()),
            asyncio.create_task(self._reconnect_forever()),
        ]

    async def leave(self) -> None:
        """Announce to all daemons that this one takes no new work."""
        self._own_state = RecordState.LEAVING
        self._publish_own_record(_loop_time())
        self.exchange.push()
        try:
            await self._register(HostState.LEAVING)
        except StoreUnavailable as error:
            logging.warning("cannot register this daemon as leaving: %s", error)

    async def stop(self) -> None:
        """Announce to the neighbours that this daemon is gone, and stop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._own_state = RecordState.GONE
        self._publish_own_record(_loop_time())
        self.exchange.push()
        for subscription in self._subscriptions:
            subscription.dispose()

    def record_upstream_change(self, host_id: str, now: float) -> None:
        """Add a penalty because an upstream came up or went down."""
        self._damping.record_change(host_id, now)

    def tick(self, now: float) -> None:
        """Apply timeouts, and publish the membership if it changed."""
        for daemon_id in self._suspicion_timers.suspects_due(now):
            self._suspect(daemon_id, now)
        for daemon_id in self._suspicion_timers.expired_suspects(now):
            self._publish_claim(daemon_id, RecordState.GONE, now)
            self._suspicion_timers.remove(daemon_id)
        is_republish_due = now - self._published_at > self.settings.republish_seconds
        if is_republish_due or self._own_fact(now) is None:
            self._publish_own_record(now)
        self._remove_expired_records(now)
        self._view.set_flapping(self._damping.suppressed_ids(now))
        if self._view.refresh():
            self._publish_membership()

    def _publish_membership(self) -> None:
        membership = self._view.membership
        own = self.links.identity
        self.links.set_peers(
            Peer(each.daemon_id, each.address, each.zone)
            for each in membership.daemons_by_id.values()
        )
        candidates = [
            Candidate(each.daemon_id, each.zone)
            for each in membership.daemons_by_id.values()
            if each.state in NEIGHBOUR_STATES and each.daemon_id != own.daemon_id
        ]
        if len(candidates) < MAX_DIALED_LINKS:
            # Also dial daemons that are only listed: their records arrive
            # only over a link.
            candidates += [
                Candidate(each.daemon_id, each.zone)
                for each in membership.daemons_by_id.values()
                if each.state is DaemonState.LISTED
            ]
        self.links.set_neighbours(
            choose_neighbours(Candidate(own.daemon_id, own.zone), candidates)
        )
        self.memberships.on_next(membership)

    def _suspect(self, daemon_id: str, now: float) -> None:
        if daemon_id in self.links.linked_peers():
            self._suspicion_timers.record_link_up(daemon_id)
            return
        fact = self.exchange.store.get(MEMBER_TOPIC, daemon_id, now)
        if fact is None:
            self._suspicion_timers.remove(daemon_id)
            return
        self._publish_claim(daemon_id, RecordState.SUSPECT, now)
        self._suspicion_timers.record_suspicion(daemon_id, now)

    def _publish_claim(self, daemon_id: str, state: RecordState, now: float) -> None:
        fact = self.exchange.store.get(MEMBER_TOPIC, daemon_id, now)
        if fact is None:
            return
        record = with_state(decode_value(fact, MEMBER_TOPIC), state)
        lifetime = GONE_RECORD_LIFETIME_SECONDS if state is RecordState.GONE else None
        version = claim_version(fact, state)
        self.exchange.store.publish(
            MEMBER_TOPIC, daemon_id, record, version, now, lifetime
        )

    def _own_fact(self, now: float) -> Fact | None:
        own = self.links.identity
        fact = self.exchange.store.get(MEMBER_TOPIC, own.daemon_id, now)
        return fact if fact is not None and fact.epoch >= own.incarnation else None

    def _publish_own_record(self, now: float) -> None:
        own = self.links.identity
        record = MemberRecord(
            own.zone, str(own.address), str(self.caller_address), self._own_state
        )
        fact = self._own_fact(now)
        version: FactVersion = initial_version(own.incarnation, self._own_state)
        if fact is not None:
            version = refutation_version(fact, self._own_state)
        self._published_at = now
        self.exchange.store.publish(MEMBER_TOPIC, own.daemon_id, record, version, now)

    def _handle_member_change(self, change: FactChange) -> None:
        fact = change.fact
        now = _loop_time()
        try:
            record = decode_value(fact, MEMBER_TOPIC)
            Address.parse(record.address)
            Address.parse(record.caller_address)
        except (MalformedFrame, ValueError) as error:
            logging.warning(
                "ignored the invalid record of daemon %s: %s", fact.key, error
            )
            return
        self._view.set_record(fact.key, fact.epoch, record)
        if fact.key == self.links.identity.daemon_id:
            self._handle_own_record(fact, record, now)
        elif record.state is RecordState.SUSPECT:
            self._suspicion_timers.record_suspicion(fact.key, now)
        elif record.state is RecordState.GONE:
            self._suspicion_timers.remove(fact.key)
        else:
            self._suspicion_timers.record_refutation(fact.key, now)

    def _handle_own_record(self, fact: Fact, record: MemberRecord, now: float) -> None:
        own = self.links.identity
        if fact.epoch > own.incarnation:
            self.links.handle_newer_incarnation(fact.epoch)
        elif fact.epoch == own.incarnation and record.state is not self._own_state:
            self._publish_own_record(now)

    def _handle_host_change(self, change: FactChange) -> None:
        fact = change.fact
        now = _loop_time()
        try:
            host = host_from_record(fact.key, decode_value(fact, HOST_TOPIC))
        except (MalformedFrame, ValueError) as error:
            logging.warning(
                "ignored the invalid record of host %s: %s", fact.key, error
            )
            return
        if change.source_id:
            self._host_list_reconciler.record_peer_change(fact.key, now)
        if self._view.set_host(fact.key, host):
            self._damping.record_change(fact.key, now)

    def _handle_link_event(self, event: object) -> None:
        if isinstance(event, LinkOpened):
            self._suspicion_timers.record_link_up(event.peer.daemon_id)
        elif isinstance(event, LinkClosed) and event.persistent and not event.graceful:
            if event.peer.daemon_id not in self.links.linked_peers():
                self._suspicion_timers.record_link_down(
                    event.peer.daemon_id, _loop_time()
                )

    def _remove_expired_records(self, now: float) -> None:
        for daemon_id in self._view.record_ids():
            if self.exchange.store.get(MEMBER_TOPIC, daemon_id, now) is None:
                self._view.remove_record(daemon_id)
                self._suspicion_timers.remove(daemon_id)

    async def _register(self, state: HostState) -> None:
        own = self.links.identity
        host = Host(
            own.daemon_id,
            self.caller_address,
            own.zone,
            HostKind.ENTRY,
            state,
            own.address,
        )
        await self.directory.register(host)

    async def _poll_forever(self) -> None:
        while True:
            try:
                if not self._view.is_listed(self.links.identity.daemon_id):
                    await self._register(HostState.LIVE)
                hosts = await self.directory.list_hosts()
                self._host_list_reconciler.apply(hosts, _loop_time())
            except StoreUnavailable as error:
                # Keep the known members; the links replicate further changes.
                logging.log_every_n(
                    logging.WARNING,
                    "cannot register or poll the host list: %s",
                    20,
                    error,
                )
            count = self._view.host_count()
            interval = poll_interval(count, self.settings.poll_seconds)
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * interval)

    async def _tick_forever(self) -> None:
        while True:
            self.tick(_loop_time())
            await asyncio.sleep(self.settings.tick_seconds)

    async def _reconnect_forever(self) -> None:
        # After a partition, each side has declared the other one gone.
        # Contacting a random lost daemon from time to time merges the sides.
        while True:
            interval = self.settings.reconnect_seconds
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * interval)
            lost_ids = sorted(
                each.daemon_id
                for each in self.membership.daemons_by_id.values()
                if each.state in RECONNECT_STATES
            )
            if lost_ids:
                await self._try_reconnect(self.rng.choice(lost_ids))

    async def _try_reconnect(self, daemon_id: str) -> None:
        try:
            await self.exchange.compare(daemon_id)
        except LinkError:
            self.links.traffic.faults_by_reason["reunite"] += 1


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
