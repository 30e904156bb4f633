"""Check that platform implementations fulfil the contract."""

import os

from teaselpond_model.contracts import (
    Address,
    Check,
    Delete,
    Host,
    HostKind,
    HostState,
    Put,
    TableEntry,
)
from teaselpond_model.exceptions import (
    TransactionConflict,
)
from teaselpond_model.platform import Platform
from teaselpond_standins.platform import PlatformStandin
from teaselpond_standins.testing import AsyncTestCase

# The URL of a real platform, which is tested in place of the stand-in.
CONTRACT_URL = os.environ.get("TEASELPOND_CONTRACT_URL", "")
TIMEOUT_SECONDS = 10.0
HOST = Host("entry-1", Address("127.0.0.1", 9), "innsbruck", HostKind.ENTRY)


class PlatformContract:
    """Check the behaviour that every platform must have.

    Subclasses open the platform.
    """

    async def open_platform(self):
        """Return an object with table, objects, hosts and weights."""
        raise AssertionError("a subclass must open the platform")

    async def test_table(self) -> None:
        """Check versions, transaction checks, tombstones and scans."""
        table = (await self.open_platform()).table
        first = await table.transact((Check("t/a", 0),), (Put("t/a", {"n": 1}),))
        self.assertEqual(TableEntry("t/a", {"n": 1}, first), await table.get("t/a"))
        second = await table.transact(
            (Check("t/a", first), Check("t/b", 0)), (Put("t/b", [2]), Delete("t/a"))
        )
        self.assertEqual(first + 1, second)
        self.assertIsNone(await table.get("t/a"))
        page = await table.scan("t/", first)
        self.assertEqual(second, page.version)
        expected = (TableEntry("t/a", None, second), TableEntry("t/b", [2], second))
        self.assertEqual(expected, page.entries)
        self.assertEqual((), (await table.scan("t/", second)).entries)
        self.assertEqual((), (await table.scan("u/")).entries)
        # A deleted key passes a check for version 0 again.
        await table.transact((Check("t/a", 0),), (Put("t/a", "back"),))

    async def test_conflict_writes_nothing(self) -> None:
        """Check that a conflict names the changed keys and writes nothing."""
        table = (await self.open_platform()).table
        version = await table.transact((), (Put("c/a", 1), Put("c/b", 1)))
        checks = (Check("c/a", version), Check("c/b", version - 1), Check("c/c", 9))
        with self.assertRaises(TransactionConflict) as caught:
            await table.transact(checks, (Put("c/a", 2), Put("c/d", 2)))
        self.assertEqual(("c/b", "c/c"), caught.exception.keys)
        self.assertEqual(1, (await table.get("c/a")).value)
        self.assertIsNone(await table.get("c/d"))

    async def test_objects(self) -> None:
        """Check objects of raw bytes under names with special characters."""
        objects = (await self.open_platform()).objects
        for name in ("plain", "plans/ü 1?&#%2F"):
            self.assertIsNone(await objects.get(name))
            await objects.put(name, b"\x00\xff")
            self.assertEqual(b"\x00\xff", await objects.get(name))
            await objects.put(name, b"")
            self.assertEqual(b"", await objects.get(name))
            await objects.delete(name)
            await objects.delete(name)
            self.assertIsNone(await objects.get(name))

    async def test_hosts(self) -> None:
        """Check that the list holds each host as last registered."""
        hosts = (await self.open_platform()).hosts
        leaving = Host("e", Address("::1", 8), "z", HostKind.ENGINE, HostState.LEAVING)
        await hosts.register(HOST)
        await hosts.register(leaving)
        self.assertEqual({HOST, leaving}, set(await hosts.list_hosts()))
        await hosts.remove("e")
        self.assertEqual((HOST,), await hosts.list_hosts())

    async def test_weights(self) -> None:
        """Check that a burst is granted, then a retry time is returned."""
        weights = (await self.open_platform()).weights
        grants = [await weights.request("e", "m", "1") for _ in range(8)]
        self.assertTrue(grants[0].granted)
        self.assertFalse(grants[-1].granted)
        self.assertGreater(grants[-1].retry_after, 0)


class HttpPlatformTests(PlatformContract, AsyncTestCase):
    """Check the contract with the HTTP clients."""

    async def open_platform(self) -> Platform:
        """Return clients of the stand-in, or of the platform at the URL."""
        url = CONTRACT_URL
        if not url:
            url = (await self.enter(PlatformStandin())).base_url
        return await self.enter(Platform.open(url, TIMEOUT_SECONDS))


class MemoryPlatformTests(PlatformContract, AsyncTestCase):
    """Check the contract with the stand-in, without HTTP."""

    async def open_platform(self) -> PlatformStandin:
        """Return a stand-in that isn't served over HTTP."""
        return PlatformStandin()
