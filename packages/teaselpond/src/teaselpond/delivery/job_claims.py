"""Hold one claimed job, with writes that a later claim fences off."""

import asyncio

from attrs import evolve

from teaselpond_model.exceptions import StoreUnavailable

from .confirm import WriteConflict
from .job_records import JobRecord, JobState, VersionedJob, result_name, structure_job
from .job_store import JobStore
from .verdicts import RefusalCause, refuse

STORE_SECONDS = 5.0


class ClaimLost(Exception):
    """Report that another daemon has taken a job over."""


class JobClaim:
    """Hold one claimed job; every write is fenced by the version it knows."""

    def __init__(
        self, store: JobStore, job: VersionedJob, retry_seconds: float
    ) -> None:
        self.job = job
        self.lost = False
        self._store = store
        self._retry_seconds = retry_seconds

    async def load_input(self) -> bytes:
        """Return the job's body, however long the store is away."""
        while True:
            try:
                content = await self._store.objects.get(self.job.input_name)
                break
            except StoreUnavailable:
                await asyncio.sleep(self._retry_seconds)
        if content is None:
            raise refuse(RefusalCause.JOB_INPUT_MISSING)
        return content

    async def note(self, progress: int) -> None:
        """Write progress down; raise JobLost. An outage is let pass."""
        if progress == self.job.record.progress:
            return
        try:
            await self._write(evolve(self.job.record, progress=progress))
        except StoreUnavailable:
            return

    async def finish(self, content: bytes) -> None:
        """Store a result, however long the store is away, unless it's late.

        The object's name holds the fence, so that a holder that was taken
        over can't overwrite its successor's result.
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
        await self.settle(record)

    async def settle(self, record: JobRecord) -> None:
        """Write the end of this claim, however long the store is away."""
        while not self.lost:
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
                self._store.clock() + STORE_SECONDS,
            )
            if isinstance(result, VersionedJob):
                self.job = result
                return
            found = self._found(result)
            if found is None or not self._is_own(found.record):
                self.lost = True
                raise ClaimLost(self.job.job_id)
            # An earlier write of this claim, whose answer was lost.
            self.job = found

    def _found(self, overtaken: WriteConflict) -> VersionedJob | None:
        entry = overtaken.entry
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
