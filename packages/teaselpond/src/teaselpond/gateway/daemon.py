"""Run one gateway process from its start to a graceful stop."""

import asyncio
import logging
import os
import signal
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import NoReturn

import aiohttp
from attrs import define, field

from teaselpond_model.bounded_answers import BoundedConnector
from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import ImproperlyConfigured, StoreUnavailable

from .adapters import Adapter, Store
from .assembly import (
    make_caller_request_handler,
    make_explanations,
    make_follower,
    make_sender,
)
from .entry import CallerRequestHandler
from .fleet_size import LIST_SECONDS
from .host import GatewayHost
from .inbound.assembly import Inbound
from .journal import JournalHandler
from .lifecycle.ending import Ending
from .lifecycle.stopping import handle_stop_signal
from .peers import PeerExchange
from .public import PublicViews
from .quarantines import QuarantineKeeper
from .rollouts.status_keeper import StatusKeeper
from .sending import Sender
from .servers import HttpServer
from .settings import GatewaySettings
from .sharing import RoutingStateSharing
from .surveying import PrefixSurvey
from .tables import FOLLOWED_TABLES, Table
from .tasks import keep_running

# Longer than the store's slowest responses, which take sixty times as long as
# the usual ones.
STORE_TIMEOUT_SECONDS = 0.8
STORE_KEEPALIVE_SECONDS = 30.0
TICK_SECONDS = 0.1
# The seeds usually answer long before. Without this, all hosts of a fleet
# would read the addresses of all others when they start.
FIND_PEERS_SECONDS = 1.0


