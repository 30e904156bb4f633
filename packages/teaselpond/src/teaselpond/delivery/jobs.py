"""Run durable jobs to completion, across failures of daemons and engines."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from attrs import evolve, frozen

from teaselpond_model.contracts import ObjectStore, TableService
from teaselpond_model.exceptions import StoreUnavailable

from ..exceptions import Refused
from .counters import Counters, NullCounters
from .job_claims import ClaimLost, JobClaim
from .job_records import (
    JOBS_PREFIX,
    JobRecord,
    JobState,
    VersionedJob,
    structure_job,
)
from .job_store import JobStore, is_expired
from .verdicts import RefusalCause, is_final, refuse

SCAN_SECONDS = 3.0
SCAN_JITTER = 0.5
CLAIMS_PER_SCAN = 2
CLAIM_WINDOW = 16
REMOVALS_PER_SCAN = 8
MAX_RUNNING = 8
MAX_UNFINISHED = 100_000
PROGRESS_SECONDS = 5.0
RETRY_SECONDS = 1.0
RETRY_LIMIT_SECONDS = 60.0
STORE_TIMEOUT_SECONDS = 5.0
RELEASE_TIMEOUT_SECONDS = 5.0


class JobRunner(Protocol):
    """Run a job's work."""

    async def run(
        self, job_id: str, workspace: str, body: bytes, report: Callable[[int], None]
    ) -> bytes:
        """Return the result; raise Refused. Pass progress to ``report``."""


class DaemonLiveness(Protocol):
    """Report which daemons hold their leases."""

    def is_alive(self, daemon: str) -> bool:
        """Return whether a daemon's incarnation may still be running."""


@frozen
class JobStatus:
    """Hold the state of a job as shown to its caller."""

    job_id: str
    state: JobState
    progress: int
    attempts: int
    reason: str = ""


@frozen
class JobSettings:
    """Hold one daemon's limits and intervals; times are in seconds."""

    scan_seconds: float = SCAN_SECONDS
    claims_per_scan: int = CLAIMS_PER_SCAN
    max_running: int = MAX_RUNNING
    max_unfinished: int = MAX_UNFINISHED
    progress_seconds: float = PROGRESS_SECONDS
    retry_seconds: float = RETRY_SECONDS
    retry_limit_seconds: float = RETRY_LIMIT_SECONDS


