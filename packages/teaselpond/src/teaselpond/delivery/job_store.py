"""Store durable jobs in the platform's table and object store."""

import asyncio
import time
import uuid
from collections.abc import Callable

from attrs import evolve

from teaselpond_model.contracts import Check, Delete, ObjectStore, TableService
from teaselpond_model.exceptions import (
    StoreOutcomeUnknown,
    StoreUnavailable,
    TransactionConflict,
)

from ..exceptions import Refused
from .confirm import WriteConflict, write_confirmed
from .job_records import (
    JobRecord,
    JobRequest,
    JobState,
    VersionedJob,
    input_name,
    job_key,
    make_job_id,
    structure_job,
    unstructure_job,
)
from .verdicts import RefusalCause, refuse

WRITE_TIMEOUT_SECONDS = 5.0
RETRY_SECONDS = 0.1
STORE_RETRY_AFTER_SECONDS = 2.0
FETCHED_RETENTION_SECONDS = 3600.0
UNFETCHED_RETENTION_SECONDS = 7 * 24 * 3600.0
MAX_JOB_ID_CHARACTERS = 64


class JobStore:
    """Read and write jobs in the platform's table and object store."""

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock
        self.wall_clock = wall_clock

    async def submit(
        self, workspace: str, key: str, body: bytes, holder: str = ""
    ) -> VersionedJob:
        """Store a job and return it, or the job already stored for the key.

        If ``holder`` is given, the same write claims the job for it. Raise
        Refused.
        """
        job_id = make_job_id(workspace, key or uuid.uuid4().hex)
        request = JobRequest(workspace, job_id, body)
        record = JobRecord(
            JobState.WAITING, workspace, request.fingerprint, self.wall_clock()
        )
        if holder:
            record = record.claimed(holder)
        deadline = self.clock() + WRITE_TIMEOUT_SECONDS
        await self._store_input(request, deadline)
        try:
            result = await self.write(job_id, record, 0, deadline)
        except StoreOutcomeUnknown as error:
            raise refuse(
                RefusalCause.JOB_STORE_UNKNOWN, retry_after=STORE_RETRY_AFTER_SECONDS
            ) from error
        except StoreUnavailable as error:
            raise _make_not_stored_refusal() from error
        if isinstance(result, VersionedJob):
            return result
        return self._find_repeated(request, result)

    async def _store_input(self, request: JobRequest, deadline: float) -> None:
        name = input_name(request.job_id, request.fingerprint)
        while True:
            try:
                await self.objects.put(name, request.body)
                return
            except StoreUnavailable as error:
                # Giving up is safe: an input without a record is never run.
                if self.clock() + RETRY_SECONDS >= deadline:
                    raise _make_not_stored_refusal() from error
            await asyncio.sleep(RETRY_SECONDS)

    def _find_repeated(
        self, request: JobRequest, conflict: WriteConflict
    ) -> VersionedJob:
        entry = conflict.entry
        if entry is None:
            raise _make_not_stored_refusal()
        record = structure_job(entry.value)
        if record.fingerprint != request.fingerprint:
            raise refuse(RefusalCause.KEY_REUSED)
        return VersionedJob(request.job_id, record, entry.version)

    async def write(
        self, job_id: str, record: JobRecord, expected_version: int, deadline: float
    ) -> VersionedJob | WriteConflict:
        """Write a record by compare-and-set; raise like write_confirmed."""
        result = await write_confirmed(
            self.table,
            job_key(job_id),
            unstructure_job(record),
            expected_version=expected_version,
            is_own=lambda value: structure_job(value) == record,
            deadline=deadline,
            clock=self.clock,
        )
        if isinstance(result, WriteConflict):
            return result
        return VersionedJob(job_id, record, result.version)

    async def load(self, workspace: str, job_id: str) -> VersionedJob:
        """Return a job of a workspace; raise Refused."""
        if not job_id.isalnum() or len(job_id) > MAX_JOB_ID_CHARACTERS:
            raise refuse(RefusalCause.JOB_UNKNOWN)
        try:
            entry = await self.table.get(job_key(job_id))
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.LOOKUP_FAILED, retry_after=STORE_RETRY_AFTER_SECONDS
            ) from error
        if entry is None:
            raise refuse(RefusalCause.JOB_UNKNOWN)
        record = structure_job(entry.value)
        if record.workspace != workspace:
            # Don't reveal that a job of another workspace exists.
            raise refuse(RefusalCause.JOB_UNKNOWN)
        return VersionedJob(job_id, record, entry.version)

    async def fetch_result(self, job: VersionedJob) -> bytes:
        """Return the result of a finished job; raise Refused."""
        try:
            content = await self.objects.get(job.record.result)
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.LOOKUP_FAILED, retry_after=STORE_RETRY_AFTER_SECONDS
            ) from error
        if content is None:
            raise refuse(RefusalCause.JOB_UNKNOWN)
        return content

    async def mark_fetched(self, job: VersionedJob) -> None:
        """Record that a result was fetched, which shortens its retention."""
        if job.record.fetched_at:
            return
        record = evolve(job.record, fetched_at=self.wall_clock())
        try:
            await self.write(
                job.job_id, record, job.version, self.clock() + WRITE_TIMEOUT_SECONDS
            )
        except StoreUnavailable:
            # Without the mark the result is only retained for longer.
            return

    async def remove(self, job: VersionedJob) -> None:
        """Remove an expired job, unless it changed meanwhile."""
        checks = (Check(job.key, job.version),)
        try:
            await self.table.transact(checks, (Delete(job.key),))
            await self.objects.delete(job.input_name)
            if job.record.result:
                await self.objects.delete(job.record.result)
        except (StoreUnavailable, TransactionConflict):
            return


def is_expired(record: JobRecord, now: float) -> bool:
    """Return whether an ended job may be removed; ``now`` is wall clock."""
    if not record.state.ended:
        return False
    if record.fetched_at:
        return now >= record.fetched_at + FETCHED_RETENTION_SECONDS
    return now >= record.ended_at + UNFETCHED_RETENTION_SECONDS


def _make_not_stored_refusal() -> Refused:
    return refuse(RefusalCause.JOB_NOT_STORED, retry_after=STORE_RETRY_AFTER_SECONDS)
