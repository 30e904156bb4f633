"""Check the outcome of the callers' work."""

from ..records import DrillRecords, Ending, Work, WorkKind
from ..upstreams import UpstreamReports
from ..verdicts import Verdict

ANSWERED_KINDS = (WorkKind.CHAT, WorkKind.LABEL)


def check_whole_answers(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that each chat and label got its own complete answer."""
    asked = _of_kinds(records, *ANSWERED_KINDS)
    violations = [
        f"{work.work_id}: {_last_attempt_summary(work)}"
        for work in asked
        if work.result != work.expected
    ]
    return Verdict("every chat got its whole answer", len(asked), tuple(violations))


def check_own_answers(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that callers received only text from their own answers.

    Each attempt's text must be a prefix of the expected answer.
    """
    attempts = [
        (work, attempt)
        for work in _of_kinds(records, *ANSWERED_KINDS)
        for attempt in work.attempts
        if attempt.text
    ]
    violations = tuple(
        f"{attempt.request_id} at {attempt.address}: {attempt.text[-40:]!r}"
        for work, attempt in attempts
        if not work.expected.startswith(attempt.text)
    )
    promise = "no caller got text of another's answer, or repeated text"
    return Verdict(promise, len(attempts), violations)


def check_orders(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no order ran twice, and that each confirmed order ran."""
    orders = _of_kinds(records, WorkKind.ORDER)
    runs = upstreams.runs_by_key()
    violations = []
    for order in orders:
        ran = runs[order.work_id]
        if ran > 1:
            violations.append(f"{order.work_id} ran {ran} times")
        if order.result is not None and ran == 0:
            violations.append(f"{order.work_id} was confirmed and never ran")
    return Verdict("every order ran at most once", len(orders), tuple(violations))


def check_repeats(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that all confirmations of an order have the same text."""
    confirmations = [
        (order, {a.text for a in order.attempts if a.ending is Ending.WHOLE})
        for order in _of_kinds(records, WorkKind.ORDER)
    ]
    confirmed = [pair for pair in confirmations if pair[1]]
    violations = tuple(
        f"{order.work_id}: {sorted(texts)}"
        for order, texts in confirmed
        if len(texts) > 1
    )
    promise = "repeats of an order had the recorded outcome"
    return Verdict(promise, len(confirmed), violations)


def check_not_run(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that requests refused as not run never ran."""
    starts = upstreams.starts_by_request_id()
    runs = upstreams.runs_by_key()
    cases = 0
    violations = []
    for work in records.work:
        if work.kind is WorkKind.ORDER:
            cases += work.is_known_not_run
            if work.is_known_not_run and runs[work.work_id]:
                violations.append(
                    f"order {work.work_id} was refused as not run, but it ran"
                )
            continue
        for attempt in work.attempts:
            cases += attempt.run == "not-run"
            if attempt.run == "not-run" and starts[attempt.request_id]:
                violations.append(
                    f"{attempt.request_id} was refused as not run, but it ran: "
                    f"{attempt.reason}"
                )
    return Verdict("a refusal that says not run is true", cases, tuple(violations))


def check_plans(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that each accepted plan finished with the expected result."""
    accepted = [w for w in _of_kinds(records, WorkKind.PLAN) if w.accepted]
    violations = tuple(
        f"{work.work_id}: {'no result' if work.result is None else 'wrong result'}"
        for work in accepted
        if work.result != work.expected
    )
    return Verdict("no accepted plan was lost", len(accepted), violations)


def _of_kinds(records: DrillRecords, *kinds: WorkKind) -> list[Work]:
    return [work for work in records.work if work.kind in kinds]


def _last_attempt_summary(work: Work) -> str:
    if not work.attempts:
        return "no attempt was made"
    last = work.attempts[-1]
    return f"{len(work.attempts)} attempts, last {last.ending.value} {last.reason}"
