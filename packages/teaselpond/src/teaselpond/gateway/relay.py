"""Send calls to upstreams, retry failed attempts, and relay the answers."""

import asyncio
import random
from collections.abc import Callable

from attrs import define, field

from ..exceptions import UpstreamBroken
from ..timeouts import PauseAwareTimer, RunningWaits
from ..upstreams.held_answers import HeldAnswers
from ..upstreams.positions import StreamPosition
from .attempts import Attempt, OpenAttempts
from .calls import Call, Forwarding
from .codec import HeaderCodec
from .configuration import RouteType
from .crash_reports import SLOW_SECONDS, CrashReports, shortest_wait
from .event_relay import EventRelay, EventSink
from .exceptions import StreamCut
from .health import HealthTracker, Result
from .journal import Journal
from .loads import LoadTracker
from .metrics import Metrics
from .next_attempts import NextAttempts, Wait
from .overload.reports import CapacityReports
from .placement import Placement, Placer
from .progress import Progress
from .replies import RESPONSES_BY_REFUSAL, Refusal, Reply, jittered_retry_after
from .reports import AnswerReports
from .retry_budgets import RetryBudgets
from .routing_state import RoutingState
from .sending import (
    AttemptFailed,
    Sender,
    WholeAnswer,
    attempt_failure,
    check_answer,
    check_continuation,
    check_success_head,
)
from .traits import traits_of

