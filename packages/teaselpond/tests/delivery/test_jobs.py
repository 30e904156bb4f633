"""Lose daemons, engines and the store while jobs run."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from teaselpond.delivery.job_records import JobState
from teaselpond.delivery.job_store import FETCHED_RETENTION_SECONDS, JobStore
from teaselpond.delivery.jobs import JobScheduler, JobSettings, JobStatus
from teaselpond.delivery.verdicts import RefusalCause, refuse
from teaselpond.exceptions import Refused
from teaselpond_standins.faults import FOREVER
from teaselpond_standins.platform import (
    MemoryObjects,
    MemoryTable,
    PlatformFaultKind,
    PlatformFaults,
)
from teaselpond_standins.testing import AsyncTestCase

SETTINGS = JobSettings(progress_seconds=0.02, retry_seconds=0.01, max_running=4)
P = PlatformFaultKind


class Work:
    """Run jobs under the test's control, and count them by daemon."""

    def __init__(self) -> None:
        self.runs_by_body: Counter[bytes] = Counter()
        self.go_on = asyncio.Event()
        self.refusals: list[Refused] = []

    async def run(
        self, job_id: str, workspace: str, body: bytes, report: Callable[[int], None]
    ) -> bytes:
        self.runs_by_body[body] += 1
        number = self.runs_by_body[body]
        report(number)
        await self.go_on.wait()
        if self.refusals:
            raise self.refusals.pop()
        return b"plan %d of " % number + body


class Liveness:
    """Tell which daemons are alive."""

    def __init__(self) -> None:
        self.dead: set[str] = set()

    def is_alive(self, daemon: str) -> bool:
        return daemon not in self.dead


