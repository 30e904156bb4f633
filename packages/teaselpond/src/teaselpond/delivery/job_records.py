"""Describe the table records of durable jobs."""

import enum
from typing import Any

import cattrs
from attrs import evolve, field, frozen

from .records import digest_parts

JOBS_PREFIX = "jobs/"


class JobState(enum.Enum):
    """Name the states of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"

    @property
    def ended(self) -> bool:
        """Return whether the job is done or failed for good."""
        return self in (JobState.DONE, JobState.FAILED)


@frozen
class JobRequest:
    """Hold a job as submitted by its caller."""

    workspace: str
    job_id: str
    body: bytes = field(repr=False)

    @property
    def fingerprint(self) -> str:
        """Return the digest of the body."""
        return digest_parts(self.body)


@frozen
class JobRecord:
    """Hold the state of a job; times are wall-clock seconds.

    ``fence`` is incremented by each claim. ``holder`` is the incarnation of
    the daemon that runs the job. ``progress`` counts events of the answer.
    A waiting job isn't claimed before ``not_before``. ``result`` is the name
    of the object with the result.
    """

    state: JobState
    workspace: str
    fingerprint: str
    created_at: float
    fence: int = 0
    holder: str = ""
    progress: int = 0
    not_before: float = 0.0
    failures: int = 0
    result: str = ""
    reason: str = ""
    ended_at: float = 0.0
    fetched_at: float = 0.0

    def claimed(self, holder: str) -> "JobRecord":
        """Return a copy that is claimed by a daemon under the next fence."""
        return evolve(
            self,
            state=JobState.RUNNING,
            holder=holder,
            fence=self.fence + 1,
            progress=0,
        )

    def released(self, not_before: float, failed: bool) -> "JobRecord":
        """Return a copy that waits for a claim from ``not_before`` on.

        ``failed`` counts the ended claim as a failure.
        """
        return evolve(
            self,
            state=JobState.WAITING,
            holder="",
            not_before=not_before,
            failures=self.failures + failed,
        )


@frozen
class VersionedJob:
    """Hold a job's record with the table version at which it was written."""

    job_id: str
    record: JobRecord
    version: int

    @property
    def key(self) -> str:
        """Return the job's table key."""
        return job_key(self.job_id)

    @property
    def input_name(self) -> str:
        """Return the name of the object with the job's body."""
        return input_name(self.job_id, self.record.fingerprint)


def make_job_id(workspace: str, key: str) -> str:
    """Return the job id for a workspace's idempotency key."""
    return digest_parts(workspace, key)


def job_key(job_id: str) -> str:
    """Return a job's table key."""
    return JOBS_PREFIX + job_id


def input_name(job_id: str, fingerprint: str) -> str:
    """Return the name of the object with a job's body.

    The name includes the body's fingerprint, so a different body under the
    same id can't overwrite the first one.
    """
    return f"{JOBS_PREFIX}{job_id}/input-{fingerprint}"


def result_name(job_id: str, fence: int) -> str:
    """Return the name of the object with the result of one claim."""
    return f"{JOBS_PREFIX}{job_id}/result-{fence}"


def structure_job(value: Any) -> JobRecord:
    """Read a job's record from its JSON value."""
    return cattrs.structure(value, JobRecord)


def unstructure_job(record: JobRecord) -> Any:
    """Return a job's record as a JSON value."""
    return cattrs.unstructure(record)
