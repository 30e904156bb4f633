"""Check durable jobs across failures of daemons and of the store."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from teaselpond.delivery.job_records import JobState
from teaselpond.delivery.job_store import FETCHED_RETENTION_SECONDS, JobStore
from teaselpond.delivery.jobs import JobScheduler, JobSettings, JobStatus
from teaselpond.delivery.verdicts import RefusalCause, refuse
from teaselpond.exceptions import Refused
from teaselpond_standins.faults import UNLIMITED_CALLS
from teaselpond_standins.platform import (
    MemoryObjects,
    MemoryTable,
    PlatformFaultKind,
    PlatformFaults,
)
from teaselpond_standins.testing import AsyncTestCase

SETTINGS = JobSettings(progress_seconds=0.02, retry_seconds=0.01, max_running=4)
P = PlatformFaultKind


class ControlledRunner:
    """Run jobs when the test lets them, and count runs by body."""

    def __init__(self) -> None:
        self.runs_by_body: Counter[bytes] = Counter()
        self.may_finish = asyncio.Event()
        self.refusals: list[Refused] = []

    async def run(
        self, job_id: str, workspace: str, body: bytes, report: Callable[[int], None]
    ) -> bytes:
        self.runs_by_body[body] += 1
        number = self.runs_by_body[body]
        report(number)
        await self.may_finish.wait()
        if self.refusals:
            raise self.refusals.pop()
        return b"plan %d of " % number + body


class Liveness:
    """Report every daemon as alive that the test hasn't marked dead."""

    def __init__(self) -> None:
        self.dead: set[str] = set()

    def is_alive(self, daemon: str) -> bool:
        return daemon not in self.dead


