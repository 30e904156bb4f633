"""Test the client of the row store, and following a table with it."""

import asyncio
import json
import time
from typing import Any

import aiohttp
from aiohttp import web

from teaselpond.gateway.exceptions import HistoryLost
from teaselpond.gateway.following import LONG_POLL_SECONDS, Follower
from teaselpond.gateway.journal import Journal
from teaselpond.gateway.rowcache import UNKNOWN_VERSION
from teaselpond.gateway.rows import Page
from teaselpond.gateway.tables import Table
from teaselpond.platform.store import open_store
from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_standins.platform import PlatformStandin
from teaselpond_standins.server import LoopbackServer
from teaselpond_standins.testing import AsyncTestCase

STORE_TIMEOUT_SECONDS = 0.3


class RowStoreTests(AsyncTestCase):
    """Test calls to the store."""

    async def start(self):
        """Start a store, and return a client of it."""
        self.standin = await self.enter(PlatformStandin())
        self.rows = self.standin.rows
        session = await self.enter(aiohttp.ClientSession())
        return open_store(session, self.standin.address, STORE_TIMEOUT_SECONDS)

    async def test_read_and_write(self) -> None:
        """A read returns written rows, but not removed ones."""
        store = await self.start()
        await store.put(Table.MEMBERS, "g1", b"10.0.0.1")
        await store.put(Table.MEMBERS, "g2", b"10.0.0.2")
        await store.remove(Table.MEMBERS, "g1")
        page = await store.read(Table.MEMBERS)
        self.assertEqual([("g2", b"10.0.0.2")], [(r.key, r.value) for r in page.rows])

    async def test_follow(self) -> None:
        """A removal ends the wait and is returned as a row without value."""
        store = await self.start()
        version = await self.rows.put("servers", "e1", b"{}")
        waiting = asyncio.create_task(store.follow(Table.ENGINES, version, 10.0))
        await asyncio.sleep(0.05)
        await self.rows.remove("servers", "e1")
        page = await waiting
        self.assertEqual([("e1", None)], [(r.key, r.value) for r in page.rows])

    async def test_nothing_changed(self) -> None:
        """A wait that ends without a change returns the store's time."""
        store = await self.start()
        page = await store.follow(Table.ENGINES, 0, 0.05)
        self.assertEqual((), page.rows)
        self.assertGreater(page.store_seconds, 0)

    async def test_lost_history(self) -> None:
        """Following after dropped changes raises HistoryLost."""
        store = await self.start()
        await self.rows.put("servers", "e1", b"{}")
        self.rows.forget_history()
        with self.assertRaises(HistoryLost):
            await store.follow(Table.ENGINES, 0, 0.05)

    async def test_faults(self) -> None:
        """A store that is down or does not respond raises StoreUnavailable."""
        store = await self.start()
        self.rows.is_down = True
        with self.assertRaises(StoreUnavailable):
            await store.read(Table.ENGINES)
        self.rows.is_down = False
        self.rows.is_silent = True
        with self.assertRaises(StoreUnavailable):
            await store.follow(Table.ENGINES, 0, 0.05)


class InvalidAnswerTests(AsyncTestCase):
    """Read answers of the store that make no sense."""

    async def check_refused(self, **fields: object) -> None:
        """Such an answer counts as none."""
        row = {"Key": "k", "Value": "", "Ver": 1}
        valid = {"Rows": [row], "Ver": 1, "NowMs": 1}
        texts = [json.dumps(valid), json.dumps({**valid, **fields})]

        async def answer(request: web.Request) -> web.Response:
            return web.Response(text=texts.pop(0))

        app = web.Application()
        app.router.add_get("/v1/rows-get", answer)
        server = LoopbackServer(app)
        await server.start()
        session = await self.enter(aiohttp.ClientSession())
        store = open_store(session, server.address, STORE_TIMEOUT_SECONDS)
        self.assertEqual(1, (await store.read(Table.ENGINES)).version)
        with self.assertRaises(StoreUnavailable):
            await store.read(Table.ENGINES)
        await server.stop()

    async def test_versions_that_no_peer_can_pass_on(self) -> None:
        """No change would have a greater one."""
        await self.check_refused(Ver=10**31)
        await self.check_refused(Rows=[{"Key": "k", "Value": "", "Ver": 10**31}])
        await self.check_refused(Ver=-1)

    async def test_rows_of_another_shape(self) -> None:
        """A list has no fields, and a number is no key."""
        await self.check_refused(Rows=[["k", "", 1]])
        await self.check_refused(Rows=[{"Key": 5, "Value": "", "Ver": 1}])

    async def test_time_without_an_end(self) -> None:
        """A confirmation of then would never be outdated."""
        await self.check_refused(NowMs=float("inf"))
        await self.check_refused(NowMs=10**400)


