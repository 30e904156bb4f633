"""Inject faults at each step of a non-idempotent call."""

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
from teaselpond_standins.faults import UNLIMITED_CALLS
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
# One-letter aliases keep the cases of CASES on one line.
P = PlatformFaultKind
S = ServiceFaultKind


class LedgerEnvironment:
    """Run a platform, a service, and the ledgers of two daemons."""

    def __init__(self, idle_seconds: float = 0.6) -> None:
        self.standin = PlatformStandin()
        self.faults = self.standin.faults
        self.service = ServiceStandin()
        self.client = UpstreamClient(reuse=False, idle_seconds=idle_seconds)

    def make_ledger(self, daemon: str) -> Ledger:
        table, objects = self.platform.table, self.platform.objects
        return Ledger(table, objects, self.client, daemon=daemon, settings=SETTINGS)

    async def __aenter__(self) -> "LedgerEnvironment":
        await self.standin.start()
        await self.service.start()
        self.platform = Platform.open(self.standin.base_url)
        self.ledgers_by_daemon = {name: self.make_ledger(name) for name in ("a", "b")}
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

    async def run_call(self, daemon: str = "a", seconds: float = 2.0) -> str:
        """Run the call; return its status, or the refusal's reason and run."""
        try:
            outcome = await self.ledgers_by_daemon[daemon].run(self.call(seconds))
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        return f"{outcome.status}{' repeated' if outcome.repeated else ''}"

    @property
    def runs(self) -> int:
        """Return how often the service ran the call with the key."""
        return self.service.runs_by_key[KEY]


def table_fault(kind: PlatformFaultKind, skip: int, count: int = 1, reads: bool = True):
    """Fail ``count`` transactions after ``skip``, and perhaps all reads."""

    async def inject(environment: LedgerEnvironment) -> None:
        operation = "table.transact"
        environment.faults.add(kind, operation, skip=skip, count=count, seconds=3.0)
        if not reads:
            environment.faults.add(P.REFUSE, "table.get")

    return inject


def service_fault(kind: ServiceFaultKind) -> Callable:
    """Inject a fault into the service's first call."""

    async def inject(environment: LedgerEnvironment) -> None:
        environment.service.add_fault(kind, seconds=1.2)

    return inject


async def stop_service(environment: LedgerEnvironment) -> None:
    """Stop the service."""
    await environment.service.server.start_outage()


@frozen
class Case:
    """Hold a fault, and the expected results of a call and its repeat."""

    name: str
    inject: Callable[[LedgerEnvironment], Awaitable[None]]
    first: str
    runs_at_first: int
    repeat: str
    runs: int


