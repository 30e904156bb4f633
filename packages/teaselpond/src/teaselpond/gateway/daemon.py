"""Put the parts of the gateway together, and run them."""

import asyncio
import math
import os
import signal
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import aiohttp
from aiohttp import web
from aiohttp.web_request import BaseRequest
from attrs import define, field

from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import ImproperlyConfigured, StoreUnavailable

from ..upstreams.connections import UpstreamClient
from .admission import Admission
from .applying import StoreApplier
from .beliefs import Beliefs
from .budgets import ColdBudget, RetryBudget
from .changes import Change
from .clocks import boot_time
from .codec import CacheCodec, DirectoryCodec, HeaderCodec
from .doors import Door
from .drain import Drain, Phase
from .entry import Entry
from .following import Follower, StoreReader
from .health import HealthBook
from .journal import Journal
from .loads import LoadBook
from .locating import choose_hosts
from .members import Beat, Members, MemberState
from .metrics import Metrics
from .peers import BEAT_SECONDS, BEATS_AT_ONCE, PeerExchange, TableChanges
from .placement import Placer
from .poison import PoisonBook
from .prefixes import PrefixBook
from .readers import TOLD_SECONDS, ReadingDuty
from .relay import Relay
from .rows import Page, Row
from .sending import Sender
from .settings import GatewaySettings
from .sharing import BeliefSharing
from .surveying import PrefixSurvey
from .tables import FOLLOWED, Table
from .tasks import keep_running

# An upstream one millisecond away answers a connection within this time
# unless it is dead or swamped.
CONNECT_SECONDS = 0.25
# Upstreams close connections that were idle for a second or more.
KEEPALIVE_SECONDS = 0.8
STORE_ANSWER_SECONDS = 0.8
TICK_SECONDS = 0.1
DIRECTORY_LIFETIME_SECONDS = 1.5
# Peers that were told of a stop pass it on, but a datagram may be lost.
FAREWELLS = 3
# What is spread goes into a beat more than is needed, for late beats.
SPREAD_MARGIN = 1.3


class Store(StoreReader, Protocol):
    """Read, follow and write tables of the store."""

    async def put(self, table: Table, key: str, value: bytes) -> None:
        """Write one row; raise StoreUnavailable."""

    async def remove(self, table: Table, key: str) -> None:
        """Remove one row; raise StoreUnavailable."""


class Adapter(Protocol):
    """Speak the platform's language."""

    headers: HeaderCodec
    directory: DirectoryCodec
    caches: CacheCodec

    def load_settings(self, environment: Mapping[str, str]) -> GatewaySettings:
        """Read the settings file; raise ImproperlyConfigured."""

    def settings_stamp(self, environment: Mapping[str, str]) -> float:
        """Return what changes with the settings file."""

    def decode_change(self, table: Table, row: Row) -> Change:
        """Return what a row of the store says."""

    def open_store(
        self, session: aiohttp.ClientSession, address: Address, timeout_seconds: float
    ) -> Store:
        """Return a client of the store."""


