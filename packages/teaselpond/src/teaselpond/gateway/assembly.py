"""Build the objects that handle requests and follow the store."""

import time
from typing import Any

from ..upstreams.connections import UpstreamClient
from ..upstreams.held_answers import MAX_HELD_BYTES, HeldAnswers
from .adapters import Adapter, Store
from .balancing.load_reports import LoadReports
from .crash_reports import CrashReports
from .datagrams import TableChanges
from .entry import CallerRequestHandler
from .event_relay import EventRelay
from .explaining.explainer import Explainer
from .explaining.view import ExplanationView
from .following import Follower
from .host import GatewayHost
from .inbound.assembly import Inbound
from .liveness import LivenessChecker
from .next_attempts import NextAttempts
from .overload.connection_shares import ConnectionShares
from .overload.new_connections import NewConnections
from .overload.reports import CapacityReports
from .peers import PeerExchange
from .placement import Placer
from .readers import FIRST_MEETING_SECONDS, ReadScheduler
from .relay import Relay
from .reports import AnswerReports
from .rows import Page
from .sending import Sender
from .tables import Table

# An upstream is one millisecond away: it accepts a connection within this
# time unless it is down or overloaded.
CONNECT_TIMEOUT_SECONDS = 0.25
# Upstreams close connections after an idle time of a second or more; reusing
# one just as it closes would fail.
KEEPALIVE_SECONDS = 0.8
# Effectively disabled: each call has its own timeouts for silent upstreams.
IDLE_TIMEOUT_SECONDS = 3600.0
# Keeps the HTTP library from adding these headers to a caller's request.
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def make_sender(adapter: Adapter, answer_bytes: int = MAX_HELD_BYTES) -> Sender:
    """Build the sender of calls to upstreams.

    ``answer_bytes`` limits the whole answers that are held at a time.
    """
    options: dict[str, Any] = {
        "connect_seconds": CONNECT_TIMEOUT_SECONDS,
        "idle_seconds": IDLE_TIMEOUT_SECONDS,
        "skip_auto_headers": SKIPPED_AUTO_HEADERS,
        "held_answers": HeldAnswers(answer_bytes),
    }
    id_option = {"id_header": adapter.headers.REQUEST_ID}
    new_connections = NewConnections(time.monotonic)
    return Sender(
        adapter.headers,
        pooled_client=UpstreamClient(
            keepalive_seconds=KEEPALIVE_SECONDS, **id_option, **options
        ),
        single_use_client=UpstreamClient(
            reuse=False,
            watch_seconds=new_connections.watch_seconds,
            **id_option,
            **options,
        ),
        # A health check is no request of a caller, and has no such id.
        check_client=UpstreamClient(reuse=False, **options),
        new_connections=new_connections,
    )


def make_caller_request_handler(
    host: GatewayHost, sender: Sender, inbound: Inbound
) -> CallerRequestHandler:
    """Build the handler of callers' requests."""
    bounds = host.settings.bounds
    headers = host.adapter.headers
    placer = Placer(
        host.routing_state,
        host.loads,
        host.health,
        host.make_cold_budget(),
        host.prefixes,
        host.settings.availability_zone,
        bounds.load_cap_factor,
        backoffs=host.backoffs,
        spreads_by_service=host.metrics.balancing.spreads_by_service,
        rollouts=host.rollouts,
    )
    load_reports = LoadReports(
        host.loads, host.metrics.balancing, host.journal, bounds.load_cap_factor
    )
    reports = AnswerReports(
        host.routing_state, load_reports, host.backoffs, host.journal
    )
    crash_reports = CrashReports(
        host.poison, host.loads, host.health, host.journal, host.clock
    )
    liveness = LivenessChecker(
        sender,
        reports,
        host.routing_state,
        host.poison,
        host.health,
        host.loads,
        host.journal,
        host.clock,
    )
    connections = ConnectionShares(host.routing_state, host.loads, host.host_count)
    next_attempts = NextAttempts(
        placer,
        crash_reports,
        liveness,
        host.retries,
        host.drain,
        host.journal,
        host.metrics,
        host.clock,
        host.host_count,
        host.overload,
        connections,
    )
    relay = Relay(
        headers,
        host.routing_state,
        next_attempts,
        placer,
        sender,
        reports,
        host.loads,
        host.health,
        crash_reports,
        host.journal,
        host.metrics,
        host.clock,
        host.host_count,
        host.retries,
        EventRelay(crash_reports, host.metrics, host.clock),
        sender.pooled_client.held_answers,
        CapacityReports(
            host.overload, host.routing_state, host.host_count, connections
        ),
    )
    return CallerRequestHandler(
        headers,
        host.routing_state,
        host.admission,
        relay,
        host.drain,
        host.journal,
        host.metrics,
        host.clock,
        host.applier.completed,
        inbound.gate,
    )


def make_explanations(
    host: GatewayHost, handler: CallerRequestHandler
) -> ExplanationView:
    """Build the view that explains what the handler would do."""
    next_attempts = handler.relay.next_attempts
    explainer = Explainer(
        host.settings.host,
        host.admission,
        host.drain,
        next_attempts.placer,
        host.overload,
        next_attempts.connections,
        host.host_count,
    )
    return ExplanationView(explainer, host.clock)


def make_follower(
    host: GatewayHost,
    table: Table,
    store: Store,
    exchange: PeerExchange,
) -> Follower:
    """Build the follower of a table, which forwards its changes to peers."""
    cache = host.applier.caches_by_table[table]
    scheduler = ReadScheduler(host.settings.host)
    if host.settings.is_first_start:
        scheduler.meeting_seconds = FIRST_MEETING_SECONDS

    def apply(page: Page, is_whole: bool, asked_at: float, now: float) -> None:
        complete_from = cache.complete_from
        returned_at_before = host.routing_state.outages.returned_at
        rows = host.applier.apply(table, page, is_whole, asked_at, now)
        if host.routing_state.outages.returned_at != returned_at_before:
            # Peers must learn that the store has returned before they receive
            # the removal of expired entries.
            exchange.send_heartbeats(to_all=True)
        if rows and not is_whole:
            new_rows = tuple(row for row in page.rows if row.version > complete_from)
            update = Page(new_rows, page.version, page.store_seconds, False, page.era)
            exchange.send_changes(TableChanges(table, complete_from, update))

    return Follower(
        table,
        store,
        host.journal,
        host.clock,
        apply,
        lambda: host.must_read(scheduler),
        lambda: cache.version,
        lambda: cache.era,
    )
