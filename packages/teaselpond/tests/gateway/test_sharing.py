"""Test how hosts pass on rows of the store."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import urlencode

import testtools
from aiohttp.test_utils import make_mocked_request
from attrs import define, field

from teaselpond.gateway.applying import StoreApplier
from teaselpond.gateway.assembly import make_follower
from teaselpond.gateway.datagrams import TableChanges
from teaselpond.gateway.members import Member, Members
from teaselpond.gateway.prefixes import PrefixTracker
from teaselpond.gateway.routing_state import RoutingState
from teaselpond.gateway.rows import Page, Row
from teaselpond.gateway.sharing import (
    MIN_COMPRESSED_BYTES,
    RESPONSE_TIMEOUT_SECONDS,
    RoutingStateSharing,
    RowCompressor,
    decode_row,
)
from teaselpond.gateway.tables import FOLLOWED_TABLES, Table
from teaselpond.platform.entries import decode_change
from teaselpond_standins.platform.operator import wire_configuration
from teaselpond_standins.service import ListedUpstream
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.exchanges import SilentJournal, SimulatedFleet
from teaselpond_standins.testing.gateways import make_heartbeat

ADDRESS = "127.0.0.1:9"
# The largest configurations of the deployments hold over 1,500 routes, and
# their slowest links carry 5 Mbit/s. In a fleet of sixty hosts, three read the
# store and each serves twenty.
ROUTES = 1560
LINK_BITS_PER_SECOND = 5e6
CONCURRENT_FETCHES = 20


def make_large_row(version: int = 7) -> Row:
    """Return a configuration row with as many routes as the largest."""
    configuration = wire_configuration(version)
    route = configuration["Routes"][0]
    configuration["Routes"] = [
        {**route, "Name": f"lohu{number}", "Prefix": f"/lohu{number * 7919}/"}
        for number in range(ROUTES)
    ]
    return Row("config", json.dumps(configuration).encode(), version)


class RowCompressorTests(testtools.TestCase):
    """Test compressing and decoding rows."""

    def setUp(self) -> None:
        super().setUp()
        self.compressor = RowCompressor()

    def test_round_trip(self) -> None:
        rows = [
            make_large_row(),
            Row("small", b"{}", 3),
            Row("removed", None, 4),
            Row("edge", b"x" * MIN_COMPRESSED_BYTES, 5),
        ]
        for row in rows:
            self.assertEqual(row, decode_row(*self.compressor.compress(row)))

    def test_newer_version_replaces_cached_value(self) -> None:
        """Return the newest version's value, not the cached older one."""
        self.compressor.compress(make_large_row(7))
        newer = make_large_row(8)
        self.assertEqual(newer, decode_row(*self.compressor.compress(newer)))

    def test_corrupt_value(self) -> None:
        with self.assertRaises(ValueError):
            decode_row("config", b"not packed", 7, True)

    def test_large_configuration_on_a_slow_link(self) -> None:
        """Serve a large configuration to twenty hosts within the timeout."""
        _, value, _, _ = self.compressor.compress(make_large_row())
        bits = 8 * len(value) * CONCURRENT_FETCHES
        self.assertLess(bits / LINK_BITS_PER_SECOND, RESPONSE_TIMEOUT_SECONDS)


