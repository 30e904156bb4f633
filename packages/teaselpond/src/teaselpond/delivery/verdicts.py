"""Decide whether a refused request ran: the one place that does."""

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
    """Name each way a request can leave the path without its answer."""

    INPUT_INVALID = "input-invalid"
    INPUT_TOO_LARGE = "input-too-large"
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
    """Hold what an exit tells the caller, and why that is true."""

    run: Run
    reason: Reason
    status: int
    why: str


_NOT = Run.NOT_RUN
_MAY = Run.MAY_HAVE_RUN
_RAN = Run.RAN

VERDICTS: dict[RefusalCause, Verdict] = {
    RefusalCause.INPUT_INVALID: Verdict(
        _NOT, Reason.BAD_REQUEST, 400, "the request was refused while it was read"
    ),
    RefusalCause.INPUT_TOO_LARGE: Verdict(
        _NOT, Reason.TOO_LARGE, 413, "the request was refused while it was read"
    ),
    RefusalCause.CALLER_UNKNOWN: Verdict(
        _NOT, Reason.UNAUTHORIZED, 401, "the caller was not let in"
    ),
    RefusalCause.MODEL_UNKNOWN: Verdict(
        _NOT, Reason.UNKNOWN_MODEL, 404, "no slot was asked for"
    ),
    RefusalCause.SERVICE_UNKNOWN: Verdict(
        _NOT, Reason.UNKNOWN_SERVICE, 404, "no upstream was chosen"
    ),
    RefusalCause.RESOURCE_UNKNOWN: Verdict(
        _NOT, Reason.NOT_FOUND, 404, "nothing is run by looking something up"
    ),
    RefusalCause.DAEMON_NOT_READY: Verdict(
        _NOT, Reason.NOT_READY, 503, "the daemon has no configuration yet"
    ),
    RefusalCause.DAEMON_LEAVING: Verdict(
        _NOT, Reason.LEAVING, 503, "the daemon takes no new requests"
    ),
    RefusalCause.QUARANTINED: Verdict(
        _NOT, Reason.QUARANTINED, 422, "quarantined requests are not sent"
    ),
    RefusalCause.ADMISSION_REFUSED: Verdict(
        _NOT, Reason.OVERLOADED, 503, "no slot was granted, and none is kept"
    ),
    RefusalCause.NO_CANDIDATE: Verdict(
        _NOT, Reason.NO_UPSTREAM, 503, "no upstream can take the request"
    ),
    RefusalCause.DEADLINE_BEFORE_SEND: Verdict(
        _NOT, Reason.DEADLINE, 504, "the deadline passed before anything was sent"
    ),
    RefusalCause.CONNECT_FAILED: Verdict(
        _NOT,
        Reason.RETRIES_EXHAUSTED,
        503,
        "no connection was made, so none carried it",
    ),
    RefusalCause.ENGINE_REFUSED: Verdict(
        _NOT, Reason.OVERLOADED, 503, "the engine vouched that it had not started"
    ),
    RefusalCause.RETRY_BUDGET_EMPTY: Verdict(
        _NOT, Reason.RETRY_BUDGET_EMPTY, 503, "every attempt before had not run"
    ),
    RefusalCause.CALLER_GONE_BEFORE_SEND: Verdict(
        _NOT, Reason.CALLER_GONE, 499, "the caller left before anything was sent"
    ),
    RefusalCause.SEND_BROKEN: Verdict(
        _MAY, Reason.UPSTREAM_BROKEN, 502, "the connection broke after it was opened"
    ),
    RefusalCause.ANSWER_BROKEN: Verdict(
        _MAY, Reason.UPSTREAM_BROKEN, 502, "the answer was cut, crossed or malformed"
    ),
    RefusalCause.ANSWER_SILENT: Verdict(
        _MAY, Reason.UPSTREAM_SILENT, 504, "the upstream went silent after the send"
    ),
    RefusalCause.UPSTREAM_ERROR: Verdict(
        _MAY, Reason.UPSTREAM_BROKEN, 502, "an error status does not exclude a run"
    ),
    RefusalCause.DEADLINE_AFTER_SEND: Verdict(
        _MAY, Reason.DEADLINE, 504, "the deadline passed while the upstream had it"
    ),
    RefusalCause.CALLER_GONE_AFTER_SEND: Verdict(
        _MAY, Reason.CALLER_GONE, 499, "the caller left while the upstream had it"
    ),
    RefusalCause.CALLER_SLOW: Verdict(
        _RAN, Reason.CALLER_SLOW, 499, "events had come before the caller stalled"
    ),
    RefusalCause.STREAM_BROKEN: Verdict(
        _RAN, Reason.RETRIES_EXHAUSTED, 502, "events had come before the last break"
    ),
    RefusalCause.STREAM_LOST: Verdict(
        _RAN, Reason.STREAM_LOST, 410, "the token is only given with a first event"
    ),
    RefusalCause.STREAM_TOKEN_INVALID: Verdict(
        _NOT, Reason.TOKEN_INVALID, 403, "the token opened no stream"
    ),
    RefusalCause.KEY_MISSING: Verdict(
        _NOT, Reason.KEY_MISSING, 400, "a non-idempotent call needs a key"
    ),
    RefusalCause.KEY_REUSED: Verdict(
        _NOT, Reason.KEY_REUSED, 422, "this body was never sent under this key"
    ),
    RefusalCause.STORE_DOWN_BEFORE_SEND: Verdict(
        _NOT,
        Reason.STORE_UNAVAILABLE,
        503,
        "this attempt sent nothing; only an earlier one with this key may have",
    ),
    RefusalCause.CLAIM_UNKNOWN: Verdict(
        _NOT, Reason.STORE_UNAVAILABLE, 503, "a claim alone sends nothing"
    ),
    RefusalCause.DISPATCH_UNKNOWN: Verdict(
        _NOT, Reason.STORE_UNAVAILABLE, 503, "only a confirmed dispatch is sent"
    ),
    RefusalCause.KEY_IN_USE: Verdict(
        _MAY, Reason.KEY_IN_USE, 409, "another attempt holds the key and may send"
    ),
    RefusalCause.DISPATCHED_BEFORE: Verdict(
        _MAY, Reason.OUTCOME_UNKNOWN, 409, "an attempt was sent and has no outcome"
    ),
    RefusalCause.OUTCOME_UNREADABLE: Verdict(
        _RAN, Reason.STORE_UNAVAILABLE, 503, "the outcome is recorded, out of reach now"
    ),
    RefusalCause.JOB_NOT_STORED: Verdict(
        _NOT, Reason.STORE_UNAVAILABLE, 503, "a job that is not stored is not run"
    ),
    RefusalCause.JOB_STORE_UNKNOWN: Verdict(
        _MAY, Reason.STORE_UNAVAILABLE, 503, "the job may have been stored and run"
    ),
    RefusalCause.JOB_LIMIT: Verdict(
        _NOT, Reason.JOB_LIMIT, 429, "a job that is not stored is not run"
    ),
    RefusalCause.JOB_UNKNOWN: Verdict(
        _MAY, Reason.NOT_FOUND, 404, "a job that was removed after its time had run"
    ),
    RefusalCause.LOOKUP_FAILED: Verdict(
        _MAY, Reason.STORE_UNAVAILABLE, 503, "only the lookup failed, the job goes on"
    ),
    RefusalCause.JOB_INPUT_MISSING: Verdict(
        _MAY, Reason.INTERNAL, 500, "the stored body of the job is gone"
    ),
    RefusalCause.INTERNAL_BEFORE_SEND: Verdict(
        _NOT, Reason.INTERNAL, 500, "the error arose before anything was sent"
    ),
    RefusalCause.INTERNAL_AFTER_SEND: Verdict(
        _MAY, Reason.INTERNAL, 500, "the error arose after a send began"
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
    """Tell whether another try would be refused for the same reason."""
    return refused.reason in _FINAL_REASONS


_ORDER = {Run.NOT_RUN: 0, Run.MAY_HAVE_RUN: 1, Run.RAN: 2}


@define
class RunHistory:
    """Follow what is known of a request's run over all its attempts."""

    run: Run = Run.NOT_RUN
    _before_send: Run = Run.NOT_RUN

    def record_send(self) -> None:
        """Note that the request is about to be sent."""
        self._before_send = self.run
        self.run = _later(self.run, Run.MAY_HAVE_RUN)

    def record_not_run(self) -> None:
        """Note that the attempt was not sent, or its upstream vouches so."""
        self.run = self._before_send

    def record_answer(self) -> None:
        """Note that part of an answer came."""
        self.run = Run.RAN

    def apply(self, refused: Refused) -> Refused:
        """Return a refusal that also holds for the attempts before it."""
        run = _later(self.run, refused.run)
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


def _later(one: Run, other: Run) -> Run:
    return max(one, other, key=_ORDER.__getitem__)


_EXITS_BY_POLICY_REASON = {
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
    """Return the refusal that stands for one of the policy."""
    return refuse(
        _EXITS_BY_POLICY_REASON[refusal.reason],
        refusal.reason.value.replace("-", " "),
        retry_after=refusal.retry_after,
        step="admission",
    )


def refuse(
    exit_: RefusalCause,
    message: str = "",
    *,
    retry_after: float | None = None,
    alternatives: tuple[Address, ...] = (),
    step: str = "",
    peer: str = "",
) -> Refused:
    """Return the refusal of an exit, with its verdict."""
    verdict = VERDICTS[exit_]
    return Refused(
        message or verdict.why,
        reason=verdict.reason,
        run=verdict.run,
        status=verdict.status,
        retry_after=retry_after,
        alternatives=alternatives,
        step=step or exit_.value,
        peer=peer,
    )
