"""Check the errors of the platform's clients under each fault."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen

from teaselpond_model.contracts import Address, Host, HostKind, Put
from teaselpond_model.exceptions import StoreOutcomeUnknown, StoreUnavailable
from teaselpond_model.platform import Platform, PlatformConnection
from teaselpond_standins.platform import PlatformFaultKind, PlatformStandin
from teaselpond_standins.testing import AsyncTestCase

TIMEOUT_SECONDS = 10.0
SHORT_TIMEOUT_SECONDS = 0.2
FAULT_SECONDS = 0.4
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
    """Hold a fault, a write's error under it and whether it is applied."""

    kind: PlatformFaultKind
    error: type[StoreUnavailable]
    is_applied: bool


# An object is raw bytes, so a client can't recognize a malformed answer.
UNDETECTABLE = ("objects.get", PlatformFaultKind.RUBBISH)
UNKNOWN = StoreOutcomeUnknown
FAULT_CASES = (
    FaultCase(PlatformFaultKind.REFUSE, StoreUnavailable, False),
    FaultCase(PlatformFaultKind.DROP, UNKNOWN, False),
    # The platform completes a write after its caller has timed out.
    FaultCase(PlatformFaultKind.SLOW, UNKNOWN, True),
    FaultCase(PlatformFaultKind.LOSE_ANSWER, UNKNOWN, True),
    FaultCase(PlatformFaultKind.SLOW_ANSWER, UNKNOWN, True),
    FaultCase(PlatformFaultKind.RUBBISH, UNKNOWN, True),
)


class PlatformFaultTests(AsyncTestCase):
    """Check every client call under every fault."""

    async def start_platform(self) -> tuple[PlatformStandin, Platform]:
        """Return a stand-in and clients of it."""
        standin = await self.enter(PlatformStandin())
        return standin, await self.enter(
            Platform.open(standin.base_url, TIMEOUT_SECONDS)
        )

    def choose_client(
        self, kind: PlatformFaultKind, standin: PlatformStandin, platform: Platform
    ) -> Platform:
        """Return clients with a short timeout for the slow faults only."""
        if "slow" not in kind.value:
            return platform
        return Platform.from_connection(
            PlatformConnection(
                platform.session, standin.base_url, SHORT_TIMEOUT_SECONDS
            )
        )

    async def check_error(
        self, platform: Platform, call: Call, expected: type[StoreUnavailable], context
    ) -> None:
        """Check that a call raises exactly this error, with step and peer."""
        try:
            await call(platform)
        except StoreUnavailable as error:
            self.assertEqual(expected, type(error), context)
            self.assertEqual(context[0], error.step)
            self.assertTrue(error.peer)
        else:
            self.fail(f"no error: {context}")

    async def test_write_errors_say_whether_the_write_may_be_applied(self) -> None:
        """Check every write under every fault, on an open connection."""
        for case in FAULT_CASES:
            standin, platform = await self.start_platform()
            client = self.choose_client(case.kind, standin, platform)
            for operation, call in WRITES.items():
                await call(platform)
                before = standin.faults.calls_by_operation[operation]
                standin.faults.add(case.kind, operation, seconds=FAULT_SECONDS, count=1)
                context = (operation, case)
                await self.check_error(client, call, case.error, context)
                # aiohttp must not send even an idempotent method again.
                after = standin.faults.calls_by_operation[operation]
                self.assertEqual(1, after - before, context)
            versions = 2 if case.is_applied else 1
            grants = standin.weights.grants
            await self.wait_until(lambda n=versions, g=grants: len(g) == n)
            self.assertEqual(versions, standin.table.version, case)

    async def test_reads_are_unavailable_under_every_fault(self) -> None:
        """Check every read under every fault."""
        standin, platform = await self.start_platform()
        for operation, call in READS.items():
            for case in FAULT_CASES:
                if (operation, case.kind) == UNDETECTABLE:
                    continue
                standin.faults.clear()
                standin.faults.add(case.kind, operation, seconds=FAULT_SECONDS)
                context = (operation, case)
                client = self.choose_client(case.kind, standin, platform)
                await self.check_error(client, call, StoreUnavailable, context)

    async def test_unreachable_platform_raises_store_unavailable(self) -> None:
        """Check calls while the platform is down and after its return."""
        standin, platform = await self.start_platform()
        for call in WRITES.values():
            await call(platform)
        await standin.server.start_outage()
        for operation, call in (READS | WRITES).items():
            await self.check_error(platform, call, StoreUnavailable, (operation,))
        await standin.server.end_outage()
        for call in (READS | WRITES).values():
            await call(platform)

    async def test_stale_reads(self) -> None:
        """Check that reads return old entries while a STALE fault lasts."""
        standin, platform = await self.start_platform()
        await platform.table.transact((), (Put("k", 1),))
        standin.table.freeze_replica()
        await platform.table.transact((), (Put("k", 2),))
        standin.faults.add(PlatformFaultKind.STALE, count=2)
        self.assertEqual(1, (await platform.table.get("k")).value)
        self.assertEqual(1, (await platform.table.scan("k")).version)
        self.assertEqual(2, (await platform.table.get("k")).value)

    async def test_faults_over_http(self) -> None:
        """Check that faults can be set, counted and cleared over HTTP."""
        standin, platform = await self.start_platform()
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