class JobScheduler:
    """Accept jobs, run some of them, and take over those of dead daemons.

    ``daemon`` names this daemon's incarnation; it is the ``holder`` in the
    records of the jobs that it runs.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        runner: JobRunner,
        liveness: DaemonLiveness,
        *,
        daemon: str,
        settings: JobSettings | None = None,
        random_source: random.Random | None = None,
        counters: Counters | None = None,
        store: JobStore | None = None,
    ) -> None:
        self.store = store or JobStore(table, objects)
        self._table = table
        self._runner = runner
        self._liveness = liveness
        self._daemon = daemon
        self._settings = settings or JobSettings()
        self._random_source = random_source or random.Random()
        self._counters = counters or NullCounters()
        self._unfinished_by_id: dict[str, VersionedJob] = {}
        self._ended_by_id: dict[str, VersionedJob] = {}
        self._tasks_by_id: dict[str, asyncio.Task] = {}
        self._progress_by_id: dict[str, int] = {}
        self._seen_version = 0
        self._is_leaving = False

    # Requests of callers

    async def submit(self, workspace: str, key: str, body: bytes) -> JobStatus:
        """Store a job, start it if there is capacity, and return its state.

        The same key and body return the same job. Raise Refused.
        """
        if len(self._unfinished_by_id) >= self._settings.max_unfinished:
            raise refuse(RefusalCause.JOB_LIMIT, retry_after=RETRY_LIMIT_SECONDS)
        holder = self._daemon if self._has_capacity() else ""
        job = await self.store.submit(workspace, key, body, holder)
        self._observe(job)
        if holder and self._should_start(job):
            self._start(job)
        return self._status(job)

    async def status(self, workspace: str, job_id: str) -> JobStatus:
        """Return a job's state; raise Refused."""
        return self._status(await self.store.load(workspace, job_id))

    async def fetch(self, workspace: str, job_id: str) -> bytes | None:
        """Return a job's result, or None if it isn't done; raise Refused."""
        job = await self.store.load(workspace, job_id)
        if job.record.state is not JobState.DONE:
            return None
        content = await self.store.fetch_result(job)
        await self.store.mark_fetched(job)
        return content

    @property
    def running(self) -> int:
        """Return the number of jobs that this daemon runs."""
        return len(self._tasks_by_id)

    # Scheduling

    async def run_forever(self) -> None:
        """Scan for jobs to run until cancelled."""
        while True:
            jitter = self._random_source.uniform(1 - SCAN_JITTER, 1 + SCAN_JITTER)
            await asyncio.sleep(self._settings.scan_seconds * jitter)
            try:
                await self.scan()
            except StoreUnavailable:
                self._counters.incr("jobs.scan_failed")

    async def scan(self) -> None:
        """Read changed records, claim a few jobs, and remove expired ones.

        Raise StoreUnavailable. Each daemon claims few jobs per scan, chosen
        randomly among the oldest. This avoids a stampede after an outage, and
        daemons competing for the same job.
        """
        page = await self._table.scan(JOBS_PREFIX, self._seen_version)
        for entry in page.entries:
            job_id = entry.key.removeprefix(JOBS_PREFIX)
            if entry.value is None:
                self._drop_job(job_id)
            else:
                record = structure_job(entry.value)
                self._observe(VersionedJob(job_id, record, entry.version))
        self._seen_version = max(self._seen_version, page.version)
        now = self.store.wall_clock()
        await self._claim_ready_jobs(now)
        await self._remove_expired_jobs(now)

    async def release_running(self) -> None:
        """Stop all running jobs and release them for other daemons."""
        self._is_leaving = True
        tasks = tuple(self._tasks_by_id.values())
        for task in tasks:
            task.cancel()
        if not tasks:
            return
        # If the store is unavailable, the jobs are taken over once this
        # daemon's lease has expired.
        _, slow = await asyncio.wait(tasks, timeout=RELEASE_TIMEOUT_SECONDS)
        for task in slow:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _has_capacity(self) -> bool:
        return not self._is_leaving and self.running < self._settings.max_running

    def _should_start(self, job: VersionedJob) -> bool:
        """Return whether this daemon has claimed a job but not started it."""
        return (
            job.record.state is JobState.RUNNING
            and job.record.holder == self._daemon
            and job.job_id not in self._tasks_by_id
        )

    def _status(self, job: VersionedJob) -> JobStatus:
        record = job.record
        progress = record.progress
        if record.holder == self._daemon:
            progress = self._progress_by_id.get(job.job_id, progress)
        return JobStatus(
            job.job_id, record.state, progress, record.fence, record.reason
        )

    def _observe(self, job: VersionedJob) -> None:
        known = self._unfinished_by_id.get(job.job_id)
        if known is not None and known.version > job.version:
            return
        self._drop_job(job.job_id)
        if job.record.state.ended:
            self._ended_by_id[job.job_id] = job
        else:
            self._unfinished_by_id[job.job_id] = job

    def _drop_job(self, job_id: str) -> None:
        self._unfinished_by_id.pop(job_id, None)
        self._ended_by_id.pop(job_id, None)

    # Claiming

    async def _claim_ready_jobs(self, now: float) -> None:
        ready = [
            job
            for job in self._unfinished_by_id.values()
            if self._is_ready(job.job_id, job.record, now)
        ]
        ready.sort(key=lambda job: job.record.created_at)
        window = ready[:CLAIM_WINDOW]
        self._random_source.shuffle(window)
        for job in window[: self._settings.claims_per_scan]:
            if self._has_capacity():
                await self._claim(job)

    def _is_ready(self, job_id: str, record: JobRecord, now: float) -> bool:
        if job_id in self._tasks_by_id:
            return False
        if record.state is JobState.WAITING:
            return now >= record.not_before
        return record.holder == self._daemon or not self._liveness.is_alive(
            record.holder
        )

    async def _claim(self, job: VersionedJob) -> None:
        taken_over = job.record.state is JobState.RUNNING
        result = await self.store.write(
            job.job_id,
            job.record.claimed(self._daemon),
            job.version,
            self.store.clock() + STORE_TIMEOUT_SECONDS,
        )
        if not isinstance(result, VersionedJob):
            self._unfinished_by_id.pop(job.job_id, None)
            if result.entry is not None:
                record = structure_job(result.entry.value)
                self._observe(VersionedJob(job.job_id, record, result.entry.version))
            return
        if taken_over:
            self._counters.incr("jobs.taken_over")
        self._observe(result)
        self._start(result)

    async def _remove_expired_jobs(self, now: float) -> None:
        expired = [
            job for job in self._ended_by_id.values() if is_expired(job.record, now)
        ]
        self._random_source.shuffle(expired)
        for job in expired[:REMOVALS_PER_SCAN]:
            await self.store.remove(job)
            self._ended_by_id.pop(job.job_id, None)

    # Running

    def _start(self, job: VersionedJob) -> None:
        task = asyncio.create_task(self._run(job))
        self._tasks_by_id[job.job_id] = task
        task.add_done_callback(lambda _task: self._remove_task(job.job_id))

    def _remove_task(self, job_id: str) -> None:
        self._tasks_by_id.pop(job_id, None)
        self._progress_by_id.pop(job_id, None)

    async def _run(self, job: VersionedJob) -> None:
        claim = JobClaim(self.store, job, self._settings.retry_seconds)
        try:
            content = await self._run_with_progress(claim)
            await claim.finish(content)
        except ClaimLost:
            self._counters.incr("jobs.lost_to_another")
        except Refused as refused:
            await claim.end_claim(self._record_after_refusal(claim.job.record, refused))
        except asyncio.CancelledError:
            if not claim.is_lost:
                await claim.end_claim(claim.job.record.released(0.0, False))
            raise
        finally:
            self._observe(claim.job)

    async def _run_with_progress(self, claim: "JobClaim") -> bytes:
        """Run the work, and write its progress periodically."""
        job = claim.job
        body = await claim.load_input()

        def report(progress: int) -> None:
            self._progress_by_id[job.job_id] = progress

        work = asyncio.create_task(
            self._runner.run(job.job_id, job.record.workspace, body, report)
        )
        try:
            while True:
                done, _ = await asyncio.wait(
                    {work}, timeout=self._settings.progress_seconds
                )
                if done:
                    return work.result()
                await claim.write_progress(self._progress_by_id.get(job.job_id, 0))
        finally:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)

    def _record_after_refusal(self, record: JobRecord, refused: Refused) -> JobRecord:
        now = self.store.wall_clock()
        if is_final(refused):
            return evolve(
                record,
                state=JobState.FAILED,
                reason=refused.reason.value,
                ended_at=now,
            )
        limit = self._settings.retry_seconds * 2 ** min(record.failures, 16)
        delay = min(limit, self._settings.retry_limit_seconds)
        delay = max(delay, refused.retry_after or 0.0)
        self._counters.incr("jobs.retried")
        return record.released(
            now + self._random_source.uniform(delay / 2, delay), True
        )