UNKNOWN = "outcome-unknown may-have-run"
BROKEN = "upstream-broken may-have-run"
SILENT = "upstream-silent may-have-run"
# The first call's result and the runs by then, then the same for a repeat.
ONCE = ("200", 1, "200 repeated", 1)
RELEASED = ("store-unavailable not-run", 0, "200", 1)
CUT = (BROKEN, 1, UNKNOWN, 1)
UNSENT = (BROKEN, 0, UNKNOWN, 0)
CASES = [
    Case("claim refused", table_fault(P.REFUSE, 0, UNLIMITED_CALLS), *RELEASED),
    Case("claim refused once", table_fault(P.REFUSE, 0), *ONCE),
    Case("claim dropped", table_fault(P.DROP, 0), *ONCE),
    Case("claim's answer lost", table_fault(P.LOSE_ANSWER, 0), *ONCE),
    Case("claim's answer rubbish", table_fault(P.RUBBISH, 0), *ONCE),
    Case("claim's answer late", table_fault(P.SLOW_ANSWER, 0), *ONCE),
    Case("claim late", table_fault(P.SLOW, 0), *ONCE),
    Case(
        "claim lost, reads down", table_fault(P.LOSE_ANSWER, 0, reads=False), *RELEASED
    ),
    Case("dispatch refused", table_fault(P.REFUSE, 1, UNLIMITED_CALLS), *RELEASED),
    Case("dispatch dropped", table_fault(P.DROP, 1), *ONCE),
    Case("dispatch's answer lost", table_fault(P.LOSE_ANSWER, 1), *ONCE),
    Case("dispatch's answer late", table_fault(P.SLOW_ANSWER, 1), *ONCE),
    Case("dispatch late", table_fault(P.SLOW, 1), *ONCE),
    Case(
        "dispatch lost, reads down",
        table_fault(P.LOSE_ANSWER, 1, reads=False),
        *RELEASED,
    ),
    Case(
        "dispatch dropped, reads down", table_fault(P.DROP, 1, reads=False), *RELEASED
    ),
    Case("all answers lost", table_fault(P.LOSE_ANSWER, 0, 3), *ONCE),
    Case("outcome refused for a while", table_fault(P.REFUSE, 2, 5), *ONCE),
    Case("outcome's answer lost", table_fault(P.LOSE_ANSWER, 2), *ONCE),
    Case("outcome late", table_fault(P.SLOW, 2), *ONCE),
    # An answer without the request's id may belong to another request.
    Case("upstream refuses", service_fault(S.REFUSE), *UNSENT),
    Case("upstream drops", service_fault(S.DROP), *UNSENT),
    Case("upstream redirects", service_fault(S.REDIRECT), *UNSENT),
    Case("upstream drops reused", service_fault(S.DROP_REUSED), *ONCE),
    Case("upstream late", service_fault(S.LATE), SILENT, 1, UNKNOWN, 1),
    Case("upstream slow to start", service_fault(S.SLOW), SILENT, 0, UNKNOWN, 1),
    Case("upstream runs, then fails", service_fault(S.RUN_THEN_FAIL), *CUT),
    Case("upstream runs, then drops", service_fault(S.RUN_THEN_DROP), *CUT),
    Case("upstream runs, then redirects", service_fault(S.RUN_THEN_REDIRECT), *CUT),
    Case("upstream answers crossed", service_fault(S.CROSS), *CUT),
    Case("upstream closes half way", service_fault(S.HALF), *CUT),
    Case("upstream goes silent", service_fault(S.SILENCE), SILENT, 1, UNKNOWN, 1),
    Case("upstream down", stop_service, "retries-exhausted not-run", 0, "200", 1),
]


class LedgerFaultTests(AsyncTestCase):
    """Check each fault against the number of runs that the service counted."""

    async def test_faults(self) -> None:
        """Inject each fault, repeat at the other daemon, and count runs."""
        results = await asyncio.gather(*(self._run(case) for case in CASES))
        wrong = {
            case.name: (case, found)
            for case, found in zip(CASES, results, strict=True)
            if found != (case.first, case.runs_at_first, case.repeat, case.runs)
        }
        self.assertEqual({}, wrong)

    async def _run(self, case: Case) -> tuple[str, int, str, int]:
        async with LedgerEnvironment() as environment:
            await case.inject(environment)
            first = await environment.run_call("a", 8.0)
            runs_at_first = environment.runs
            environment.faults.clear()
            await environment.service.server.end_outage()
            await environment.ledgers_by_daemon["a"].drain()
            seconds = 0.5 if case.repeat == UNKNOWN else 8.0
            repeat = await environment.run_call("b", seconds)
            # Wait until calls that were delayed would have run.
            await asyncio.sleep(1.0)
            self.assertEqual(0, environment.service.redirected)
            return first, runs_at_first, repeat, environment.runs


