"""Strike each step of a non-idempotent call with each fault."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import evolve, frozen

from teaselpond.delivery.expiry import SHARDS, LedgerSweeper
from teaselpond.delivery.ledger import Ledger, LedgerSettings
from teaselpond.delivery.records import (
    OUTCOME_RETENTION_SECONDS,
    UNRESOLVED_RETENTION_SECONDS,
    ServiceCall,
)
from teaselpond.exceptions import Refused
from teaselpond.upstreams import UpstreamClient
from teaselpond_model.platform import Platform
from teaselpond_standins.faults import FOREVER
from teaselpond_standins.platform import (
    PlatformFaultKind,
    PlatformStandin,
)
from teaselpond_standins.service import ServiceFaultKind, ServiceStandin
from teaselpond_standins.testing import AsyncTestCase

KEY = "order-1"
SETTINGS = LedgerSettings(
    store_seconds=2.0, claim_stale_seconds=0.1, record_seconds=20.0
)
P = PlatformFaultKind
S = ServiceFaultKind


class Bench:
    """Hold a table, a service, and the ledgers of two daemons."""

    def __init__(self) -> None:
        self.standin = PlatformStandin()
        self.faults = self.standin.faults
        self.service = ServiceStandin()
        self.client = UpstreamClient(reuse=False, idle_seconds=0.6)

    def make(self, daemon: str) -> Ledger:
        table, objects = self.platform.table, self.platform.objects
        return Ledger(table, objects, self.client, daemon=daemon, settings=SETTINGS)

    async def __aenter__(self) -> "Bench":
        await self.standin.start()
        await self.service.start()
        self.platform = Platform.open(self.standin.base_url)
        self.ledgers_by_daemon = {name: self.make(name) for name in ("a", "b")}
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.faults.clear()
        for ledger in self.ledgers_by_daemon.values():
            await ledger.drain()
        await self.client.close()
        await self.platform.close()
        await self.service.stop()
        await self.standin.stop()

    def call(self, seconds: float = 2.0, body: bytes = b"{}") -> ServiceCall:
        return ServiceCall(
            workspace="w",
            service="orders",
            request_id="r",
            method="POST",
            path="/orders",
            addresses=(self.service.address,),
            deadline=time.monotonic() + seconds,
            key=KEY,
            body=body,
        )

    async def place(self, daemon: str = "a", seconds: float = 2.0) -> str:
        """Return the status, or the reason and the run of the refusal."""
        try:
            outcome = await self.ledgers_by_daemon[daemon].run(self.call(seconds))
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        return f"{outcome.status}{' repeated' if outcome.repeated else ''}"

    @property
    def runs(self) -> int:
        """Count the runs of the key at the service."""
        return self.service.runs_by_key[KEY]


def tx(kind: PlatformFaultKind, skip: int, count: int = 1, reads: bool = True):
    """Strike transactions after some are spared; perhaps all reads too."""

    async def arm(bench: Bench) -> None:
        operation = "table.transact"
        bench.faults.add(kind, operation, skip=skip, count=count, seconds=3.0)
        if not reads:
            bench.faults.add(P.REFUSE, "table.get")

    return arm


def svc(kind: ServiceFaultKind) -> Callable:
    """Strike the service's first call."""

    async def arm(bench: Bench) -> None:
        bench.service.add_fault(kind, seconds=1.2)

    return arm


async def down(bench: Bench) -> None:
    """Take the service down."""
    await bench.service.server.go_down()


@frozen
class Case:
    """Hold a fault, what the first caller and a repeat see, and the runs."""

    name: str
    arm: Callable[[Bench], Awaitable[None]]
    first: str
    runs_at_first: int
    repeat: str
    runs: int


