"""Check each promise of the gateways against what was recorded in a soak."""

import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from attrs import define, field

from ..drill.records import Ending
from ..drill.verdicts import Verdict
from ..platform.operator import KEY
from ..service.listed import SeenCall
from .records import STABLE_SECONDS, Attempt, CallKind, SoakRecords
from .site import GRACE_SECONDS, STREAM_EVENTS

# The largest limits that the platform's deployments configure.
DRAIN_SECONDS = 3.0
REVOKE_SECONDS = 5.0
APPLY_SECONDS = 3.0
RETRY_RATIO = 0.2
RETRY_WINDOW_SECONDS = 10.0
RETRY_ALLOWANCE = 50.0
# An answer may come this late after the deadline, and an engine may get a
# request this late after its caller has disconnected.
LATE_TOLERANCE_SECONDS = 0.5
ALLOWED_ABANDONED_CALLS = 3
ALLOWED_STALE_ANSWERS = 3
ALLOWED_DENIALS = 5
ALLOWED_DENIAL_RATIO = 1 / 500
STOP_MARGIN_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.5
# The gateway's answer to a call whose upstream it has given up.
GIVEN_UP_STATUS = 502


@define(eq=False)
class Evidence:
    """Index the records of a soak by request id and by engine.

    ``runs_by_id`` counts how often engines ran each request.
    """

    records: SoakRecords
    calls_by_engine: dict[str, list[SeenCall]]
    runs_by_id: Counter[str]
    attempts_by_id: dict[str, Attempt] = field(init=False)
    calls_by_id: dict[str, list[tuple[str, SeenCall]]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.attempts_by_id = {
            attempt.request_id: attempt for attempt in self.records.attempts
        }
        self.calls_by_id = defaultdict(list)
        for engine_id, calls in self.calls_by_engine.items():
            for call in calls:
                if call.request_id:
                    self.calls_by_id[call.request_id].append((engine_id, call))

    def calls(self) -> Iterator[tuple[Attempt, str, SeenCall]]:
        """Yield each call to an engine with the attempt that caused it."""
        for request_id, calls in self.calls_by_id.items():
            for engine_id, call in calls:
                yield self.attempts_by_id[request_id], engine_id, call

    def was_gateway_stable(self, attempt: Attempt, until: float) -> bool:
        """Return whether an attempt's gateway was stable until a time.

        See SoakRecords.was_stable.
        """
        return self.records.was_stable(attempt.gateway, attempt.sent, until)


def check_requests_unchanged(evidence: Evidence) -> Verdict:
    """Check that engines got requests as sent, without the callers' keys."""
    breaches = []
    cases = 0
    for request_id, calls in evidence.calls_by_id.items():
        attempt = evidence.attempts_by_id.get(request_id)
        for engine_id, call in calls:
            cases += 1
            if attempt is None:
                breaches.append(f"{engine_id} got {request_id}, which nobody sent")
            elif difference := _describe_difference(attempt, call):
                breaches.append(f"{engine_id} got {request_id} with {difference}")
    return Verdict("engines get what callers sent", cases, tuple(breaches))


def check_answers(evidence: Evidence) -> Verdict:
    """Check that each successful answer is complete and of one engine."""
    successes = [each for each in evidence.records.attempts if each.is_success]
    breaches = tuple(
        f"{attempt.request_id} at {attempt.gateway}: {attempt.body[-60:]!r}"
        for attempt in successes
        if not _is_complete_and_signed(attempt)
    )
    return Verdict("a success is the engine's full answer", len(successes), breaches)


def check_cut_streams(evidence: Evidence) -> Verdict:
    """Check that a cut stream delivered a prefix of the full answer."""
    cut = [
        each
        for each in evidence.records.attempts
        if each.kind.is_stream and each.status == 200 and not each.is_success
    ]
    whole = _build_events(STREAM_EVENTS)
    breaches = tuple(
        f"{attempt.request_id}: {attempt.body!r}"
        for attempt in cut
        if not whole.startswith(attempt.body)
    )
    return Verdict("no event is missing or comes twice", len(cut), breaches)


def check_run_at_most_once(evidence: Evidence) -> Verdict:
    """Check that requests that are not idempotent ran at most once."""
    requests = _select_non_idempotent(evidence)
    breaches = tuple(
        f"{each.request_id} ran {evidence.runs_by_id[each.request_id]} times"
        for each in requests
        if evidence.runs_by_id[each.request_id] > 1
    )
    return Verdict("non-idempotent requests ran once at most", len(requests), breaches)


def check_refusals_not_run(evidence: Evidence) -> Verdict:
    """Check that requests that were refused as not run did not run.

    Requests that may run more than once are left out.
    """
    refused = [
        each for each in _select_non_idempotent(evidence) if each.promises_not_run
    ]
    breaches = tuple(
        f"{each.request_id} at {each.gateway}: {each.status}, but it ran"
        for each in refused
        if evidence.runs_by_id[each.request_id]
    )
    return Verdict("a refusal that says not run is true", len(refused), breaches)


def check_revoked_keys(evidence: Evidence) -> Verdict:
    """Check that no gateway runs a request with a revoked key.

    Gateways have REVOKE_SECONDS to apply the change.
    """
    late = [
        each
        for each in evidence.records.attempts
        if each.sent
        > evidence.records.revoked_at_by_key.get(each.key, each.sent) + REVOKE_SECONDS
    ]
    breaches = tuple(
        f"{each.request_id} at {each.gateway} ran with {each.key}"
        for each in late
        if evidence.runs_by_id[each.request_id]
    )
    promise = f"a revoked key runs nothing after {REVOKE_SECONDS:g} s"
    return Verdict(promise, len(late), breaches)


def check_denials(evidence: Evidence) -> Verdict:
    """Check that valid requests are not rejected as invalid."""
    records = evidence.records
    valid = [
        each
        for each in records.attempts
        if each.key == KEY
        or (
            each.key not in records.revoked_at_by_key
            and each.sent > records.valid_from_by_key[each.key] + APPLY_SECONDS
        )
    ]
    denied = [
        f"{each.request_id} at {each.gateway}: {each.status} with {each.key}"
        for each in valid
        if 300 <= each.status < 500
        and not each.promises_not_run
        and evidence.was_gateway_stable(each, each.ended)
    ]
    allowed = ALLOWED_DENIALS + len(valid) * ALLOWED_DENIAL_RATIO
    breaches = tuple(denied) if len(denied) > allowed else ()
    return Verdict("valid requests are not denied", len(valid), breaches)


def check_removed_engines(evidence: Evidence) -> Verdict:
    """Check that an engine gets no new requests after its removal.

    Gateways have DRAIN_SECONDS to apply the change.
    """
    breaches = []
    left_at_by_engine = evidence.records.left_at_by_engine
    cases = sum(len(times) for times in left_at_by_engine.values())
    for attempt, engine_id, call in evidence.calls():
        for left_at, back_at in left_at_by_engine.get(engine_id, ()):
            if not left_at + DRAIN_SECONDS < call.at < back_at:
                continue
            is_stable = evidence.records.was_stable(attempt.gateway, left_at, call.at)
            if is_stable and attempt.sent > left_at + DRAIN_SECONDS:
                breaches.append(
                    f"{attempt.request_id} of {attempt.gateway} reached {engine_id} "
                    f"{call.at - left_at:.1f} s after its removal"
                )
    promise = f"a removed engine gets no new request after {DRAIN_SECONDS:g} s"
    return Verdict(promise, cases, tuple(breaches))


def check_deadlines(evidence: Evidence) -> Verdict:
    """Check that every caller gets an answer by its deadline."""
    awaited = [
        each
        for each in evidence.records.attempts
        if each.gave_up_at is None
        and evidence.was_gateway_stable(
            each, each.sent + each.deadline_seconds + LATE_TOLERANCE_SECONDS
        )
    ]
    breaches = tuple(
        f"{each.request_id} at {each.gateway}: {each.ended - each.sent:.1f} s, "
        f"{each.ending.value} {each.status}"
        for each in awaited
        if each.ended - each.sent > each.deadline_seconds + LATE_TOLERANCE_SECONDS
        and each.ending is not Ending.UNREACHABLE
    )
    return Verdict("every caller is answered by its deadline", len(awaited), breaches)


def check_retry_after(evidence: Evidence) -> Verdict:
    """Check that a refusal has Retry-After if there is time for a retry."""
    refused = [
        each
        for each in evidence.records.attempts
        if each.status in (429, 503)
        and each.ended - each.sent < each.deadline_seconds - MIN_RETRY_SECONDS
    ]
    breaches = tuple(
        f"{each.request_id} at {each.gateway}: {each.status}"
        for each in refused
        if each.retry_after is None
    )
    return Verdict("a refusal says when to retry", len(refused), breaches)


def check_retry_budget(evidence: Evidence) -> Verdict:
    """Check that retries stay within the retry budget in every window."""
    sent_by_kind: dict[CallKind, list[float]] = defaultdict(list)
    retries_by_kind: dict[CallKind, list[float]] = defaultdict(list)
    for attempt in evidence.records.attempts:
        sent_by_kind[attempt.kind].append(attempt.sent)
        calls = evidence.calls_by_id.get(attempt.request_id, ())
        times = sorted(call.at for _, call in calls)
        retries_by_kind[attempt.kind] += times[1:]
    breaches = []
    for service, kinds in (
        ("model", (CallKind.STREAM, CallKind.SINGLE)),
        ("plain", (CallKind.ORDER, CallKind.STOCK)),
    ):
        sent = sorted(at for kind in kinds for at in sent_by_kind[kind])
        retries = sorted(at for kind in kinds for at in retries_by_kind[kind])
        for number, start in enumerate(retries):
            end = start + RETRY_WINDOW_SECONDS
            count = bisect.bisect_right(retries, end) - number
            allowed = RETRY_RATIO * _count_most_sent(sent, start) + RETRY_ALLOWANCE
            if count > allowed:
                breaches.append(f"{service}: {count} retries, {allowed:.0f} allowed")
    cases = sum(len(times) for times in retries_by_kind.values())
    return Verdict("retries stay within the budget", cases, tuple(breaches))


def check_abandoned_requests(evidence: Evidence) -> Verdict:
    """Check that engines get no requests of callers that disconnected."""
    abandoned = [
        each
        for each in evidence.records.attempts
        if each.gave_up_at is not None
        and evidence.was_gateway_stable(each, each.gave_up_at + LATE_TOLERANCE_SECONDS)
    ]
    late = [
        f"{each.request_id} reached {engine_id}"
        for each in abandoned
        for engine_id, call in evidence.calls_by_id.get(each.request_id, ())
        if call.at > each.gave_up_at + LATE_TOLERANCE_SECONDS
    ]
    breaches = tuple(late) if len(late) > ALLOWED_ABANDONED_CALLS else ()
    return Verdict("nothing is sent for absent callers", len(abandoned), breaches)


def check_planned_stops(evidence: Evidence) -> Verdict:
    """Check that planned stops end in time, with code 0, and cut no answer.

    An answer that another disturbance could have cut is left out.
    """
    records = evidence.records
    breaches = []
    for stop in records.stops:
        seconds = stop.ended - stop.asked
        if stop.exit_code != 0 or seconds > GRACE_SECONDS + STOP_MARGIN_SECONDS:
            breaches.append(
                f"{stop.gateway} exited with {stop.exit_code} after {seconds:.1f} s"
            )
        breaches += [
            f"{each.request_id} was cut by the stop of {stop.gateway}"
            for each in records.attempts
            if each.gateway == stop.gateway
            and each.ending is Ending.CUT
            and each.gave_up_at is None
            and stop.asked <= each.ended <= stop.ended + STOP_MARGIN_SECONDS
            and evidence.calls_by_id.get(each.request_id)
            and _is_undisturbed(evidence, each)
        ]
    return Verdict("a planned stop cuts nothing", len(records.stops), tuple(breaches))


def check_slow_engines(evidence: Evidence) -> Verdict:
    """Check that no answer is given up while its engine may send it.

    An answer that another disturbance could have cut is left out.
    """
    undisturbed = [
        each
        for each in evidence.records.attempts
        if each.gave_up_at is None
        and evidence.calls_by_id.get(each.request_id)
        and evidence.was_gateway_stable(each, each.ended)
        and _is_undisturbed(evidence, each)
    ]
    breaches = tuple(
        f"{each.request_id} at {each.gateway}: {each.ending.value} {each.status} "
        f"after {each.ended - each.sent:.1f} s"
        for each in undisturbed
        if (each.ending is Ending.CUT or each.status == GIVEN_UP_STATUS)
        and each.ended - each.sent < each.deadline_seconds - LATE_TOLERANCE_SECONDS
    )
    return Verdict("no engine is given up too early", len(undisturbed), breaches)


def check_directory(evidence: Evidence) -> Verdict:
    """Check that the directory does not return killed gateways.

    An answer is accepted if it contains killed gateways only.
    """
    records = evidence.records
    cases = 0
    stale = []
    for answer in records.answers:
        if not records.was_stable(answer.gateway, answer.at, answer.at):
            continue
        cases += 1
        since = answer.at - 2 * STABLE_SECONDS
        down = [
            name for name in answer.named if records.was_down(name, since, answer.at)
        ]
        if down and len(down) < len(answer.named):
            stale.append(f"{answer.gateway} named {', '.join(sorted(down))}")
    breaches = tuple(stale) if len(stale) > ALLOWED_STALE_ANSWERS else ()
    return Verdict("the directory names no dead gateway", cases, breaches)


def check_recovery(evidence: Evidence) -> Verdict:
    """Check that all gateways serve again after the last disturbance."""
    records = evidence.records
    breaches = [f"{name} is not ready" for name in records.unready_at_end]
    breaches += [
        f"{each.request_id} at {each.gateway}: {each.ending.value} {each.status} "
        f"{each.reason}"
        for each in records.last_attempts
        if not each.is_success
    ]
    promise = "all gateways serve after the last disturbance"
    return Verdict(promise, len(records.last_attempts), tuple(breaches))


CHECKS: tuple[Callable[[Evidence], Verdict], ...] = (
    check_requests_unchanged,
    check_answers,
    check_cut_streams,
    check_run_at_most_once,
    check_refusals_not_run,
    check_revoked_keys,
    check_denials,
    check_removed_engines,
    check_deadlines,
    check_retry_after,
    check_retry_budget,
    check_abandoned_requests,
    check_planned_stops,
    check_slow_engines,
    check_directory,
    check_recovery,
)


def run_checks(evidence: Evidence) -> tuple[Verdict, ...]:
    """Return the verdict of every check, in the order of CHECKS."""
    return tuple(check(evidence) for check in CHECKS)


def _describe_difference(attempt: Attempt, call: SeenCall) -> str:
    """Return how a call differs from its attempt, or an empty string."""
    method = "GET" if attempt.kind is CallKind.STOCK else "POST"
    body = b"" if attempt.kind is CallKind.STOCK else attempt.request_id.encode()
    workspace = "w1" if attempt.key == KEY else "w2"
    if (call.method, call.target) != (method, attempt.target):
        return f"{call.method} {call.target}"
    if call.body != body:
        return f"the body {call.body!r}"
    if "Authorization" in call.headers:
        return "the caller's key"
    if call.headers.get("X-Teaselpond-Tenant") != workspace:
        return f"workspace {call.headers.get('X-Teaselpond-Tenant')}"
    for name, value in attempt.headers.items():
        if call.headers.get(name) != value:
            return f"{name}: {call.headers.get(name)}"
    return ""


def _is_complete_and_signed(attempt: Attempt) -> bool:
    signer = attempt.seal.removeprefix("signed-by-")
    if attempt.kind.is_stream:
        return bool(signer) and attempt.body == _build_events(STREAM_EVENTS)
    method = "GET" if attempt.kind is CallKind.STOCK else "POST"
    return attempt.body == f"{method} {attempt.target} by {signer}".encode()


def _build_events(count: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: event {number}\n\n".encode()
        for number in range(1, count + 1)
    )


def _select_non_idempotent(evidence: Evidence) -> list[Attempt]:
    return [each for each in evidence.records.attempts if not each.kind.is_idempotent]


def _count_most_sent(sent: list[float], start: float) -> int:
    """Return the largest number of requests sent in a window near a time.

    The windows start at the time, half a window before and a window before.
    """
    return max(
        bisect.bisect_right(sent, begin + RETRY_WINDOW_SECONDS)
        - bisect.bisect_left(sent, begin)
        for begin in (
            start,
            start - RETRY_WINDOW_SECONDS / 2,
            start - RETRY_WINDOW_SECONDS,
        )
    )


def _is_undisturbed(evidence: Evidence, attempt: Attempt) -> bool:
    """Return whether no unplanned trouble could have cut an attempt."""
    start = attempt.sent - STABLE_SECONDS
    engines = {engine_id for engine_id, _ in evidence.calls_by_id[attempt.request_id]}
    names = {attempt.gateway, *engines}
    return not any(
        trouble.name in names
        and not trouble.is_planned
        and trouble.start <= attempt.ended
        and trouble.end >= start
        for trouble in evidence.records.troubles
    )