class LedgerRaceTests(AsyncTestCase):
    """Check concurrent and repeated calls with one key."""

    async def test_same_key_at_two_daemons_runs_once(self) -> None:
        """Run one of forty concurrent calls, and repeat its outcome."""
        async with LedgerEnvironment() as environment:
            environment.service.work_seconds = 0.05
            results = await asyncio.gather(
                *(environment.run_call("ab"[index % 2], 10.0) for index in range(40))
            )
            self.assertEqual(1, environment.runs)
            self.assertEqual(["200"] + ["200 repeated"] * 39, sorted(results))

    async def test_other_body_is_refused(self) -> None:
        """Refuse another body, path or method under a key that was used."""
        async with LedgerEnvironment() as environment:
            await environment.run_call("a")
            await environment.ledgers_by_daemon["a"].drain()
            ledger = environment.ledgers_by_daemon["b"]
            for change in ({"body": b"other"}, {"path": "/p"}, {"method": "PUT"}):
                call = evolve(environment.call(), **change)
                refused = await self.assert_refused(ledger.run(call))
                self.assertEqual("key-reused not-run", refused)
            self.assertEqual(1, environment.runs)

    async def test_keys_are_separate_by_workspace(self) -> None:
        """Run a call of another workspace with the same key."""
        async with LedgerEnvironment() as environment:
            await environment.run_call("a")
            await environment.ledgers_by_daemon["a"].drain()
            outcome = await environment.ledgers_by_daemon["a"].run(
                evolve(environment.call(), workspace="other")
            )
            self.assertFalse(outcome.repeated)

    async def test_key_is_required(self) -> None:
        """Refuse a missing key, and one that can't be sent as a header."""
        async with LedgerEnvironment() as environment:
            for key, reason in (
                ("", "key-missing"),
                ("a\r\nX-Evil: 1", "bad-request"),
                ("k" * 256, "bad-request"),
            ):
                call = evolve(environment.call(), key=key)
                refused = await self.assert_refused(
                    environment.ledgers_by_daemon["a"].run(call)
                )
                self.assertEqual(f"{reason} not-run", refused)

    async def test_outcome_is_recorded_after_the_caller_disconnects(self) -> None:
        """Record the outcome of a call whose caller was cancelled."""
        async with LedgerEnvironment() as environment:
            environment.service.work_seconds = 0.2
            task = asyncio.create_task(environment.run_call("a"))
            await self.wait_until(lambda: environment.service.received_by_key)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertEqual("200 repeated", await environment.run_call("b"))
            self.assertEqual(1, environment.runs)

    async def test_deadline_passes_during_the_call(self) -> None:
        """Report that a call may have run if its deadline passes meanwhile."""
        async with LedgerEnvironment(idle_seconds=5.0) as environment:
            # A busy machine must write the record before the deadline.
            environment.service.work_seconds = 1.5
            self.assertEqual(
                "deadline may-have-run", await environment.run_call("a", seconds=1.0)
            )
            self.assertEqual("200 repeated", await environment.run_call("b"))
            self.assertEqual(1, environment.runs)

    async def test_large_outcome_is_recorded_completely(self) -> None:
        """Store an answer that is too large for the table as an object."""
        async with LedgerEnvironment() as environment:
            call = evolve(environment.call(), body=b"x" * 50_000)
            ledger = environment.ledgers_by_daemon["a"]
            first = await ledger.run(call)
            await ledger.drain()
            second = await ledger.run(call)
            self.assertEqual((first.body, True), (second.body, second.repeated))

    async def test_expired_records_are_removed(self) -> None:
        """Remove outcomes when expired, and calls without outcome later."""
        async with LedgerEnvironment() as environment:
            await environment.run_call("a")
            await environment.ledgers_by_daemon["a"].drain()
            environment.service.add_fault(S.SILENCE)
            call = evolve(environment.call(), key="silent")
            ledger = environment.ledgers_by_daemon["a"]
            await self.assert_refused(ledger.run(call))
            sweeper = LedgerSweeper(
                environment.platform.table, environment.platform.objects
            )
            removed = []
            for offset in (
                0.0,
                OUTCOME_RETENTION_SECONDS + 90.0,
                UNRESOLVED_RETENTION_SECONDS + 90.0,
            ):
                now = time.time() + offset
                removed.append(
                    sum([await sweeper.sweep(shard, now) for shard in range(SHARDS)])
                )
            self.assertEqual([0, 1, 1], removed)

    async def test_call_is_not_sent_if_the_deadline_passed_in_a_pause(self) -> None:
        """Refuse as not run if the process paused after the dispatch."""
        async with LedgerEnvironment() as environment:
            ledger = environment.ledgers_by_daemon["a"]
            times = iter([0.0] * 8)
            ledger._clock = lambda: next(times, 100.0)
            call = evolve(environment.call(), deadline=50.0)
            refused = await self.assert_refused(ledger.run(call))
            self.assertEqual("deadline not-run", refused)
            self.assertEqual(0, environment.runs)

    async def assert_refused(self, awaitable: Awaitable) -> str:
        try:
            await awaitable
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        return self.fail("was not refused")