class JobTests(AsyncTestCase):
    """Check that an accepted job gets one result despite failures."""

    def setUp(self) -> None:
        super().setUp()
        self.faults = PlatformFaults()
        self.table = MemoryTable(self.faults)
        self.objects = MemoryObjects(self.faults)
        self.liveness = Liveness()
        self.now = 1000.0

    def make_scheduler(
        self, daemon: str, runner: ControlledRunner, **settings: float
    ) -> JobScheduler:
        """Return the job scheduler of one daemon."""
        store = JobStore(self.table, self.objects, wall_clock=lambda: self.now)
        return JobScheduler(
            self.table,
            self.objects,
            runner,
            self.liveness,
            daemon=daemon,
            settings=SETTINGS,
            random_source=random.Random(daemon),
            store=store,
        )

    async def wait_for(
        self, scheduler: JobScheduler, job: JobStatus, state: JobState
    ) -> JobStatus:
        """Wait until a job is in a state; fail after 500 checks."""
        for _ in range(500):
            status = await scheduler.status("w", job.job_id)
            if status.state is state:
                return status
            await asyncio.sleep(0.01)
        return self.fail(f"expected the job to become {state}, got {status}")

    async def test_job_runs_and_its_result_is_retained(self) -> None:
        """Run a job, show its progress, and remove its result when expired."""
        runner = ControlledRunner()
        first, other = (
            self.make_scheduler("a", runner),
            self.make_scheduler("b", runner),
        )
        job = await first.submit("w", "k", b"feet")
        self.assertEqual(JobState.RUNNING, job.state)
        self.assertIsNone(await other.fetch("w", job.job_id))
        await self.wait_until(lambda: runner.runs_by_body[b"feet"])
        self.assertEqual(1, (await first.status("w", job.job_id)).progress)
        await asyncio.sleep(0.05)
        self.assertEqual(1, (await other.status("w", job.job_id)).progress)
        runner.may_finish.set()
        await self.wait_for(other, job, JobState.DONE)
        for _ in range(2):
            self.assertEqual(b"plan 1 of feet", await other.fetch("w", job.job_id))
        self.now += FETCHED_RETENTION_SECONDS
        await other.scan()
        await other.scan()
        refused = await self._get_refusal(other.status("w", job.job_id))
        self.assertEqual("not-found may-have-run", refused)

    async def test_repeated_and_foreign_requests(self) -> None:
        """Return the same job to a repeat; refuse other bodies, workspaces."""
        runner = ControlledRunner()
        first = self.make_scheduler("a", runner)
        job = await first.submit("w", "k", b"feet")
        again = await self.make_scheduler("b", runner).submit("w", "k", b"feet")
        self.assertEqual(job.job_id, again.job_id)
        for awaitable, expected in (
            (first.submit("w", "k", b"other"), "key-reused not-run"),
            (first.status("x", job.job_id), "not-found may-have-run"),
            (first.fetch("x", job.job_id), "not-found may-have-run"),
            (first.status("w", "../hosts"), "not-found may-have-run"),
        ):
            self.assertEqual(expected, await self._get_refusal(awaitable))
        runner.may_finish.set()
        await self.wait_for(first, job, JobState.DONE)
        self.assertEqual({b"feet": 1}, runner.runs_by_body)

    async def test_refused_submissions(self) -> None:
        """Report "not-run" only if the job can't have been stored."""
        for kind, operation, expected in (
            (P.REFUSE, "objects.put", "store-unavailable not-run"),
            (P.REFUSE, "table.transact", "store-unavailable not-run"),
            (P.DROP, "table.*", "store-unavailable may-have-run"),
        ):
            self.faults.clear()
            self.faults.add(kind, operation)
            self.faults.add(P.REFUSE, "table.get")
            scheduler = self.make_scheduler("a", ControlledRunner())
            times = iter(range(1000))
            scheduler.store.clock = lambda times=times: float(next(times))
            self.assertEqual(
                expected, await self._get_refusal(scheduler.submit("w", "", b"x"))
            )

    async def test_dead_daemons_job_is_taken_over(self) -> None:
        """Take over a dead daemon's job; ignore that daemon's late result."""
        paused_runner, runner = ControlledRunner(), ControlledRunner()
        first, other = (
            self.make_scheduler("a", paused_runner),
            self.make_scheduler("b", runner),
        )
        job = await first.submit("w", "k", b"feet")
        await other.scan()
        self.assertEqual(0, other.running)
        self.liveness.dead.add("a")
        await other.scan()
        self.assertEqual(1, other.running)
        runner.runs_by_body[b"feet"] = 10
        runner.may_finish.set()
        await self.wait_for(other, job, JobState.DONE)
        # The first holder resumes after its pause and finishes late.
        paused_runner.may_finish.set()
        await self.wait_until(lambda: not first.running)
        self.assertEqual(b"plan 11 of feet", await first.fetch("w", job.job_id))

    async def test_late_result_does_not_end_the_next_claim(self) -> None:
        """Discard a result whose claim was taken over meanwhile."""
        paused_runner, runner = ControlledRunner(), ControlledRunner()
        first, other = (
            self.make_scheduler("a", paused_runner),
            self.make_scheduler("b", runner),
        )
        job = await first.submit("w", "k", b"feet")
        self.liveness.dead.add("a")
        await other.scan()
        paused_runner.may_finish.set()
        await self.wait_until(lambda: not first.running)
        self.assertEqual(JobState.RUNNING, (await first.status("w", job.job_id)).state)
        runner.may_finish.set()
        await self.wait_for(first, job, JobState.DONE)

    async def test_planned_stop_releases_jobs(self) -> None:
        """Release a stopping daemon's job for another one immediately."""
        first_runner, runner = ControlledRunner(), ControlledRunner()
        first, other = (
            self.make_scheduler("a", first_runner),
            self.make_scheduler("b", runner),
        )
        job = await first.submit("w", "k", b"feet")
        await self.wait_until(lambda: first_runner.runs_by_body)
        await first.release_running()
        self.assertEqual(JobState.WAITING, (await first.status("w", job.job_id)).state)
        await first.scan()
        self.assertEqual(0, first.running)
        await other.scan()
        runner.may_finish.set()
        await self.wait_for(other, job, JobState.DONE)

    async def test_refused_work_is_retried(self) -> None:
        """Retry after an overload, but not after a final refusal."""
        runner = ControlledRunner()
        runner.may_finish.set()
        runner.refusals = [refuse(RefusalCause.ADMISSION_REFUSED)]
        scheduler = self.make_scheduler("a", runner)
        job = await scheduler.submit("w", "k", b"feet")
        await self.wait_for(scheduler, job, JobState.WAITING)
        self.now += 1.0
        await scheduler.scan()
        await self.wait_for(scheduler, job, JobState.DONE)
        runner.refusals = [refuse(RefusalCause.QUARANTINED)]
        job = await scheduler.submit("w", "k2", b"poison")
        status = await self.wait_for(scheduler, job, JobState.FAILED)
        self.assertEqual("quarantined", status.reason)

    async def test_store_outage_after_acceptance(self) -> None:
        """Retry storing a result until the store is available again."""
        for kind, operation in (
            (P.REFUSE, "objects.put"),
            (P.REFUSE, "table.transact"),
            (P.LOSE_ANSWER, "table.transact"),
            (P.LOSE_ANSWER, "objects.put"),
        ):
            runner = ControlledRunner()
            scheduler = self.make_scheduler("a", runner)
            job = await scheduler.submit("w", f"{kind}{operation}", b"feet")
            self.faults.add(kind, operation, count=3)
            runner.may_finish.set()
            await self.wait_for(scheduler, job, JobState.DONE)
            self.faults.clear()
            self.assertEqual(b"plan 1 of feet", await scheduler.fetch("w", job.job_id))

    async def test_lost_answer_to_a_progress_write_keeps_the_claim(self) -> None:
        """Recognise the daemon's own write if only the answer was lost."""
        runner = ControlledRunner()
        scheduler = self.make_scheduler("a", runner)
        job = await scheduler.submit("w", "k", b"feet")
        self.faults.add(P.LOSE_ANSWER, "table.transact", count=1)
        self.faults.add(P.REFUSE, "table.get", count=UNLIMITED_CALLS)
        await asyncio.sleep(0.1)
        self.faults.clear()
        runner.may_finish.set()
        await self.wait_for(scheduler, job, JobState.DONE)
        self.assertEqual({b"feet": 1}, runner.runs_by_body)

    async def test_waiting_jobs_do_not_stampede(self) -> None:
        """Claim few jobs per scan, and each job only once."""
        runner = ControlledRunner()
        full_scheduler = self.make_scheduler("full", runner)
        for number in range(40):
            await full_scheduler.submit("w", str(number), b"%d" % number)
        self.assertEqual(4, full_scheduler.running)
        daemons = [self.make_scheduler(f"d{number}", runner) for number in range(5)]
        writes = self.faults.writes
        await asyncio.gather(*(daemon.scan() for daemon in daemons))
        claimed = sum(daemon.running for daemon in daemons)
        self.assertLessEqual(claimed, 10)
        self.assertLessEqual(self.faults.writes - writes, 10)
        runner.may_finish.set()
        for _ in range(30):
            await asyncio.gather(*(daemon.scan() for daemon in daemons))
            await asyncio.sleep(0.01)
        self.assertEqual({1}, set(runner.runs_by_body.values()))
        self.assertEqual(40, len(runner.runs_by_body))

    async def _get_refusal(self, awaitable) -> str:
        try:
            await awaitable
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        return "served"