UNKNOWN = "outcome-unknown may-have-run"
BROKEN = "upstream-broken may-have-run"
SILENT = "upstream-silent may-have-run"
# What the first caller sees and the runs by then; the same for a repeat.
ONCE = ("200", 1, "200 repeated", 1)
FREED = ("store-unavailable not-run", 0, "200", 1)
CUT = (BROKEN, 1, UNKNOWN, 1)
UNSENT = (BROKEN, 0, UNKNOWN, 0)
CASES = [
    Case("claim refused", tx(P.REFUSE, 0, FOREVER), *FREED),
    Case("claim refused once", tx(P.REFUSE, 0), *ONCE),
    Case("claim dropped", tx(P.DROP, 0), *ONCE),
    Case("claim's answer lost", tx(P.LOSE_ANSWER, 0), *ONCE),
    Case("claim's answer rubbish", tx(P.RUBBISH, 0), *ONCE),
    Case("claim's answer late", tx(P.SLOW_ANSWER, 0), *ONCE),
    Case("claim late", tx(P.SLOW, 0), *ONCE),
    Case("claim lost, reads down", tx(P.LOSE_ANSWER, 0, reads=False), *FREED),
    Case("dispatch refused", tx(P.REFUSE, 1, FOREVER), *FREED),
    Case("dispatch dropped", tx(P.DROP, 1), *ONCE),
    Case("dispatch's answer lost", tx(P.LOSE_ANSWER, 1), *ONCE),
    Case("dispatch's answer late", tx(P.SLOW_ANSWER, 1), *ONCE),
    Case("dispatch late", tx(P.SLOW, 1), *ONCE),
    Case("dispatch lost, reads down", tx(P.LOSE_ANSWER, 1, reads=False), *FREED),
    Case("dispatch dropped, reads down", tx(P.DROP, 1, reads=False), *FREED),
    Case("all answers lost", tx(P.LOSE_ANSWER, 0, 3), *ONCE),
    Case("outcome refused for a while", tx(P.REFUSE, 2, 5), *ONCE),
    Case("outcome's answer lost", tx(P.LOSE_ANSWER, 2), *ONCE),
    Case("outcome late", tx(P.SLOW, 2), *ONCE),
    # An answer without the request's id may be anyone's, whatever it says.
    Case("upstream refuses", svc(S.REFUSE), *UNSENT),
    Case("upstream drops", svc(S.DROP), *UNSENT),
    Case("upstream redirects", svc(S.REDIRECT), *UNSENT),
    Case("upstream drops reused", svc(S.DROP_REUSED), *ONCE),
    Case("upstream late", svc(S.LATE), SILENT, 1, UNKNOWN, 1),
    Case("upstream slow to start", svc(S.SLOW), SILENT, 0, UNKNOWN, 1),
    Case("upstream runs, then fails", svc(S.RUN_THEN_FAIL), *CUT),
    Case("upstream runs, then drops", svc(S.RUN_THEN_DROP), *CUT),
    Case("upstream runs, then redirects", svc(S.RUN_THEN_REDIRECT), *CUT),
    Case("upstream answers crossed", svc(S.CROSS), *CUT),
    Case("upstream closes half way", svc(S.HALF), *CUT),
    Case("upstream goes silent", svc(S.SILENCE), SILENT, 1, UNKNOWN, 1),
    Case("upstream down", down, "retries-exhausted not-run", 0, "200", 1),
]


class LedgerFaultTests(AsyncTestCase):
    """Check the fault table: the service's own count is the judge."""

    async def test_faults(self) -> None:
        """Strike each step, repeat at the other daemon, and count."""
        seen = await asyncio.gather(*(self._run(case) for case in CASES))
        wrong = {
            case.name: (case, found)
            for case, found in zip(CASES, seen, strict=True)
            if found != (case.first, case.runs_at_first, case.repeat, case.runs)
        }
        self.assertEqual({}, wrong)

    async def _run(self, case: Case) -> tuple[str, int, str, int]:
        async with Bench() as bench:
            await case.arm(bench)
            first = await bench.place("a", 8.0)
            runs_at_first = bench.runs
            bench.faults.clear()
            await bench.service.server.come_back()
            await bench.ledgers_by_daemon["a"].drain()
            seconds = 0.5 if case.repeat == UNKNOWN else 8.0
            repeat = await bench.place("b", seconds)
            # The late ones have had the time to run by now.
            await asyncio.sleep(1.0)
            self.assertEqual(0, bench.service.redirected)
            return first, runs_at_first, repeat, bench.runs