# An answer sent at the deadline arrives up to this much later.
DEADLINE_SLACK_SECONDS = 0.12
# An attempt at a stream that may be repeated is overdue when its first event
# takes longer than this multiple of the route's latency objective.
FIRST_EVENT_TIMEOUT_FACTOR = 1.5
# How often a call whose attempts are overdue asks for another one.
ASK_AGAIN_SECONDS = 0.1
# An upstream that sheds a call does so within this time. No two upstreams may
# work on the rest of a begun stream for longer.
OVERLAP_SECONDS = 0.3
# Bounds a line of the log, as prompts may have a thousand parts.
MAX_LOGGED_PARTS = 32
# These statuses promise the caller that the call did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@define(eq=False)
class Relay:
    """Place calls on upstreams, relay answers, and retry where allowed."""

    codec: HeaderCodec
    routing_state: RoutingState
    next_attempts: NextAttempts
    placer: Placer
    sender: Sender
    reports: AnswerReports
    loads: LoadTracker
    health: HealthTracker
    crash_reports: CrashReports
    journal: Journal
    metrics: Metrics
    clock: Callable[[], float]
    host_count: Callable[[], int]
    retries: RetryBudgets
    events: EventRelay
    held_answers: HeldAnswers
    capacity_reports: CapacityReports
    rng: random.Random = field(factory=random.Random)
    running: RunningWaits = field(factory=RunningWaits)

    async def run(self, call: Call, sink: EventSink) -> Reply | None:
        """Return a call's answer, or None if it was streamed to the sink.

        Raise StreamCut if an answer has begun and cannot be completed.
        """
        progress = Progress(
            traits_of(call), StreamPosition.stated(call.head.last_event_id)
        )
        self.retries.record_request(call.service, call.arrived_at)
        self.capacity_reports.control.record_call(call, call.arrived_at)
        remaining_seconds = call.expires_at - self.clock() + DEADLINE_SLACK_SECONDS
        try:
            async with self.running.limit(max(0.0, remaining_seconds)):
                return await self._run(call, sink, progress)
        except TimeoutError:
            refusal = Refusal.TIMEOUT_UNSENT
            if self.running.has_ended:
                refusal = Refusal.STOPPED if progress.may_run else Refusal.LEAVING
            elif progress.may_run:
                refusal = Refusal.TIMEOUT_SENT
            return self._finish_with_refusal(call, sink, progress, refusal)
        finally:
            self.capacity_reports.control.forget(call)

    def refuse(
        self, refusal: Refusal, request_id: str, retry_seconds: float | None = None
    ) -> Reply:
        """Build the reply for a refusal.

        ``retry_seconds`` is when an upstream may be used again, if known.
        """
        response = RESPONSES_BY_REFUSAL[refusal]
        seconds = jittered_retry_after(response, retry_seconds, self.rng)
        headers = self.codec.encode_refusal(request_id, seconds)
        return Reply(response.status, headers, refusal.value.encode(), refusal)

    async def _run(
        self, call: Call, sink: EventSink, progress: Progress
    ) -> Reply | None:
        """Start attempts until one of them answers the call.

        While all are overdue another one is started, if it may be. Without
        one, an upstream may still answer until the call's time is over.
        """
        async with OpenAttempts() as attempts:
            while True:
                for attempt in attempts.take_ended():
                    try:
                        return attempt.result()
                    except AttemptFailed as failed:
                        self._record_failure(call, progress, attempt, failed)
                        progress.may_run = bool(progress.runs or len(attempts))
                for attempt in attempts.take_overdue():
                    self._record_overdue(call, progress, attempt)
                if not attempts.are_overdue():
                    await attempts.wait(self._end_overlap(sink, attempts))
                    continue
                step = await self.next_attempts.decide(call, progress, len(attempts))
                if isinstance(step, Placement):
                    self._start(call, sink, progress, attempts, step)
                elif isinstance(step, Wait):
                    await attempts.wait(step.seconds)
                elif attempts:
                    await attempts.wait(ASK_AGAIN_SECONDS)
                else:
                    return self._finish_with_refusal(
                        call, sink, progress, step.refusal, step.retry_seconds
                    )

    def _end_overlap(self, sink: EventSink, attempts: OpenAttempts) -> float | None:
        """Give up earlier attempts at a begun stream that was resumed.

        Return after how many seconds to do so, None if there are none.
        """
        newest = attempts.newest
        if len(attempts) < 2 or newest is None or not sink.has_begun:
            return None
        seconds = newest.sent_at + OVERLAP_SECONDS - self.clock()
        if seconds <= 0.0:
            attempts.give_up_others(newest)
            return None
        return seconds

    def _start(
        self,
        call: Call,
        sink: EventSink,
        progress: Progress,
        attempts: OpenAttempts,
        placement: Placement,
    ) -> None:
        engine = placement.record.engine
        now = self.clock()
        progress.engine_id = engine.engine_id
        progress.placements += 1
        progress.tried_ids.add(engine.engine_id)
        progress.may_run = True
        self.journal.write(
            "placed",
            now,
            id=call.head.request_id,
            route=call.route.name,
            version=call.version,
            engine=engine.engine_id,
            load=placement.load,
            mean_load=round(placement.mean_load, 2),
            candidates=placement.candidates,
            rank=placement.rank,
            prefix=call.head.prompt.affinity_key if call.head.prompt else None,
            is_held=placement.is_held,
            is_random=placement.is_random,
            load_age_seconds=round(self.loads.age_seconds(), 2),
            copy_from=placement.copy_from.engine_id if placement.copy_from else None,
            offer=progress.placements,
            overdue=len(attempts),
            heard_seconds=round(now - placement.record.received_at, 3),
            after_event=progress.position.event_id,
        )
        self.placer.record_sent(call, placement, now, self.host_count())
        version_run = self.placer.rollouts.begin(
            call, placement.record, now, is_held=placement.is_held
        )
        # The last permitted run is limited only by the deadline of the call.
        runs = progress.runs + len(attempts) + 1
        attempt = Attempt(
            placement,
            now,
            progress.position,
            is_limited=call.may_repeat and runs < call.route.max_attempts,
            version_run=version_run,
        )
        if attempt.is_limited:
            attempt.limit_silence(_first_limit_seconds(call))
        self.loads.begin(engine.engine_id)
        answering = self._answer(call, sink, progress, attempts, attempt)

        def record_end() -> None:
            self.loads.end(engine.engine_id)
            version_run.record_end(self.clock())

        attempts.add(attempt, answering, record_end)

    async def _answer(
        self,
        call: Call,
        sink: EventSink,
        progress: Progress,
        attempts: OpenAttempts,
        attempt: Attempt,
    ) -> Reply | None:
        try:
            reply = await self._send(call, sink, progress, attempts, attempt)
        except asyncio.CancelledError:
            # The deadline passed, the caller is gone, this host ends, or
            # another attempt answers the call.
            if self.clock() >= call.expires_at:
                attempt.version_run.record_result(Result.SILENT, self.clock())
            if not attempt.is_given_up and not self.running.has_ended:
                self.crash_reports.record_silence(call, progress, attempt, self.clock())
            raise
        self.health.get(attempt.engine.engine_id).record(
            Result.SUCCESS, self.clock(), attempt.sent_at
        )
        attempt.version_run.record_result(Result.SUCCESS, self.clock())
        self.crash_reports.record_answer(call, progress, self.clock())
        return reply

    async def _send(
        self,
        call: Call,
        sink: EventSink,
        progress: Progress,
        attempts: OpenAttempts,
        attempt: Attempt,
    ) -> Reply | None:
        engine = attempt.engine
        peer = str(engine.address)
        await attempt.version_run.check_allowed(self.clock)
        try:
            answer = await self.sender.open(
                call,
                engine,
                call.expires_at - self.clock(),
                Forwarding(
                    attempt.position.event_id,
                    attempt.placement.copy_from,
                    self.capacity_reports.urgency_class(call, attempt.sent_at),
                ),
                was_refused=engine.engine_id in progress.refused_by_ids,
            )
            try:
                head = answer.head
                attempt.heard_at = self.clock()
                seconds = attempt.heard_at - attempt.sent_at
                self.reports.record(engine, head, attempt.heard_at, seconds)
                self.capacity_reports.record_head(
                    call, head, attempt.heard_at - attempt.sent_at, attempt.heard_at
                )
                if call.route.type is not RouteType.STREAM or not head.is_success:
                    body = await answer.read(self.held_answers)
                    whole = WholeAnswer(head, body)
                    check_answer(whole, peer)
                    if sink.has_begun:
                        check_continuation(head, peer)
                    return self._reply_from(whole)
                check_success_head(head, peer)
                if sink.has_begun:
                    check_continuation(head, peer)
                await self.events.pass_on(
                    call, answer, sink, progress, attempts, attempt
                )
                return None
            finally:
                self.sender.release(answer)
        except UpstreamBroken as error:
            raise attempt_failure(error, peer) from error

    def _reply_from(self, answer: WholeAnswer) -> Reply:
        return Reply(answer.head.status, answer.head.headers, answer.body)

    def _record_failure(
        self,
        call: Call,
        progress: Progress,
        attempt: Attempt,
        failed: AttemptFailed,
    ) -> None:
        engine = attempt.engine
        now = self.clock()
        progress.last_failure = failed
        health = self.health.get(engine.engine_id)
        self.capacity_reports.record_reset(call, engine, failed, health, now)
        if failed.result is Result.SHED:
            progress.shed_ids.add(engine.engine_id)
            progress.refused_by_ids.add(engine.engine_id)
        progress.arrivals += failed.may_have_arrived
        progress.runs += failed.may_have_arrived and not failed.not_run
        attempt.version_run.record_result(failed.result, now)
        if attempt.is_given_up:
            # Its silence is recorded already.
            return
        ejected = health.record(failed.result, now, attempt.sent_at)
        self.metrics.record_attempt_failure(failed.result.value)
        self.journal.write(
            "attempt-failed",
            now,
            id=call.head.request_id,
            engine=engine.engine_id,
            result=failed.result.value,
            reason=failed.reason,
            not_run=failed.not_run,
            age_seconds=round(now - call.arrived_at, 3),
            silent_seconds=round(max(0.0, now - attempt.heard_at), 3),
            after_event=progress.position.event_id,
            is_position_known=progress.position.is_known,
            has_begun=attempt.begun_at is not None,
            parts=_shared_part_ids(call),
            engine_left_out=ejected,
        )
        if failed.result is Result.BROKEN:
            self.crash_reports.record_broken(call, progress, attempt, now)
        elif failed.result is Result.SILENT:
            self.crash_reports.record_silence(call, progress, attempt, now)
        answer = failed.answer
        if answer is not None and answer.head.is_other_engine:
            # Another upstream has the address now.
            self.routing_state.remove_engine(engine.engine_id, now)
            self.journal.write(
                "engine-gone", now, engine=engine.engine_id, reason="other engine"
            )

    def _record_overdue(self, call: Call, progress: Progress, attempt: Attempt) -> None:
        engine = attempt.engine
        now = self.clock()
        attempt.version_run.record_result(Result.SILENT, now)
        ejected = self.health.get(engine.engine_id).record(
            Result.SILENT, now, attempt.sent_at
        )
        self.metrics.record_attempt_failure(Result.SILENT.value)
        self.journal.write(
            "attempt-overdue",
            now,
            id=call.head.request_id,
            engine=engine.engine_id,
            age_seconds=round(now - call.arrived_at, 3),
            silent_seconds=round(max(0.0, now - attempt.heard_at), 3),
            after_event=progress.position.event_id,
            engine_left_out=ejected,
        )
        timer = PauseAwareTimer(lambda: self._record_hang(call, progress, attempt))
        silent_until = attempt.heard_at + shortest_wait(call) + SLOW_SECONDS
        timer.start(max(0.0, silent_until - now))

    def _record_hang(self, call: Call, progress: Progress, attempt: Attempt) -> None:
        """Record that an upstream is silent still, unless it failed since."""
        if attempt.is_given_up or not attempt.has_ended:
            self.crash_reports.record_silence(call, progress, attempt, self.clock())

    def _finish_with_refusal(
        self,
        call: Call,
        sink: EventSink,
        progress: Progress,
        refusal: Refusal,
        retry_seconds: float | None = None,
    ) -> Reply:
        """Return the final reply of a call that was not answered with success.

        Relay the upstream's own error answer if there is one. Never refuse a
        call that may have run with a status that promises that it did not.
        A refusal asks the caller to wait for ``retry_seconds``, if set.
        Raise StreamCut if an answer has begun.
        """
        if sink.has_begun:
            raise StreamCut(refusal.value, step="relay", peer=progress.engine_id)
        failed = progress.last_failure
        answer = failed.answer if failed is not None else None
        if answer is not None and not answer.head.not_run:
            if answer.head.status not in NOT_RUN_STATUSES:
                return self._reply_from(answer)
            refusal = Refusal.BROKEN
        elif (
            progress.may_run
            and RESPONSES_BY_REFUSAL[refusal].status in NOT_RUN_STATUSES
        ):
            refusal = Refusal.BROKEN
        return self.refuse(refusal, call.head.request_id, retry_seconds)


def _shared_part_ids(call: Call) -> list[str]:
    prompt = call.head.prompt
    shared = prompt.shared_parts if prompt else ()
    return [part.part_id for part in shared[-MAX_LOGGED_PARTS:]]


def _first_limit_seconds(call: Call) -> float:
    """Return after which silence a new attempt is overdue."""
    if call.route.type is RouteType.STREAM:
        return call.route.objective_seconds * FIRST_EVENT_TIMEOUT_FACTOR
    return call.route.objective_seconds
