"""Check the client of the row store, and who follows a table with it."""

import asyncio
import time
from typing import Any

import aiohttp

from teaselpond.gateway.exceptions import HistoryLost
from teaselpond.gateway.following import LONG_POLL_SECONDS, Follower
from teaselpond.gateway.journal import Journal
from teaselpond.gateway.rowcache import UNKNOWN_VERSION
from teaselpond.gateway.rows import Page
from teaselpond.gateway.tables import Table
from teaselpond.platform.store import open_store
from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_standins.platform import PlatformStandin
from teaselpond_standins.testing import AsyncTestCase

SHORT_SECONDS = 0.3


class RowStoreTests(AsyncTestCase):
    """Call the store."""

    async def start(self):
        """Start a store, and return it with a client."""
        self.standin = await self.enter(PlatformStandin())
        self.rows = self.standin.rows
        session = await self.enter(aiohttp.ClientSession())
        return open_store(session, self.standin.address, SHORT_SECONDS)

    async def test_read_and_write(self) -> None:
        """What was written is read, and what was removed is not."""
        store = await self.start()
        await store.put(Table.MEMBERS, "g1", b"10.0.0.1")
        await store.put(Table.MEMBERS, "g2", b"10.0.0.2")
        await store.remove(Table.MEMBERS, "g1")
        page = await store.read(Table.MEMBERS)
        self.assertEqual([("g2", b"10.0.0.2")], [(r.key, r.value) for r in page.rows])

    async def test_follow(self) -> None:
        """A change ends the wait, and a removal is told as one."""
        store = await self.start()
        version = await self.rows.put("servers", "e1", b"{}")
        waiting = asyncio.create_task(store.follow(Table.ENGINES, version, 10.0))
        await asyncio.sleep(0.05)
        await self.rows.remove("servers", "e1")
        page = await waiting
        self.assertEqual([("e1", None)], [(r.key, r.value) for r in page.rows])

    async def test_nothing_changed(self) -> None:
        """A wait that ends without a change tells the store's time."""
        store = await self.start()
        page = await store.follow(Table.ENGINES, 0, 0.05)
        self.assertEqual((), page.rows)
        self.assertGreater(page.store_seconds, 0)

    async def test_lost_history(self) -> None:
        """A store that dropped its history says so."""
        store = await self.start()
        await self.rows.put("servers", "e1", b"{}")
        self.rows.forget_history()
        with self.assertRaises(HistoryLost):
            await store.follow(Table.ENGINES, 0, 0.05)

    async def test_faults(self) -> None:
        """A store that is down, silent or full of rubbish is unavailable."""
        store = await self.start()
        self.rows.is_down = True
        with self.assertRaises(StoreUnavailable):
            await store.read(Table.ENGINES)
        self.rows.is_down = False
        self.rows.is_silent = True
        with self.assertRaises(StoreUnavailable):
            await store.follow(Table.ENGINES, 0, 0.05)


class EventList(Journal):
    """Keep the events of the lines instead of writing them."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.events: list[str] = []

    def write(self, event: str, now: float, /, **fields: Any) -> None:
        """Keep the event."""
        self.events.append(event)


class FollowerTests(AsyncTestCase):
    """Follow a table through troubles of the store."""

    async def start(self) -> None:
        """Start a store and a follower of one table."""
        self.standin = await self.enter(PlatformStandin())
        self.rows = self.standin.rows
        session = await self.enter(aiohttp.ClientSession())
        self.keys: list[str] = []
        self.wholes: list[bool] = []
        self.journal = EventList("g1")
        self.must_read = True
        self.version = UNKNOWN_VERSION
        self.follower = Follower(
            Table.ENGINES,
            open_store(session, self.standin.address, SHORT_SECONDS),
            self.journal,
            time.monotonic,
            self.apply,
            lambda: self.must_read,
            lambda: self.version,
        )
        task = asyncio.create_task(self.follower.run())
        self.addCleanup(task.cancel)

    def apply(self, page: Page, is_whole: bool, asked_at: float, now: float) -> None:
        """Note what came."""
        self.keys.extend(row.key for row in page.rows)
        self.wholes.append(is_whole)
        self.version = page.version

    async def test_changes_come_in_order(self) -> None:
        """The whole table comes first, and each change after it."""
        await self.start()
        await self.rows.put("servers", "e1", b"{}")
        await self.wait_until(lambda: "e1" in self.keys)
        wholes = self.wholes.count(True)
        await self.rows.put("servers", "e2", b"{}")
        await self.wait_until(lambda: "e2" in self.keys)
        self.assertEqual(wholes, self.wholes.count(True))

    async def test_left_to_peers(self) -> None:
        """A table that peers follow is not asked for."""
        await self.start()
        await self.rows.put("servers", "e1", b"{}")
        await self.wait_until(lambda: "e1" in self.keys)
        self.must_read = False
        await asyncio.sleep(2 * LONG_POLL_SECONDS)
        calls = self.rows.calls
        await self.rows.put("servers", "e2", b"{}")
        await asyncio.sleep(SHORT_SECONDS)
        self.assertEqual(calls, self.rows.calls)
        self.must_read = True
        await self.wait_until(lambda: "e2" in self.keys)

    async def test_outage(self) -> None:
        """A store that returns is followed again at once."""
        await self.start()
        await self.wait_until(lambda: self.wholes)
        self.rows.is_down = True
        self.standin.server.abort_connections()
        await self.wait_until(lambda: self.follower.is_failing)
        await self.rows.put("servers", "e1", b"{}")
        self.rows.is_down = False
        await self.wait_until(lambda: "e1" in self.keys)
        self.assertEqual(["store-lost", "store-regained"], self.journal.events)
        self.assertEqual(1, self.wholes.count(True))

    async def test_silent_connection(self) -> None:
        """A connection on which nothing comes is given up."""
        await self.start()
        await self.wait_until(lambda: self.wholes)
        self.rows.is_silent = True
        await self.wait_until(lambda: self.follower.is_failing)
        self.rows.is_silent = False
        await self.wait_until(lambda: not self.follower.is_failing)

    async def test_lost_history(self) -> None:
        """A store that dropped its history is read anew."""
        await self.start()
        await self.wait_until(lambda: self.wholes)
        await self.rows.put("other", "x", b"{}")
        self.rows.forget_history()
        self.standin.server.abort_connections()
        await self.wait_until(lambda: self.wholes.count(True) == 2)

    async def test_many_pages(self) -> None:
        """A table larger than a page is read whole."""
        await self.start_with(1200)
        await self.wait_until(lambda: len(set(self.keys)) == 1200)

    async def start_with(self, count: int) -> None:
        """Start with a table of some size."""
        await self.start()
        for number in range(count):
            await self.rows.put("servers", f"e{number:05}", b"{}")
        self.rows.forget_history()
