"""Write the record of a claimed job, unless another daemon claimed it."""

import asyncio

from attrs import evolve

from teaselpond_model.exceptions import StoreUnavailable

from .confirm import WriteConflict
from .job_records import JobRecord, JobState, VersionedJob, result_name, structure_job
from .job_store import JobStore
from .verdicts import RefusalCause, refuse

STORE_TIMEOUT_SECONDS = 5.0


class ClaimLost(Exception):
    """Signal that another daemon has claimed the job."""


class JobClaim:
    """Hold this daemon's claim of a job.

    Each write checks the record's version, so it fails once another daemon
    has claimed the job.
    """

    def __init__(
        self, store: JobStore, job: VersionedJob, retry_seconds: float
    ) -> None:
        self.job = job
        self.is_lost = False
        self._store = store
        self._retry_seconds = retry_seconds

    async def load_input(self) -> bytes:
        """Return the job's body, retrying until the store is available."""
        while True:
            try:
                content = await self._store.objects.get(self.job.input_name)
                break
            except StoreUnavailable:
                await asyncio.sleep(self._retry_seconds)
        if content is None:
            raise refuse(RefusalCause.JOB_INPUT_MISSING)
        return content

    async def write_progress(self, progress: int) -> None:
        """Write the progress, if changed; raise ClaimLost.

        A store outage is ignored: progress is only informative.
        """
        if progress == self.job.record.progress:
            return
        try:
            await self._write(evolve(self.job.record, progress=progress))
        except StoreUnavailable:
            return

    async def finish(self, content: bytes) -> None:
        """Store the result, retrying until the store is available.

        The object's name contains the fence, so a daemon that lost its
        claim can't overwrite the result of the next claim.
        """
        name = result_name(self.job.job_id, self.job.record.fence)
        while True:
            try:
                await self._store.objects.put(name, content)
                break
            except StoreUnavailable:
                await asyncio.sleep(self._retry_seconds)
        record = evolve(
            self.job.record,
            state=JobState.DONE,
            result=name,
            ended_at=self._store.wall_clock(),
        )
        await self.end_claim(record)

    async def end_claim(self, record: JobRecord) -> None:
        """Write the claim's last record, retrying unless the claim is lost."""
        while not self.is_lost:
            try:
                await self._write(record)
                return
            except ClaimLost:
                return
            except StoreUnavailable:
                await asyncio.sleep(self._retry_seconds)

    async def _write(self, record: JobRecord) -> None:
        while True:
            result = await self._store.write(
                self.job.job_id,
                record,
                self.job.version,
                self._store.clock() + STORE_TIMEOUT_SECONDS,
            )
            if isinstance(result, VersionedJob):
                self.job = result
                return
            found = self._parse_conflict(result)
            if found is None or not self._is_own(found.record):
                self.is_lost = True
                raise ClaimLost(self.job.job_id)
            # An earlier write of this claim took effect; its answer was lost.
            self.job = found

    def _parse_conflict(self, conflict: WriteConflict) -> VersionedJob | None:
        entry = conflict.entry
        if entry is None:
            return None
        return VersionedJob(self.job.job_id, structure_job(entry.value), entry.version)

    def _is_own(self, record: JobRecord) -> bool:
        own = self.job.record
        return (
            record.state is JobState.RUNNING
            and record.fence == own.fence
            and record.holder == own.holder
        )