@define(slots=False)
class PeerSession:
    """Pass a host's requests to the sharing of another, without sockets."""

    sharing: RoutingStateSharing
    status: int = 0

    @asynccontextmanager
    async def get(
        self, url: str, *, params: dict[str, str], **options: Any
    ) -> AsyncIterator["PeerSession"]:
        """Have the other host answer a request."""
        request = make_mocked_request("GET", f"/beliefs?{urlencode(params)}")
        self.response = await self.sharing.handle(request)
        self.status = self.response.status
        yield self

    @property
    def content(self) -> "PeerSession":
        """Return the reader of the answer's body."""
        return self

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer."""
        yield self.response.body or b""


def make_sharing(*engine_ids: str, version: int, era: int) -> RoutingStateSharing:
    """Return the sharing of a host that read the whole tables just now."""
    journal = SilentJournal("", 0)
    applier = StoreApplier(RoutingState(), journal, decode_change)
    rows = tuple(
        Row(name, json.dumps(ListedUpstream(name).entry("plain", Address=ADDRESS)), 3)
        for name in engine_ids
    )
    for table in FOLLOWED_TABLES:
        table_rows = rows if table is Table.ENGINES else ()
        applier.apply(table, Page(table_rows, version, 50.0, False, era), True, 0, 0)
    return RoutingStateSharing(
        applier, PrefixTracker(), Members("g0"), journal, lambda: 1.0, 1, None
    )


@define
class ChangeRecorder:
    """Record the changes that a host sends to its peers."""

    sent: list[TableChanges] = field(factory=list)

    def send_changes(self, changes: TableChanges) -> None:
        """Record changes."""
        self.sent.append(changes)

    def send_heartbeats(self, *, to_all: bool = False) -> None:
        """Ignore the announcement of a returned store."""


class RemovalTests(AsyncTestCase):
    """Pass on removals of before a peer has read the tables."""

    async def test_removal_of_before_a_peers_start_is_not_missed(self) -> None:
        """A host that was cut off asks one that started meanwhile."""
        for era in (0, 1):
            cut_off = make_sharing("stays", "removed", version=5, era=era)
            cut_off.session = PeerSession(make_sharing("stays", version=10, era=era))
            versions = (10,) * len(FOLLOWED_TABLES)
            peer = make_heartbeat(
                "g1", era=era, row_versions=versions, confirmed_store_seconds=50.0
            )
            await cut_off._catch_up(Member(peer, 0.0))
            listed = cut_off.applier.routing_state.engines_by_id
            self.assertEqual(["stays"], list(listed), era)

    async def test_removal_of_before_a_readers_start_is_not_skipped(self) -> None:
        """A host that lacks it hears of later changes from a new reader.

        The store sends no era.
        """
        behind = make_sharing("stays", "removed", version=5, era=0)
        (reader,) = SimulatedFleet(size=1).live_peers
        recorder = ChangeRecorder()
        follower = make_follower(reader.host, Table.ENGINES, None, recorder)
        entry = json.dumps(ListedUpstream("stays").entry("plain", Address=ADDRESS))
        whole = Page((Row("stays", entry.encode(), 3),), 10, 50.0, False, 0)
        follower.apply(whole, True, 0.0, 0.0)
        # The removal has version 8, and the next change version 12.
        page = Page((Row("stays", entry.encode(), 12),), 12, 51.0, False, 0)
        follower.apply(page, False, 1.0, 1.0)
        (changes,) = recorder.sent
        behind.receive_changes(changes, 1.0)
        cache = behind.applier.caches_by_table[Table.ENGINES]
        self.assertEqual((5, 12), (cache.version, cache.newest_row_version))
        current = make_sharing("stays", version=10, era=0)
        current.receive_changes(changes, 1.0)
        self.assertEqual(12, current.applier.versions()[1])


class RestoredTablesTests(AsyncTestCase):
    """Pass on tables while a host reads those of a restored store."""

    async def test_table_of_an_earlier_era_is_not_passed_on_as_new(self) -> None:
        """A host passes on nothing until it has read all tables anew."""
        serving = make_sharing("stays", "removed", version=40, era=1)
        asking = make_sharing("stays", "removed", version=40, era=1)
        asking.session = PeerSession(serving)
        peer = Member(make_heartbeat("g1", era=2), 0.0)
        for number, table in enumerate(FOLLOWED_TABLES):
            await asking._catch_up(peer)
            self.assertEqual(1, asking.applier.era, number)
            page = Page((), 30, 51.0, False, 2)
            serving.applier.apply(table, page, True, 0.0, 0.0)
        # One table of the new era that the asking host has read itself.
        page = Page((), 30, 51.0, False, 2)
        asking.applier.apply(FOLLOWED_TABLES[0], page, True, 0.0, 0.0)
        await asking._catch_up(peer)
        self.assertEqual(2, asking.applier.era)
        self.assertEqual((30,) * len(FOLLOWED_TABLES), asking.applier.versions())