class LedgerRaceTests(AsyncTestCase):
    """Check callers that meet at one key."""

    async def test_same_key_at_two_daemons_runs_once(self) -> None:
        """Let one of forty simultaneous calls run."""
        async with Bench() as bench:
            bench.service.work_seconds = 0.05
            seen = await asyncio.gather(
                *(bench.place("ab"[index % 2], 10.0) for index in range(40))
            )
            self.assertEqual(1, bench.runs)
            self.assertEqual(["200"] + ["200 repeated"] * 39, sorted(seen))

    async def test_other_body_is_refused(self) -> None:
        """Refuse a second body under a key, whatever became of the first."""
        async with Bench() as bench:
            await bench.place("a")
            await bench.ledgers_by_daemon["a"].drain()
            ledger = bench.ledgers_by_daemon["b"]
            for change in ({"body": b"other"}, {"path": "/p"}, {"method": "PUT"}):
                call = evolve(bench.call(), **change)
                refused = await self.assert_refused(ledger.run(call))
                self.assertEqual("key-reused not-run", refused)
            self.assertEqual(1, bench.runs)

    async def test_other_workspace_has_keys_of_its_own(self) -> None:
        """Run another workspace's call under the same key."""
        async with Bench() as bench:
            await bench.place("a")
            await bench.ledgers_by_daemon["a"].drain()
            outcome = await bench.ledgers_by_daemon["a"].run(
                evolve(bench.call(), workspace="other")
            )
            self.assertFalse(outcome.repeated)

    async def test_key_is_needed(self) -> None:
        """Refuse a call without a key or with one that can't be a header."""
        async with Bench() as bench:
            for key, reason in (
                ("", "key-missing"),
                ("a\r\nX-Evil: 1", "bad-request"),
                ("k" * 256, "bad-request"),
            ):
                call = evolve(bench.call(), key=key)
                refused = await self.assert_refused(
                    bench.ledgers_by_daemon["a"].run(call)
                )
                self.assertEqual(f"{reason} not-run", refused)

    async def test_caller_that_leaves_does_not_lose_the_outcome(self) -> None:
        """Record the outcome of a call whose caller was cancelled."""
        async with Bench() as bench:
            bench.service.work_seconds = 0.2
            task = asyncio.create_task(bench.place("a"))
            await self.wait_until(lambda: bench.service.received_by_key)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertEqual("200 repeated", await bench.place("b"))
            self.assertEqual(1, bench.runs)

    async def test_deadline_during_the_call(self) -> None:
        """Say that a call may have run when its deadline passes in it."""
        async with Bench() as bench:
            bench.service.work_seconds = 0.25
            self.assertEqual(
                "deadline may-have-run", await bench.place("a", seconds=0.15)
            )
            self.assertEqual("200 repeated", await bench.place("b"))
            self.assertEqual(1, bench.runs)

    async def test_large_outcome_is_recorded_whole(self) -> None:
        """Keep an answer that is too large for the table in an object."""
        async with Bench() as bench:
            call = evolve(bench.call(), body=b"x" * 50_000)
            ledger = bench.ledgers_by_daemon["a"]
            first = await ledger.run(call)
            await ledger.drain()
            second = await ledger.run(call)
            self.assertEqual((first.body, True), (second.body, second.repeated))

    async def test_records_end_after_their_time(self) -> None:
        """Remove old outcomes, and a call without one only much later."""
        async with Bench() as bench:
            await bench.place("a")
            await bench.ledgers_by_daemon["a"].drain()
            bench.service.add_fault(S.SILENCE)
            call = evolve(bench.call(), key="silent")
            ledger = bench.ledgers_by_daemon["a"]
            await self.assert_refused(ledger.run(call))
            sweeper = LedgerSweeper(bench.platform.table, bench.platform.objects)
            removed = []
            for later in (
                0.0,
                OUTCOME_RETENTION_SECONDS + 90.0,
                UNRESOLVED_RETENTION_SECONDS + 90.0,
            ):
                now = time.time() + later
                removed.append(
                    sum([await sweeper.sweep(shard, now) for shard in range(SHARDS)])
                )
            self.assertEqual([0, 1, 1], removed)

    async def test_pause_after_the_dispatch_sends_nothing_late(self) -> None:
        """Refuse as not run when the deadline passed in a pause."""
        async with Bench() as bench:
            ledger = bench.ledgers_by_daemon["a"]
            times = iter([0.0] * 8)
            ledger._clock = lambda: next(times, 100.0)
            call = evolve(bench.call(), deadline=50.0)
            refused = await self.assert_refused(ledger.run(call))
            self.assertEqual("deadline not-run", refused)
            self.assertEqual(0, bench.runs)

    async def assert_refused(self, awaitable: Awaitable) -> str:
        try:
            await awaitable
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        return self.fail("was not refused")