class EventRecorder(Journal):
    """Record the events of log lines instead of writing them."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.events: list[str] = []

    def write(self, event: str, now: float, /, **fields: Any) -> None:
        """Record the event."""
        self.events.append(event)


class FollowerTests(AsyncTestCase):
    """Test following a table through faults of the store."""

    async def start(self) -> None:
        """Start a store and a follower of one table."""
        self.standin = await self.enter(PlatformStandin())
        self.rows = self.standin.rows
        session = await self.enter(aiohttp.ClientSession())
        self.keys: list[str] = []
        self.whole_flags: list[bool] = []
        self.journal = EventRecorder("g1")
        self.must_read = True
        self.version = UNKNOWN_VERSION
        self.era = 0
        self.follower = Follower(
            Table.ENGINES,
            open_store(session, self.standin.address, STORE_TIMEOUT_SECONDS),
            self.journal,
            time.monotonic,
            self.apply,
            lambda: self.must_read,
            lambda: self.version,
            lambda: self.era,
        )
        task = asyncio.create_task(self.follower.run())
        self.addCleanup(task.cancel)

    def apply(self, page: Page, is_whole: bool, asked_at: float, now: float) -> None:
        """Record the keys and the version of a response."""
        self.keys.extend(row.key for row in page.rows)
        self.whole_flags.append(is_whole)
        self.version = page.version
        self.era = page.era

    async def test_changes_come_in_order(self) -> None:
        """The whole table is read first, then each change is followed."""
        await self.start()
        await self.rows.put("servers", "e1", b"{}")
        await self.wait_until(lambda: "e1" in self.keys)
        whole_count = self.whole_flags.count(True)
        await self.rows.put("servers", "e2", b"{}")
        await self.wait_until(lambda: "e2" in self.keys)
        self.assertEqual(whole_count, self.whole_flags.count(True))

    async def test_read_by_peers(self) -> None:
        """No calls are made while this host must not read the table."""
        await self.start()
        await self.rows.put("servers", "e1", b"{}")
        await self.wait_until(lambda: "e1" in self.keys)
        self.must_read = False
        await asyncio.sleep(2 * LONG_POLL_SECONDS)
        calls = self.rows.calls
        await self.rows.put("servers", "e2", b"{}")
        await asyncio.sleep(STORE_TIMEOUT_SECONDS)
        self.assertEqual(calls, self.rows.calls)
        self.must_read = True
        await self.wait_until(lambda: "e2" in self.keys)

    async def test_outage(self) -> None:
        """After an outage the table is followed from the known version."""
        await self.start()
        await self.wait_until(lambda: self.whole_flags)
        self.rows.is_down = True
        self.standin.server.abort_connections()
        await self.wait_until(lambda: self.follower.is_failing)
        await self.rows.put("servers", "e1", b"{}")
        self.rows.is_down = False
        await self.wait_until(lambda: "e1" in self.keys)
        self.assertEqual(["store-lost", "store-regained"], self.journal.events)
        self.assertEqual(1, self.whole_flags.count(True))

    async def test_silent_connection(self) -> None:
        """A connection without a response times out and is replaced."""
        await self.start()
        await self.wait_until(lambda: self.whole_flags)
        self.rows.is_silent = True
        await self.wait_until(lambda: self.follower.is_failing)
        self.rows.is_silent = False
        await self.wait_until(lambda: not self.follower.is_failing)

    async def test_lost_history(self) -> None:
        """After dropped changes the whole table is read again."""
        await self.start()
        await self.wait_until(lambda: self.whole_flags)
        await self.rows.put("other", "x", b"{}")
        self.rows.forget_history()
        self.standin.server.abort_connections()
        await self.wait_until(lambda: self.whole_flags.count(True) == 2)

    async def test_history_that_is_lost_with_each_request(self) -> None:
        """The whole table is not read again without a pause."""
        await self.start()
        await self.wait_until(lambda: self.whole_flags)
        self.rows.oldest_version = 10**6
        self.standin.server.abort_connections()
        await self.wait_until(lambda: self.whole_flags.count(True) == 2)
        calls = self.rows.calls
        await asyncio.sleep(1.0)
        self.assertLess(self.rows.calls - calls, 12)
        self.rows.oldest_version = 0
        await self.rows.put("servers", "e1", b"{}")
        await self.wait_until(lambda: "e1" in self.keys)

    async def test_restored_store(self) -> None:
        """A table is read whole when the store's era has changed."""
        await self.start()
        await self.wait_until(lambda: self.era == 1)
        copy = self.rows.copy()
        for number in range(3):
            await self.rows.put("servers", f"e{number}", b"{}")
        await self.wait_until(lambda: len(self.keys) == 3)
        await self.rows.restore(copy)
        # The version that the follower knows is given out again.
        for number in range(5):
            await self.rows.put("servers", f"f{number}", b"{}")
        await self.wait_until(lambda: self.era == 2)
        self.assertTrue(self.whole_flags[-1] or self.whole_flags[-2])
        await self.wait_until(lambda: self.keys[-1] == "f4")

    async def test_many_pages(self) -> None:
        """A table larger than a page is read completely."""
        await self.start_with(1200)
        await self.wait_until(lambda: len(set(self.keys)) == 1200)

    async def start_with(self, count: int) -> None:
        """Start with a table of ``count`` rows and no history."""
        await self.start()
        for number in range(count):
            await self.rows.put("servers", f"e{number:05}", b"{}")
        self.rows.forget_history()
