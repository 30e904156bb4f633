"""Build the parts of a gateway that handle requests and follow the store."""

import asyncio
from typing import Any

from ..upstreams.connections import UpstreamClient
from .adapters import Adapter, Store
from .budgets import ColdBudget, RetryBudget
from .entry import Entry
from .following import Follower
from .host import GatewayHost
from .peers import PeerExchange, TableChanges
from .placement import Placer
from .readers import ReadScheduler
from .relay import Relay
from .rows import Page
from .sending import Sender
from .tables import Table

# An upstream one millisecond away answers a connection within this time
# unless it is dead or swamped.
CONNECT_SECONDS = 0.25
# Upstreams close connections that were idle for a second or more.
KEEPALIVE_SECONDS = 0.8
# Calls have bounds of their own, so that an upstream's silence ends none.
IDLE_SECONDS = 3600.0
# Headers that the HTTP library would add to a caller's.
ADDED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def make_sender(adapter: Adapter) -> Sender:
    """Return who sends calls to upstreams."""
    options: dict[str, Any] = {
        "connect_seconds": CONNECT_SECONDS,
        "idle_seconds": IDLE_SECONDS,
        "id_header": adapter.headers.REQUEST_ID,
        "skip_auto_headers": ADDED_HEADERS,
    }
    return Sender(
        adapter.headers,
        kept=UpstreamClient(keepalive_seconds=KEEPALIVE_SECONDS, **options),
        single=UpstreamClient(reuse=False, **options),
    )


def make_entry(host: GatewayHost, sender: Sender) -> Entry:
    """Return who handles callers' requests."""
    bounds = host.settings.bounds
    headers = host.adapter.headers
    placer = Placer(
        host.routing_state,
        host.loads,
        host.health,
        ColdBudget(bounds.cold_overage, bounds.cold_slack),
        host.prefixes,
        host.settings.availability_zone,
        bounds.load_cap_factor,
    )
    relay = Relay(
        headers,
        host.routing_state,
        placer,
        sender,
        host.loads,
        host.health,
        host.poison,
        host.journal,
        host.metrics,
        host.clock,
        host.host_count,
        lambda: RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds
        ),
    )
    return Entry(
        headers,
        host.routing_state,
        host.admission,
        relay,
        host.drain,
        host.journal,
        host.metrics,
        host.clock,
    )


def make_follower(
    host: GatewayHost,
    table: Table,
    store: Store,
    exchange: PeerExchange,
    answered: asyncio.Event,
) -> Follower:
    """Return who follows a table, and passes its changes on to peers.

    ``answered`` is set when the store has told the table.
    """
    cache = host.applier.caches_by_table[table]
    duty = ReadScheduler(host.settings.host)

    def apply(page: Page, is_whole: bool, asked_at: float, now: float) -> None:
        # All changes between the newest row known and the answer are in it;
        # peers that know that row miss nothing.
        after = cache.newest_row_version
        back_before = host.routing_state.outages.returned_at
        rows = host.applier.apply(table, page, is_whole, asked_at, now)
        answered.set()
        if host.routing_state.outages.returned_at != back_before:
            # Peers must know before they hear of entries that lapsed.
            exchange.send_heartbeats(to_all=True)
        if rows and not is_whole:
            changed = tuple(row for row in page.rows if row.version > after)
            news = Page(changed, page.version, page.store_seconds, False)
            exchange.send_changes(TableChanges(table, after, news))

    return Follower(
        table,
        store,
        host.journal,
        host.clock,
        apply,
        lambda: host.must_read(duty),
        lambda: cache.version,
    )
