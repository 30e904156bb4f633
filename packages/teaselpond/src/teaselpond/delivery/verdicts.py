"""Define, for each cause of a refusal, whether the request may have run.

No other module creates a refusal or sets this.
"""

import enum

from attrs import define, frozen

from teaselpond_model.contracts import Address

from ..exceptions import Refused
from ..policy import Refusal, RefusalReason
from ..reasons import Reason, Run

__all__ = [
    "VERDICTS",
    "RefusalCause",
    "Run",
    "RunHistory",
    "Verdict",
    "is_final",
    "refuse",
    "refuse_admission",
]


class RefusalCause(enum.Enum):
    """Name each cause for which a request ends without its answer."""

    INPUT_INVALID = "input-invalid"
    INPUT_TOO_LARGE = "input-too-large"
    INPUT_SLOW = "input-slow"
    INPUT_NO_ROOM = "input-no-room"
    CALLER_UNKNOWN = "caller-unknown"
    MODEL_UNKNOWN = "model-unknown"
    SERVICE_UNKNOWN = "service-unknown"
    RESOURCE_UNKNOWN = "resource-unknown"
    DAEMON_NOT_READY = "daemon-not-ready"
    DAEMON_LEAVING = "daemon-leaving"
    QUARANTINED = "quarantined"
    ADMISSION_REFUSED = "admission-refused"
    NO_CANDIDATE = "no-candidate"
    DEADLINE_BEFORE_SEND = "deadline-before-send"
    CONNECT_FAILED = "connect-failed"
    ENGINE_REFUSED = "engine-refused"
    RETRY_BUDGET_EMPTY = "retry-budget-empty"
    CALLER_GONE_BEFORE_SEND = "caller-gone-before-send"
    SEND_BROKEN = "send-broken"
    ANSWER_BROKEN = "answer-broken"
    ANSWER_SILENT = "answer-silent"
    UPSTREAM_ERROR = "upstream-error"
    DEADLINE_AFTER_SEND = "deadline-after-send"
    CALLER_GONE_AFTER_SEND = "caller-gone-after-send"
    CALLER_SLOW = "caller-slow"
    STREAM_BROKEN = "stream-broken"
    STREAM_LOST = "stream-lost"
    STREAM_TOKEN_INVALID = "stream-token-invalid"
    KEY_MISSING = "key-missing"
    KEY_REUSED = "key-reused"
    STORE_DOWN_BEFORE_SEND = "store-down-before-send"
    CLAIM_UNKNOWN = "claim-unknown"
    DISPATCH_UNKNOWN = "dispatch-unknown"
    KEY_IN_USE = "key-in-use"
    DISPATCHED_BEFORE = "dispatched-before"
    OUTCOME_UNREADABLE = "outcome-unreadable"
    JOB_NOT_STORED = "job-not-stored"
    JOB_STORE_UNKNOWN = "job-store-unknown"
    JOB_LIMIT = "job-limit"
    JOB_UNKNOWN = "job-unknown"
    LOOKUP_FAILED = "lookup-failed"
    JOB_INPUT_MISSING = "job-input-missing"
    INTERNAL_BEFORE_SEND = "internal-before-send"
    INTERNAL_AFTER_SEND = "internal-after-send"


@frozen
class Verdict:
    """Hold what a refusal reports to the caller.

    ``message`` is the default message; it explains the value of ``run``.
    """

    run: Run
    reason: Reason
    status: int
    message: str


_NOT_RUN = Run.NOT_RUN
_MAY_HAVE_RUN = Run.MAY_HAVE_RUN
_RAN = Run.RAN