class JobTests(AsyncTestCase):
    """Check that an accepted job comes to one result, whatever fails."""

    def setUp(self) -> None:
        super().setUp()
        self.faults = PlatformFaults()
        self.table = MemoryTable(self.faults)
        self.objects = MemoryObjects(self.faults)
        self.liveness = Liveness()
        self.now = 1000.0

    def make(self, daemon: str, work: Work, **settings: float) -> JobScheduler:
        """Return the jobs of one daemon."""
        store = JobStore(self.table, self.objects, wall_clock=lambda: self.now)
        return JobScheduler(
            self.table,
            self.objects,
            work,
            self.liveness,
            daemon=daemon,
            settings=SETTINGS,
            random_source=random.Random(daemon),
            store=store,
        )

    async def wait_for(
        self, jobs: JobScheduler, job: JobStatus, state: JobState
    ) -> JobStatus:
        """Wait until a job is in a state, however long the store is away."""
        for _ in range(500):
            status = await jobs.status("w", job.job_id)
            if status.state is state:
                return status
            await asyncio.sleep(0.01)
        return self.fail(f"job stays {status}")

    async def test_job_runs_and_its_result_is_kept(self) -> None:
        """Run one job, show its progress, and keep its result for a time."""
        work = Work()
        one, other = self.make("a", work), self.make("b", work)
        job = await one.submit("w", "k", b"feet")
        self.assertEqual(JobState.RUNNING, job.state)
        self.assertIsNone(await other.fetch("w", job.job_id))
        await self.wait_until(lambda: work.runs_by_body[b"feet"])
        self.assertEqual(1, (await one.status("w", job.job_id)).progress)
        await asyncio.sleep(0.05)
        self.assertEqual(1, (await other.status("w", job.job_id)).progress)
        work.go_on.set()
        await self.wait_for(other, job, JobState.DONE)
        for _ in range(2):
            self.assertEqual(b"plan 1 of feet", await other.fetch("w", job.job_id))
        self.now += FETCHED_RETENTION_SECONDS
        await other.scan()
        await other.scan()
        refused = await self._refusal(other.status("w", job.job_id))
        self.assertEqual("not-found may-have-run", refused)

    async def test_repeats_and_strangers(self) -> None:
        """Give a repeat the same job; refuse another body and workspace."""
        work = Work()
        one = self.make("a", work)
        job = await one.submit("w", "k", b"feet")
        again = await self.make("b", work).submit("w", "k", b"feet")
        self.assertEqual(job.job_id, again.job_id)
        for awaitable, wanted in (
            (one.submit("w", "k", b"other"), "key-reused not-run"),
            (one.status("x", job.job_id), "not-found may-have-run"),
            (one.fetch("x", job.job_id), "not-found may-have-run"),
            (one.status("w", "../hosts"), "not-found may-have-run"),
        ):
            self.assertEqual(wanted, await self._refusal(awaitable))
        work.go_on.set()
        await self.wait_for(one, job, JobState.DONE)
        self.assertEqual({b"feet": 1}, work.runs_by_body)

    async def test_refused_submissions(self) -> None:
        """Say "not run" only when the job can't have been stored."""
        for kind, operation, wanted in (
            (P.REFUSE, "objects.put", "store-unavailable not-run"),
            (P.REFUSE, "table.transact", "store-unavailable not-run"),
            (P.DROP, "table.*", "store-unavailable may-have-run"),
        ):
            self.faults.clear()
            self.faults.add(kind, operation)
            self.faults.add(P.REFUSE, "table.get")
            jobs = self.make("a", Work())
            times = iter(range(1000))
            jobs.store.clock = lambda times=times: float(next(times))
            self.assertEqual(wanted, await self._refusal(jobs.submit("w", "", b"x")))

    async def test_dead_daemons_job_is_taken_over(self) -> None:
        """Take over after the holder's end; a late result changes nothing."""
        paused, work = Work(), Work()
        one, other = self.make("a", paused), self.make("b", work)
        job = await one.submit("w", "k", b"feet")
        await other.scan()
        self.assertEqual(0, other.running)
        self.liveness.dead.add("a")
        await other.scan()
        self.assertEqual(1, other.running)
        work.runs_by_body[b"feet"] = 10
        work.go_on.set()
        await self.wait_for(other, job, JobState.DONE)
        # The first holder wakes from its pause and finishes late.
        paused.go_on.set()
        await self.wait_until(lambda: not one.running)
        self.assertEqual(b"plan 11 of feet", await one.fetch("w", job.job_id))

    async def test_late_holder_changes_nothing_of_its_successor(self) -> None:
        """Drop a result whose claim was taken over meanwhile."""
        paused, work = Work(), Work()
        one, other = self.make("a", paused), self.make("b", work)
        job = await one.submit("w", "k", b"feet")
        self.liveness.dead.add("a")
        await other.scan()
        paused.go_on.set()
        await self.wait_until(lambda: not one.running)
        self.assertEqual(JobState.RUNNING, (await one.status("w", job.job_id)).state)
        work.go_on.set()
        await self.wait_for(one, job, JobState.DONE)

    async def test_planned_stop_hands_jobs_over(self) -> None:
        """Give a leaving daemon's job to another one at once."""
        first, work = Work(), Work()
        one, other = self.make("a", first), self.make("b", work)
        job = await one.submit("w", "k", b"feet")
        await self.wait_until(lambda: first.runs_by_body)
        await one.release_running()
        self.assertEqual(JobState.WAITING, (await one.status("w", job.job_id)).state)
        await one.scan()
        self.assertEqual(0, one.running)
        await other.scan()
        work.go_on.set()
        await self.wait_for(other, job, JobState.DONE)

    async def test_refused_work_is_tried_again(self) -> None:
        """Try again after an overload, and not after a final refusal."""
        work = Work()
        work.go_on.set()
        work.refusals = [refuse(RefusalCause.ADMISSION_REFUSED)]
        jobs = self.make("a", work)
        job = await jobs.submit("w", "k", b"feet")
        await self.wait_for(jobs, job, JobState.WAITING)
        self.now += 1.0
        await jobs.scan()
        await self.wait_for(jobs, job, JobState.DONE)
        work.refusals = [refuse(RefusalCause.QUARANTINED)]
        job = await jobs.submit("w", "k2", b"poison")
        status = await self.wait_for(jobs, job, JobState.FAILED)
        self.assertEqual("quarantined", status.reason)

    async def test_store_outage_after_acceptance(self) -> None:
        """Keep a result until the store is back."""
        for kind, operation in (
            (P.REFUSE, "objects.put"),
            (P.REFUSE, "table.transact"),
            (P.LOSE_ANSWER, "table.transact"),
            (P.LOSE_ANSWER, "objects.put"),
        ):
            work = Work()
            jobs = self.make("a", work)
            job = await jobs.submit("w", f"{kind}{operation}", b"feet")
            self.faults.add(kind, operation, count=3)
            work.go_on.set()
            await self.wait_for(jobs, job, JobState.DONE)
            self.faults.clear()
            self.assertEqual(b"plan 1 of feet", await jobs.fetch("w", job.job_id))

    async def test_progress_whose_answer_was_lost_does_not_lose_the_job(self) -> None:
        """Know its own write again when only the answer was lost."""
        work = Work()
        jobs = self.make("a", work)
        job = await jobs.submit("w", "k", b"feet")
        self.faults.add(P.LOSE_ANSWER, "table.transact", count=1)
        self.faults.add(P.REFUSE, "table.get", count=FOREVER)
        await asyncio.sleep(0.1)
        self.faults.clear()
        work.go_on.set()
        await self.wait_for(jobs, job, JobState.DONE)
        self.assertEqual({b"feet": 1}, work.runs_by_body)

    async def test_waiting_jobs_do_not_stampede(self) -> None:
        """Claim few jobs a scan, and each job once."""
        work = Work()
        full = self.make("full", work)
        for number in range(40):
            await full.submit("w", str(number), b"%d" % number)
        self.assertEqual(4, full.running)
        daemons = [self.make(f"d{number}", work) for number in range(5)]
        writes = self.faults.writes
        await asyncio.gather(*(daemon.scan() for daemon in daemons))
        claimed = sum(daemon.running for daemon in daemons)
        self.assertLessEqual(claimed, 10)
        self.assertLessEqual(self.faults.writes - writes, 10)
        work.go_on.set()
        for _ in range(30):
            await asyncio.gather(*(daemon.scan() for daemon in daemons))
            await asyncio.sleep(0.01)
        self.assertEqual({1}, set(work.runs_by_body.values()))
        self.assertEqual(40, len(work.runs_by_body))

    async def _refusal(self, awaitable) -> str:
        try:
            await awaitable
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        return "served"