@define(eq=False)
class GatewayDaemon:
    """Run one gateway process."""

    settings: GatewaySettings
    adapter: Adapter
    clock: Callable[[], float] = boot_time
    handles_signals: bool = True
    journal: Journal = field(init=False)
    beliefs: Beliefs = field(factory=Beliefs)
    metrics: Metrics = field(factory=Metrics)
    loads: LoadBook = field(factory=LoadBook)
    health: HealthBook = field(factory=HealthBook)
    prefixes: PrefixBook = field(factory=PrefixBook)
    poison: PoisonBook = field(factory=PoisonBook)
    applier: StoreApplier = field(init=False)
    members: Members = field(init=False)
    drain: Drain = field(init=False)
    followers: list[Follower] = field(factory=list)
    _settings_stamp: float = 0.0
    admission: Admission = field(init=False)
    incarnation: int = field(factory=lambda: int.from_bytes(os.urandom(6), "big"))

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.journal = Journal(settings.host)
        self.applier = StoreApplier(
            self.beliefs, self.journal, self.adapter.decode_change
        )
        self.members = Members(settings.host)
        self.drain = Drain(settings.bounds.grace_seconds)
        self.admission = Admission(
            self.beliefs,
            settings.bounds.strict_revocation,
            settings.bounds.revoke_seconds,
        )

    async def run(self) -> None:
        """Serve until the platform stops the process."""
        started_at = self.clock()
        self._settings_stamp = self.adapter.settings_stamp(os.environ)
        if self.handles_signals:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, self.begin_stop)
            loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.journal.write(
            "start",
            started_at,
            incarnation=self.incarnation,
            zone=self.settings.availability_zone,
            store=self.settings.store,
            seeds=[str(seed) for seed in self.settings.seeds],
        )
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0),
            cookie_jar=aiohttp.DummyCookieJar(),
        ) as session:
            await self._serve(session)
        self.journal.write("stop", self.clock(), ran_seconds=self.clock() - started_at)
        self.journal.flush()

    async def _serve(self, session: aiohttp.ClientSession) -> None:
        settings = self.settings
        store = self.adapter.open_store(session, settings.store, STORE_ANSWER_SECONDS)
        sharing = BeliefSharing(
            self.applier,
            self.prefixes,
            self.members,
            self.journal,
            self.clock,
            settings.listeners.peers.port if settings.listeners.peers else 0,
            session,
        )
        exchange = PeerExchange(
            self.members,
            self.loads,
            self.prefixes,
            self.poison,
            self.journal,
            self.clock,
            self._beat,
            sharing.hear_beat,
            sharing.hear_changes,
            settings.datagram_port,
            tuple(seed.ip for seed in settings.seeds),
        )
        answered_by_table = {table: asyncio.Event() for table in FOLLOWED}
        self.followers = [
            self._follower(table, store, exchange, answered)
            for table, answered in answered_by_table.items()
        ]
        sender = self._make_sender()
        entry = self._make_entry(sender)
        doors = await self._open_doors(entry, sharing)
        await exchange.start(settings.ip)
        parts = {
            **{
                f"follow-{follower.table.value}": follower.run
                for follower in self.followers
            },
            "beats": exchange.run,
            "sharing": sharing.run,
            "register": lambda: self._register(store),
            "tick": self._tick,
            "survey": self._make_survey(
                sender, sharing, tuple(answered_by_table.values())
            ).run,
        }
        tasks = [
            asyncio.create_task(keep_running(name, run, self.journal, self.clock))
            for name, run in parts.items()
        ]
        await self._until_ended(exchange)
        for task in tasks:
            task.cancel()
        for door in doors:
            await door.close()
        exchange.close()
        await sender.kept.close()
        await sender.single.close()

    def _follower(
        self,
        table: Table,
        store: Store,
        exchange: PeerExchange,
        answered: asyncio.Event,
    ) -> Follower:
        cache = self.applier.caches_by_table[table]
        duty = ReadingDuty(self.settings.host)

        def apply(page: Page, is_whole: bool, asked_at: float, now: float) -> None:
            # All changes between the newest row known and the answer are in
            # it; peers that know that row miss nothing.
            after = cache.newest_row
            rows = self.applier.apply(table, page, is_whole, asked_at, now)
            answered.set()
            if rows and not is_whole:
                changed = tuple(row for row in page.rows if row.version > after)
                news = Page(changed, page.version, page.store_seconds, False)
                exchange.send_changes(TableChanges(table, after, news))

        def note_return(seconds: float, now: float) -> None:
            if table is Table.ENGINES and self.beliefs.note_store_back(seconds, now):
                # Peers must know before they hear of entries that lapsed.
                exchange.send_beats(to_all=True)

        return Follower(
            table,
            store,
            self.journal,
            self.clock,
            apply,
            note_return,
            lambda: self._must_read(duty),
            lambda: cache.version,
        )

    def _must_read(self, duty: ReadingDuty) -> bool:
        now = self.clock()
        age = self.beliefs.freshness.age(now)
        beats = [self._beat({}), *(each.beat for each in self.members.heard(now))]
        if duty.is_due(beats, age, now):
            return True
        if age is not None and age <= TOLD_SECONDS:
            for follower in self.followers:
                follower.forget_failure()
        return False

    def _make_sender(self) -> Sender:
        options: dict[str, Any] = {
            "connect_seconds": CONNECT_SECONDS,
            "id_header": self.adapter.headers.REQUEST_ID,
            "idle_seconds": 3600.0,
            "skip_auto_headers": (
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
        }
        return Sender(
            self.adapter.headers,
            kept=UpstreamClient(keepalive_seconds=KEEPALIVE_SECONDS, **options),
            single=UpstreamClient(reuse=False, **options),
        )

    def _make_survey(
        self,
        sender: Sender,
        sharing: BeliefSharing,
        answered: tuple[asyncio.Event, ...],
    ) -> PrefixSurvey:
        return PrefixSurvey(
            self.beliefs,
            self.prefixes,
            self.members,
            sharing,
            sender.kept,
            self.adapter.caches,
            self.journal,
            self.clock,
            self.settings.is_first_start,
            answered,
        )

    def _make_entry(self, sender: Sender) -> Entry:
        bounds = self.settings.bounds
        placer = Placer(
            self.beliefs,
            self.loads,
            self.health,
            ColdBudget(bounds.cold_overage, bounds.cold_slack),
            self.prefixes,
            self.settings.availability_zone,
            bounds.load_cap_factor,
        )
        relay = Relay(
            self.adapter.headers,
            self.beliefs,
            placer,
            sender,
            self.loads,
            self.health,
            self.poison,
            self.journal,
            self.metrics,
            self.clock,
            lambda: self.members.count(self.clock()),
            lambda: RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds
            ),
        )
        return Entry(
            self.adapter.headers,
            self.beliefs,
            self.admission,
            relay,
            self.drain,
            self.journal,
            self.metrics,
            self.clock,
        )

    async def _open_doors(self, entry: Entry, sharing: BeliefSharing) -> list[Door]:
        listeners = self.settings.listeners
        metrics_address = Address(self.settings.ip, self.settings.metrics_port)
        doors = []
        for address, handler in (
            (listeners.entry, entry.handle),
            (listeners.ready, self._handle_ready),
            (listeners.peers, sharing.handle),
            (listeners.directory, self._handle_directory),
            (metrics_address, self._handle_metrics),
        ):
            if address is not None:
                door = Door(handler)
                await door.open(address)
                doors.append(door)
        return doors

    async def _handle_ready(self, request: BaseRequest) -> web.Response:
        is_ready = self._state(self.clock()) is MemberState.SERVING
        return web.Response(status=200 if is_ready else 503)

    async def _handle_metrics(self, request: BaseRequest) -> web.Response:
        return web.Response(body=self.metrics.render(), content_type="text/plain")

    async def _handle_directory(self, request: BaseRequest) -> web.Response:
        directory = self.adapter.directory
        if request.path != directory.RESOLVE_PATH:
            return web.Response(status=404)
        zone = directory.decode_caller_zone(request.query)
        heard = self.members.heard(self.clock())
        ips = choose_hosts(self._beat({}), heard, zone)
        if not ips:
            return web.Response(status=503)
        port = self.settings.listeners.entry.port
        addresses = [Address(ip, port) for ip in ips]
        lifetime = min(
            DIRECTORY_LIFETIME_SECONDS, self.settings.bounds.directory_ttl_seconds
        )
        body = directory.encode_addresses(addresses, lifetime)
        return web.Response(body=body, content_type="application/json")

    def _state(self, now: float) -> MemberState:
        if self.drain.phase(now) is not Phase.SERVING:
            return MemberState.LEAVING
        if self.beliefs.configuration is None:
            return MemberState.STARTING
        if not self.admission.is_confirmed(now):
            return MemberState.UNCONFIRMED
        return MemberState.SERVING

    def _beat(self, passed: Mapping[str, str]) -> Beat:
        now = self.clock()
        since = now - self._spread_seconds(now)
        freshness = self.beliefs.freshness
        return Beat(
            host=self.settings.host,
            incarnation=self.incarnation,
            ip=self.settings.ip,
            availability_zone=self.settings.availability_zone,
            state=self._state(now),
            confirmed_store_seconds=freshness.confirmed_store_seconds or 0.0,
            row_versions=self.applier.row_versions(),
            is_store_answering=not any(each.is_failing for each in self.followers),
            store_back_seconds=self._store_back_seconds(),
            loads_by_engine=self.loads.own(),
            ips_by_host=passed,
            engines_by_prefix_key={
                reading.key: reading.engine_id
                for reading in self.prefixes.own_since(since)
            },
            engines_by_broken_request=self.poison.own_since(since),
        )

    def _store_back_seconds(self) -> float:
        back_at = self.beliefs.store_back_at
        if back_at is None:
            return 0.0
        return self.beliefs.freshness.store_time(back_at) or 0.0

    def _spread_seconds(self, now: float) -> float:
        """Return within how long every other host gets one of the beats."""
        rounds = math.ceil(self.members.count(now) / BEATS_AT_ONCE)
        return rounds * BEAT_SECONDS * SPREAD_MARGIN

    async def _register(self, store: Store) -> None:
        """List this host in the store, and learn of the others, once."""
        try:
            await store.put(
                Table.MEMBERS, self.settings.host, self.settings.ip.encode()
            )
            page = await store.read(Table.MEMBERS)
        except StoreUnavailable as error:
            self.journal.write("not-registered", self.clock(), error=str(error))
            return
        for row in page.rows:
            self.members.learn(row.key, (row.value or b"").decode())
        await asyncio.Event().wait()

    async def _tick(self) -> None:
        """Look after what changes with time alone, until cancelled."""
        state = None
        while True:
            now = self.clock()
            self._reload_if_changed()
            for engine_id in self.beliefs.expire(now):
                self.journal.write(
                    "engine-gone", now, engine=engine_id, reason="did not return"
                )
            new_state = self._state(now)
            if new_state is not state:
                self.journal.write(
                    "state",
                    now,
                    state=new_state.name.lower(),
                    was=state.name.lower() if state is not None else None,
                    confirmed_seconds=self.beliefs.freshness.age(now),
                    hosts=self.members.count(now),
                )
                state = new_state
            await asyncio.sleep(TICK_SECONDS)

    async def _until_ended(self, exchange: PeerExchange) -> None:
        farewells = 0
        while True:
            phase = self.drain.phase(self.clock())
            if phase is Phase.ENDED:
                return
            if phase is not Phase.SERVING and farewells < FAREWELLS:
                exchange.send_beats(to_all=True)
                farewells += 1
            await asyncio.sleep(TICK_SECONDS)

    def begin_stop(self) -> None:
        """Begin a planned stop."""
        now = self.clock()
        self.drain.begin(now)
        self.journal.write("stopping", now, running=self.drain.running)

    def reload(self) -> None:
        """Read the settings again, and put the bounds in force.

        Addresses are those of the process's start; the platform starts
        another process for new ones.
        """
        now = self.clock()
        try:
            settings = self.adapter.load_settings(os.environ)
        except ImproperlyConfigured as error:
            self.journal.write("reload-refused", now, error=str(error))
            return
        self.journal.write("reload", now, changed=settings != self.settings)
        self.settings = settings
        self.drain.grace_seconds = settings.bounds.grace_seconds
        self.admission.strict_revocation = settings.bounds.strict_revocation
        self.admission.revoke_seconds = settings.bounds.revoke_seconds

    def _reload_if_changed(self) -> None:
        stamp = self.adapter.settings_stamp(os.environ)
        if stamp != self._settings_stamp:
            self._settings_stamp = stamp
            self.reload()


def serve(settings: GatewaySettings, adapter: Adapter) -> None:
    """Run a gateway until the platform stops it."""
    asyncio.run(GatewayDaemon(settings, adapter).run())