VERDICTS: dict[RefusalCause, Verdict] = {
    RefusalCause.INPUT_INVALID: Verdict(
        _NOT_RUN, Reason.BAD_REQUEST, 400, "the request was refused while it was read"
    ),
    RefusalCause.INPUT_TOO_LARGE: Verdict(
        _NOT_RUN, Reason.TOO_LARGE, 413, "the request was refused while it was read"
    ),
    RefusalCause.INPUT_SLOW: Verdict(
        _NOT_RUN, Reason.INPUT_SLOW, 408, "the request did not arrive in time"
    ),
    RefusalCause.INPUT_NO_ROOM: Verdict(
        _NOT_RUN, Reason.OVERLOADED, 503, "there was no memory to read the request"
    ),
    RefusalCause.CALLER_UNKNOWN: Verdict(
        _NOT_RUN, Reason.UNAUTHORIZED, 401, "the caller was not authenticated"
    ),
    RefusalCause.MODEL_UNKNOWN: Verdict(
        _NOT_RUN,
        Reason.UNKNOWN_MODEL,
        404,
        "the model is unknown, so no slot was requested",
    ),
    RefusalCause.SERVICE_UNKNOWN: Verdict(
        _NOT_RUN,
        Reason.UNKNOWN_SERVICE,
        404,
        "the service is unknown, so no upstream was chosen",
    ),
    RefusalCause.RESOURCE_UNKNOWN: Verdict(
        _NOT_RUN,
        Reason.NOT_FOUND,
        404,
        "the resource does not exist, and a lookup runs nothing",
    ),
    RefusalCause.DAEMON_NOT_READY: Verdict(
        _NOT_RUN, Reason.NOT_READY, 503, "the daemon has no configuration yet"
    ),
    RefusalCause.DAEMON_LEAVING: Verdict(
        _NOT_RUN,
        Reason.LEAVING,
        503,
        "the daemon is stopping and accepts no new requests",
    ),
    RefusalCause.QUARANTINED: Verdict(
        _NOT_RUN, Reason.QUARANTINED, 422, "the request is quarantined and was not sent"
    ),
    RefusalCause.ADMISSION_REFUSED: Verdict(
        _NOT_RUN, Reason.OVERLOADED, 503, "no slot was granted, and none stays reserved"
    ),
    RefusalCause.NO_CANDIDATE: Verdict(
        _NOT_RUN, Reason.NO_UPSTREAM, 503, "no upstream can take the request"
    ),
    RefusalCause.DEADLINE_BEFORE_SEND: Verdict(
        _NOT_RUN, Reason.DEADLINE, 504, "the deadline passed before anything was sent"
    ),
    RefusalCause.CONNECT_FAILED: Verdict(
        _NOT_RUN,
        Reason.RETRIES_EXHAUSTED,
        503,
        "no connection to an upstream was opened, so nothing was sent",
    ),
    RefusalCause.ENGINE_REFUSED: Verdict(
        _NOT_RUN,
        Reason.OVERLOADED,
        503,
        "the engine reported that it had not started the request",
    ),
    RefusalCause.RETRY_BUDGET_EMPTY: Verdict(
        _NOT_RUN,
        Reason.RETRY_BUDGET_EMPTY,
        503,
        "the retry budget is empty, and no earlier attempt ran",
    ),
    RefusalCause.CALLER_GONE_BEFORE_SEND: Verdict(
        _NOT_RUN,
        Reason.CALLER_GONE,
        499,
        "the caller disconnected before anything was sent",
    ),
    RefusalCause.SEND_BROKEN: Verdict(
        _MAY_HAVE_RUN,
        Reason.UPSTREAM_BROKEN,
        502,
        "the connection broke after it was opened",
    ),
    RefusalCause.ANSWER_BROKEN: Verdict(
        _MAY_HAVE_RUN,
        Reason.UPSTREAM_BROKEN,
        502,
        "the answer was incomplete, malformed or for another request",
    ),
    RefusalCause.ANSWER_SILENT: Verdict(
        _MAY_HAVE_RUN,
        Reason.UPSTREAM_SILENT,
        504,
        "the upstream stopped responding after the request was sent",
    ),
    RefusalCause.UPSTREAM_ERROR: Verdict(
        _MAY_HAVE_RUN,
        Reason.UPSTREAM_BROKEN,
        502,
        "the upstream answered with an error status and may have run it",
    ),
    RefusalCause.DEADLINE_AFTER_SEND: Verdict(
        _MAY_HAVE_RUN,
        Reason.DEADLINE,
        504,
        "the deadline passed after the request was sent",
    ),
    RefusalCause.CALLER_GONE_AFTER_SEND: Verdict(
        _MAY_HAVE_RUN,
        Reason.CALLER_GONE,
        499,
        "the caller disconnected after the request was sent",
    ),
    RefusalCause.CALLER_SLOW: Verdict(
        _RAN,
        Reason.CALLER_SLOW,
        499,
        "events had arrived before the caller stopped reading",
    ),
    RefusalCause.STREAM_BROKEN: Verdict(
        _RAN,
        Reason.RETRIES_EXHAUSTED,
        502,
        "events had arrived before the last connection broke",
    ),
    RefusalCause.STREAM_LOST: Verdict(
        _RAN,
        Reason.STREAM_LOST,
        410,
        "the stream no longer exists; its token was sent with the first event",
    ),
    RefusalCause.STREAM_TOKEN_INVALID: Verdict(
        _NOT_RUN,
        Reason.TOKEN_INVALID,
        403,
        "the token is invalid and gave access to no stream",
    ),
    RefusalCause.KEY_MISSING: Verdict(
        _NOT_RUN,
        Reason.KEY_MISSING,
        400,
        "a non-idempotent call needs an idempotency key",
    ),
    RefusalCause.KEY_REUSED: Verdict(
        _NOT_RUN,
        Reason.KEY_REUSED,
        422,
        "the key was used for another request; this one was not sent",
    ),
    RefusalCause.STORE_DOWN_BEFORE_SEND: Verdict(
        _NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        503,
        "this attempt sent nothing; only an earlier one with this key may have",
    ),
    RefusalCause.CLAIM_UNKNOWN: Verdict(
        _NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        503,
        "the claim is unconfirmed, and a claim sends nothing",
    ),
    RefusalCause.DISPATCH_UNKNOWN: Verdict(
        _NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        503,
        "the dispatch is unconfirmed, and only a confirmed one is sent",
    ),
    RefusalCause.KEY_IN_USE: Verdict(
        _MAY_HAVE_RUN,
        Reason.KEY_IN_USE,
        409,
        "another attempt holds the key and may send",
    ),
    RefusalCause.DISPATCHED_BEFORE: Verdict(
        _MAY_HAVE_RUN,
        Reason.OUTCOME_UNKNOWN,
        409,
        "an attempt was sent and has no outcome",
    ),
    RefusalCause.OUTCOME_UNREADABLE: Verdict(
        _RAN,
        Reason.STORE_UNAVAILABLE,
        503,
        "the recorded outcome can't be read at the moment",
    ),
    RefusalCause.JOB_NOT_STORED: Verdict(
        _NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        503,
        "the job could not be stored, so it is not run",
    ),
    RefusalCause.JOB_STORE_UNKNOWN: Verdict(
        _MAY_HAVE_RUN,
        Reason.STORE_UNAVAILABLE,
        503,
        "the job may have been stored and run",
    ),
    RefusalCause.JOB_LIMIT: Verdict(
        _NOT_RUN,
        Reason.JOB_LIMIT,
        429,
        "too many jobs are unfinished, so the job was not stored",
    ),
    RefusalCause.JOB_UNKNOWN: Verdict(
        _MAY_HAVE_RUN,
        Reason.NOT_FOUND,
        404,
        "the job does not exist, or was removed after it had run",
    ),
    RefusalCause.LOOKUP_FAILED: Verdict(
        _MAY_HAVE_RUN,
        Reason.STORE_UNAVAILABLE,
        503,
        "the lookup failed; the job itself is unaffected",
    ),
    RefusalCause.JOB_INPUT_MISSING: Verdict(
        _MAY_HAVE_RUN, Reason.INTERNAL, 500, "the stored body of the job does not exist"
    ),
    RefusalCause.INTERNAL_BEFORE_SEND: Verdict(
        _NOT_RUN,
        Reason.INTERNAL,
        500,
        "an internal error occurred before anything was sent",
    ),
    RefusalCause.INTERNAL_AFTER_SEND: Verdict(
        _MAY_HAVE_RUN,
        Reason.INTERNAL,
        500,
        "an internal error occurred after sending had started",
    ),
}


