"""Check what the platform's clients say of calls that went wrong."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen

from teaselpond_model.contracts import Address, Host, HostKind, Put
from teaselpond_model.exceptions import StoreOutcomeUnknown, StoreUnavailable
from teaselpond_model.platform import Platform, PlatformConnection
from teaselpond_standins.platform import PlatformFaultKind, PlatformStandin
from teaselpond_standins.testing import AsyncTestCase

PATIENT_SECONDS = 10.0
HASTY_SECONDS = 0.2
SLOW_SECONDS = 0.4
HOST = Host("entry-1", Address("127.0.0.1", 9), "innsbruck", HostKind.ENTRY)

Call = Callable[[Platform], Awaitable[Any]]
READS: dict[str, Call] = {
    "table.get": lambda platform: platform.table.get("k"),
    "table.scan": lambda platform: platform.table.scan("k"),
    "objects.get": lambda platform: platform.objects.get("k"),
    "hosts.list": lambda platform: platform.hosts.list_hosts(),
}
WRITES: dict[str, Call] = {
    "table.transact": lambda platform: platform.table.transact((), (Put("k", 1),)),
    "objects.put": lambda platform: platform.objects.put("k", b"1"),
    "objects.delete": lambda platform: platform.objects.delete("k"),
    "hosts.register": lambda platform: platform.hosts.register(HOST),
    "hosts.remove": lambda platform: platform.hosts.remove("entry-1"),
    "weights.request": lambda platform: platform.weights.request("h", "m", "1"),
}


@frozen
class FaultCase:
    """Say what a fault means for a write: its error, and what was done."""

    kind: PlatformFaultKind
    error: type[StoreUnavailable]
    done: bool


# An object is raw bytes, so that no reader can tell rubbish from content.
OPAQUE = ("objects.get", PlatformFaultKind.RUBBISH)
UNKNOWN = StoreOutcomeUnknown
FAULT_CASES = (
    FaultCase(PlatformFaultKind.REFUSE, StoreUnavailable, False),
    FaultCase(PlatformFaultKind.DROP, UNKNOWN, False),
    # The platform goes on with a write whose caller has stopped waiting.
    FaultCase(PlatformFaultKind.SLOW, UNKNOWN, True),
    FaultCase(PlatformFaultKind.LOSE_ANSWER, UNKNOWN, True),
    FaultCase(PlatformFaultKind.SLOW_ANSWER, UNKNOWN, True),
    FaultCase(PlatformFaultKind.RUBBISH, UNKNOWN, True),
)


class PlatformFaultTests(AsyncTestCase):
    """Put each client call to each fault."""

    async def open_pair(self) -> tuple[PlatformStandin, Platform]:
        """Return a stand-in and its clients."""
        standin = await self.enter(PlatformStandin())
        return standin, await self.enter(
            Platform.open(standin.base_url, PATIENT_SECONDS)
        )

    def choose_client(
        self, kind: PlatformFaultKind, standin: PlatformStandin, platform: Platform
    ) -> Platform:
        """Return clients that time out, for the slow faults only."""
        if "slow" not in kind.value:
            return platform
        return Platform.over(
            PlatformConnection(platform.session, standin.base_url, HASTY_SECONDS)
        )

    async def check_error(
        self, platform: Platform, call: Call, expected: type[StoreUnavailable], where
    ) -> None:
        """Demand exactly this error, with its step and peer."""
        try:
            await call(platform)
        except StoreUnavailable as error:
            self.assertEqual(expected, type(error), where)
            self.assertEqual(where[0], error.step)
            self.assertTrue(error.peer)
        else:
            self.fail(f"no error: {where}")

    async def test_writes_tell_whether_they_may_have_been_done(self) -> None:
        """Put every write to every fault, on a warm connection."""
        for case in FAULT_CASES:
            standin, platform = await self.open_pair()
            client = self.choose_client(case.kind, standin, platform)
            for operation, call in WRITES.items():
                await call(platform)
                before = standin.faults.calls_by_operation[operation]
                standin.faults.add(case.kind, operation, seconds=SLOW_SECONDS, count=1)
                where = (operation, case)
                await self.check_error(client, call, case.error, where)
                # Not even an idempotent method is sent again by the library.
                after = standin.faults.calls_by_operation[operation]
                self.assertEqual(1, after - before, where)
            versions = 2 if case.done else 1
            grants = standin.weights.grants
            await self.wait_until(lambda n=versions, g=grants: len(g) == n)
            self.assertEqual(versions, standin.table.version, case)

    async def test_reads_are_unavailable_under_every_fault(self) -> None:
        """Put every read to every fault."""
        standin, platform = await self.open_pair()
        for operation, call in READS.items():
            for case in FAULT_CASES:
                if (operation, case.kind) == OPAQUE:
                    continue
                standin.faults.clear()
                standin.faults.add(case.kind, operation, seconds=SLOW_SECONDS)
                where = (operation, case)
                client = self.choose_client(case.kind, standin, platform)
                await self.check_error(client, call, StoreUnavailable, where)

    async def test_down_means_that_nothing_was_written(self) -> None:
        """Meet a platform that is gone, and then its return."""
        standin, platform = await self.open_pair()
        for call in WRITES.values():
            await call(platform)
        await standin.server.go_down()
        for operation, call in (READS | WRITES).items():
            await self.check_error(platform, call, StoreUnavailable, (operation,))
        await standin.server.come_back()
        for call in (READS | WRITES).values():
            await call(platform)

    async def test_stale_reads(self) -> None:
        """See the table as it was, while a fault lasts."""
        standin, platform = await self.open_pair()
        await platform.table.transact((), (Put("k", 1),))
        standin.table.freeze_replica()
        await platform.table.transact((), (Put("k", 2),))
        standin.faults.add(PlatformFaultKind.STALE, count=2)
        self.assertEqual(1, (await platform.table.get("k")).value)
        self.assertEqual(1, (await platform.table.scan("k")).version)
        self.assertEqual(2, (await platform.table.get("k")).value)

    async def test_faults_over_http(self) -> None:
        """Arm, count and clear faults as another process does."""
        standin, platform = await self.open_pair()
        url = f"{standin.base_url}/_faults"
        order = {"kind": "refuse", "operation": "table.*", "key": "a*"}
        async with platform.session.post(url, json=order) as response:
            self.assertEqual(204, response.status)
        await platform.table.get("k")
        with self.assertRaises(StoreUnavailable):
            await platform.table.get("abc")
        async with platform.session.delete(url):
            await platform.table.get("abc")
        async with platform.session.get(f"{standin.base_url}/_counts") as response:
            self.assertEqual(3, (await response.json())["reads"])