@define(eq=False)
class GatewayDaemon:
    """Start the tasks and listeners of a gateway, and stop them.

    SIGTERM begins a graceful stop, SIGHUP reloads the settings.
    ``listeners_by_address`` are sockets that listen already.
    """

    host: GatewayHost
    handles_signals: bool = True
    listeners_by_address: Mapping[Address, socket.socket] = field(factory=dict)
    inbound: Inbound = field(init=False)
    _settings_modified_at: float = field(default=0.0, init=False)
    _is_stopping: asyncio.Event = field(factory=asyncio.Event, init=False)
    _listed_at: float | None = field(default=None, init=False)
    _ran_at: float = field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self.inbound = Inbound(self.host)

    async def run(self) -> None:
        """Serve until a graceful stop has ended."""
        host = self.host
        host.journal.open()
        started_at = host.clock()
        self._settings_modified_at = host.adapter.settings_modified_at(os.environ)
        self._ran_at = started_at
        if self.handles_signals:
            loop = asyncio.get_running_loop()
            handle_stop_signal(
                lambda: self._receive_stop_signal(loop),
                lambda: host.drain.seconds_until_kill(host.clock()),
            )
            loop.add_signal_handler(signal.SIGHUP, self.reload)
        host.journal.write(
            "start",
            started_at,
            incarnation=host.incarnation,
            zone=host.settings.availability_zone,
            store=host.settings.store,
            seeds=[str(seed) for seed in host.settings.seeds],
        )
        connector = BoundedConnector(limit=0, keepalive_timeout=STORE_KEEPALIVE_SECONDS)
        async with aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        ) as session:
            await self._serve(session)
        now = host.clock()
        host.journal.write("stop", now, ran_seconds=now - started_at)
        host.journal.flush()

    def begin_stop(self) -> None:
        """Begin a graceful stop."""
        drain = self.host.drain
        now = self.host.clock()
        drain.start_stop(now)
        self._is_stopping.set()
        self.host.journal.write(
            "stopping",
            now,
            running=drain.running,
            kill_in_seconds=round(drain.seconds_until_kill(now), 3),
        )

    def _receive_stop_signal(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin a graceful stop when the event loop runs next.

        The signal may have waited since the loop ran last, as in a process
        that was frozen. The platform has counted the grace time since then.
        """
        self.host.drain.start_stop(self._ran_at)
        loop.call_soon_threadsafe(self.begin_stop)

    def reload(self) -> None:
        """Reload the settings; keep the current ones if they are invalid."""
        host = self.host
        now = host.clock()
        try:
            settings = host.adapter.load_settings(os.environ)
        except ImproperlyConfigured as error:
            host.journal.write("reload-refused", now, error=str(error))
            return
        host.journal.write("reload", now, changed=settings != host.settings)
        host.apply_settings(settings)

    async def _serve(self, session: aiohttp.ClientSession) -> None:
        host = self.host
        store = host.adapter.open_store(
            session, host.settings.store, STORE_TIMEOUT_SECONDS
        )
        sharing = self._make_sharing(session)
        exchange = self._make_exchange(sharing)
        host.poison.announce = exchange.announce
        host.retries.send_report = exchange.report_usage
        host.followers = [
            make_follower(host, table, store, exchange) for table in FOLLOWED_TABLES
        ]
        sender = make_sender(host.adapter, self.inbound.limits.answer_bytes)
        handler = make_caller_request_handler(host, sender, self.inbound)
        sharing.explanations = make_explanations(host, handler)
        survey = self._make_survey(sender, sharing)
        servers = await self._open_servers(handler, sharing)
        await exchange.start(host.settings.ip)
        tasks = self._start_tasks(
            {
                **{f"follow-{each.table.value}": each.run for each in host.followers},
                "beats": exchange.run,
                "sharing": sharing.run,
                "survey": survey.run,
                "register": lambda: self._register(store),
                "quarantines": self._make_quarantine_keeper(store).run,
                "rollouts": self._make_status_keeper(store).run,
                "tick": self._tick,
            }
        )
        ending = Ending(host, exchange, handler, servers, sender)
        try:
            await ending.wait()
            await ending.end_calls()
        finally:
            for task in tasks:
                task.cancel()
            await ending.close()

    def _make_sharing(self, session: aiohttp.ClientSession) -> RoutingStateSharing:
        host = self.host
        peers = host.settings.listeners.peers
        return RoutingStateSharing(
            host.applier,
            host.prefixes,
            host.members,
            host.journal,
            host.clock,
            peers.port if peers is not None else 0,
            session,
        )

    def _make_exchange(self, sharing: RoutingStateSharing) -> PeerExchange:
        host = self.host
        return PeerExchange(
            host.members,
            host.loads,
            host.prefixes,
            host.poison,
            host.journal,
            host.clock,
            host.heartbeat,
            sharing.receive_heartbeat,
            sharing.receive_changes,
            host.routing_state,
            host.retries,
            host.settings.datagram_port,
            tuple(seed.ip for seed in host.settings.seeds),
            host.topics,
        )

    def _make_survey(
        self, sender: Sender, sharing: RoutingStateSharing
    ) -> PrefixSurvey:
        host = self.host
        return PrefixSurvey(
            host.routing_state,
            host.prefixes,
            host.members,
            sharing,
            sender.pooled_client,
            host.adapter.caches,
            host.journal,
            host.clock,
            host.settings.is_first_start,
            host.backoffs,
        )

    def _make_quarantine_keeper(self, store: Store) -> QuarantineKeeper:
        host = self.host
        return QuarantineKeeper(
            store,
            host.poison,
            host.journal,
            host.clock,
            host.settings.is_first_start,
        )

    def _make_status_keeper(self, store: Store) -> StatusKeeper:
        host = self.host
        return StatusKeeper(
            store,
            host.adapter.rollouts,
            host.rollouts,
            host.journal,
            host.clock,
            lambda: host.is_reader,
            lambda: host.applier.restores,
        )

    async def _open_servers(
        self, handler: CallerRequestHandler, sharing: RoutingStateSharing
    ) -> list[HttpServer]:
        settings = self.host.settings
        listeners = settings.listeners
        views = PublicViews(self.host)
        servers = []
        metrics = Address(settings.ip, settings.metrics_port)
        limits = self.inbound.limits
        for port, address, handle in (
            ("entry", listeners.entry, handler.handle),
            ("ready", listeners.ready, views.ready),
            ("peers", listeners.peers, sharing.handle),
            ("directory", listeners.directory, views.directory),
            ("metrics", metrics, views.metrics),
        ):
            if address is not None:
                is_entry = address is listeners.entry
                limit = (
                    limits.caller_connections if is_entry else (limits.port_connections)
                )
                server = HttpServer(handle, self.inbound.make_hooks(port), limit)
                await server.open(address, self.listeners_by_address.get(address))
                servers.append(server)
        return servers

    def _start_tasks(
        self, runs_by_name: dict[str, Callable[[], Awaitable[None]]]
    ) -> list[asyncio.Task]:
        host = self.host
        return [
            asyncio.create_task(keep_running(name, run, host.journal, host.clock))
            for name, run in runs_by_name.items()
        ]

    async def _register(self, store: Store) -> None:
        """Register this host in the store, and unregister it when it stops."""
        host = self.host
        try:
            while not self._is_stopping.is_set():
                restores = host.applier.restores
                address = host.settings.ip.encode()
                await store.put(Table.MEMBERS, host.settings.host, address)
                while host.applier.restores == restores:
                    if not await self._find_peers(store):
                        break
            await store.remove(Table.MEMBERS, host.settings.host)
        except StoreUnavailable as error:
            host.journal.write("not-registered", host.clock(), error=str(error))
            return
        # ``keep_running`` would run this task again if it returned.
        await asyncio.Event().wait()

    async def _find_peers(self, store: Store) -> bool:
        """Read the registered hosts if no peer is known for a while.

        The readers of the store read them now and then in any case, as the
        fleet's budgets are shared by their number. Return whether the host
        goes on running.
        """
        host = self.host
        try:
            async with asyncio.timeout(FIND_PEERS_SECONDS):
                await self._is_stopping.wait()
            return False
        except TimeoutError:
            # The host goes on running.
            now = host.clock()
        is_alone = not host.members.recent(now)
        if not is_alone and not self._must_list_hosts(now):
            return True
        self._listed_at = now
        try:
            page = await store.read(Table.MEMBERS)
        except StoreUnavailable as error:
            host.journal.write("hosts-not-listed", host.clock(), error=str(error))
            return True
        host.members.record_listed((row.key for row in page.rows), host.clock())
        for row in page.rows if is_alone else ():
            address = (row.value or b"").decode()
            host.members.add_address(row.key, address, host.clock())
        return True

    def _must_list_hosts(self, now: float) -> bool:
        host = self.host
        is_due = self._listed_at is None or now - self._listed_at >= LIST_SECONDS
        return is_due and host.is_reader and host.is_store_answering

    async def _tick(self) -> None:
        """Expire engines, reload changed settings and log state changes.

        Run until cancelled.
        """
        host = self.host
        state = None
        while True:
            now = self._ran_at = host.clock()
            self.inbound.record_tick()
            self._reload_if_changed()
            host.health.retain(host.routing_state.engines_by_id)
            host.loads.expire(now)
            host.backoffs.expire(now)
            for engine_id in host.routing_state.expire(now):
                host.journal.write(
                    "engine-gone", now, engine=engine_id, reason="did not return"
                )
            new_state = host.state(now)
            if new_state is not state:
                host.journal.write(
                    "state",
                    now,
                    state=new_state.name.lower(),
                    was=state.name.lower() if state is not None else None,
                    confirmed_seconds=host.routing_state.freshness.age(now),
                    hosts=host.members.count(now),
                    sharing_hosts=host.members.sharing(now).hosts,
                )
                state = new_state
            await asyncio.sleep(TICK_SECONDS)

    def _reload_if_changed(self) -> None:
        modified_at = self.host.adapter.settings_modified_at(os.environ)
        if modified_at != self._settings_modified_at:
            self._settings_modified_at = modified_at
            self.reload()


def serve(
    settings: GatewaySettings,
    adapter: Adapter,
    listeners_by_address: Mapping[Address, socket.socket],
) -> None:
    """Run a gateway until a graceful stop has ended."""
    host = GatewayHost(settings, adapter)
    logging.getLogger().addHandler(JournalHandler(host.journal, host.clock))
    daemon = GatewayDaemon(host, listeners_by_address=listeners_by_address)

    async def run() -> NoReturn:
        await daemon.run()
        # The end of the event loop would wait for tasks that do not end when
        # they are cancelled, and that of the interpreter takes time.
        os._exit(0)

    asyncio.run(run())