_FINAL_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.INTERNAL,
        Reason.QUARANTINED,
        Reason.TOO_LARGE,
        Reason.UNAUTHORIZED,
        Reason.UNKNOWN_MODEL,
    }
)


def is_final(refused: Refused) -> bool:
    """Return whether a retry would be refused for the same reason."""
    return refused.reason in _FINAL_REASONS


_RUN_ORDER = {Run.NOT_RUN: 0, Run.MAY_HAVE_RUN: 1, Run.RAN: 2}


@define
class RunHistory:
    """Track whether a request may have run, over all of its attempts."""

    run: Run = Run.NOT_RUN
    _before_send: Run = Run.NOT_RUN

    def record_send(self) -> None:
        """Record that the request is about to be sent."""
        self._before_send = self.run
        self.run = _max_run(self.run, Run.MAY_HAVE_RUN)

    def record_not_run(self) -> None:
        """Record that the last attempt didn't run.

        It was not sent, or its upstream reported that it did not run it.
        """
        self.run = self._before_send

    def record_answer(self) -> None:
        """Record that part of an answer was received."""
        self.run = Run.RAN

    def apply(self, refused: Refused) -> Refused:
        """Return a refusal whose ``run`` also covers the earlier attempts."""
        run = _max_run(self.run, refused.run)
        if run is refused.run:
            return refused
        return Refused(
            refused.message,
            reason=refused.reason,
            run=run,
            status=refused.status,
            retry_after=refused.retry_after,
            alternatives=refused.alternatives,
            step=refused.step,
            peer=refused.peer,
        )


