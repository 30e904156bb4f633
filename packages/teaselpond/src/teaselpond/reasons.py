"""Define the reasons for refusals and retries, and whether a request ran."""

import enum


class Run(enum.Enum):
    """State whether an upstream ran a request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Name a reason for a refusal; see ``docs/reference/reasons.md``."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    INPUT_SLOW = "input-slow"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    NOT_FOUND = "not-found"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    DEADLINE = "deadline"
    RETRIES_EXHAUSTED = "retries-exhausted"
    RETRY_BUDGET_EMPTY = "retry-budget-empty"
    UPSTREAM_BROKEN = "upstream-broken"
    UPSTREAM_SILENT = "upstream-silent"
    STREAM_LOST = "stream-lost"
    TOKEN_INVALID = "token-invalid"
    CALLER_GONE = "caller-gone"
    CALLER_SLOW = "caller-slow"
    STORE_UNAVAILABLE = "store-unavailable"
    KEY_MISSING = "key-missing"
    KEY_REUSED = "key-reused"
    KEY_IN_USE = "key-in-use"
    OUTCOME_UNKNOWN = "outcome-unknown"
    QUARANTINED = "quarantined"
    JOB_LIMIT = "job-limit"
    INTERNAL = "internal"

    @property
    def counter(self) -> str:
        """Return the name of the counter of refusals for this reason."""
        return f"refusals.{self.value.replace('-', '_')}"