def _max_run(one: Run, other: Run) -> Run:
    return max(one, other, key=_RUN_ORDER.__getitem__)


_CAUSES_BY_POLICY_REASON = {
    RefusalReason.DEADLINE_PASSED: RefusalCause.DEADLINE_BEFORE_SEND,
    RefusalReason.DEADLINE_OUT_OF_REACH: RefusalCause.ADMISSION_REFUSED,
    RefusalReason.NO_ENGINE: RefusalCause.NO_CANDIDATE,
    RefusalReason.ENGINES_UNAVAILABLE: RefusalCause.NO_CANDIDATE,
    RefusalReason.QUEUE_FULL: RefusalCause.ADMISSION_REFUSED,
    RefusalReason.SHED: RefusalCause.ADMISSION_REFUSED,
    RefusalReason.RETRY_BUDGET: RefusalCause.RETRY_BUDGET_EMPTY,
    RefusalReason.NOT_OWNER: RefusalCause.ADMISSION_REFUSED,
}


def refuse_admission(refusal: Refusal) -> Refused:
    """Convert a refusal of the policy to one for the caller."""
    return refuse(
        _CAUSES_BY_POLICY_REASON[refusal.reason],
        refusal.reason.value.replace("-", " "),
        retry_after=refusal.retry_after,
        step="admission",
    )


def refuse(
    cause: RefusalCause,
    message: str = "",
    *,
    retry_after: float | None = None,
    alternatives: tuple[Address, ...] = (),
    step: str = "",
    peer: str = "",
) -> Refused:
    """Return the refusal for a cause, with its verdict.

    ``message`` and ``step`` replace the defaults if given.
    """
    verdict = VERDICTS[cause]
    return Refused(
        message or verdict.message,
        reason=verdict.reason,
        run=verdict.run,
        status=verdict.status,
        retry_after=retry_after,
        alternatives=alternatives,
        step=step or cause.value,
        peer=peer,
    )
