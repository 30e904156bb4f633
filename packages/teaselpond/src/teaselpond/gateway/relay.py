"""Send calls to upstreams, retry failed attempts, and relay the answers."""

import asyncio
import random
from collections.abc import Callable

from attrs import define, field

from ..exceptions import UpstreamBroken
from .calls import Call
from .codec import HeaderCodec
from .configuration import RouteType
from .crash_reports import CrashReports
from .drain import Drain
from .event_relay import EventRelay, EventSink
from .exceptions import StreamCut
from .health import HealthTracker, Result
from .held_answers import HeldAnswers
from .journal import Journal
from .liveness import LivenessChecker
from .loads import LoadTracker
from .metrics import Metrics
from .placement import NoPlacement, Placement, Placer
from .progress import Progress
from .replies import RESPONSES_BY_REFUSAL, Refusal, Reply, jittered_retry_after
from .reports import AnswerReports
from .retry_budgets import RetryBudgets
from .routing_state import RoutingState
from .running import RunningWaits
from .sending import (
    AttemptFailed,
    Sender,
    WholeAnswer,
    attempt_failure,
    check_answer,
    check_continuation,
    check_success_head,
)
from .timeouts import PauseAwareTimeout
from .traits import traits_of

# Limits how many upstreams a call is sent to, counting those that shed it.
MAX_PLACEMENTS = 4
# An answer sent at the deadline arrives up to this much later.
DEADLINE_SLACK_SECONDS = 0.12
# Pause before a call that may have run is offered again to upstreams that shed
# it. It cannot be refused any more, and they may have room by then.
SHED_AGAIN_SECONDS = 0.1
# How often a call that may have run checks whether the trial of another one
# has ended, and after which time it gives up.
TRIAL_CHECK_SECONDS = 0.1
MAX_TRIAL_WAIT_SECONDS = 1.0
# With less time remaining, a call is not sent at all.
MIN_REMAINING_SECONDS = 0.01
# A stream that may be repeated is retried on another upstream when its first
# event takes longer than this multiple of the route's latency objective.
FIRST_EVENT_TIMEOUT_FACTOR = 1.5
# These statuses promise the caller that the call did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@define(eq=False)
class Relay:
    """Place calls on upstreams, relay answers, and retry where allowed."""

    codec: HeaderCodec
    routing_state: RoutingState
    placer: Placer
    sender: Sender
    reports: AnswerReports
    loads: LoadTracker
    health: HealthTracker
    crash_reports: CrashReports
    liveness: LivenessChecker
    journal: Journal
    metrics: Metrics
    clock: Callable[[], float]
    host_count: Callable[[], int]
    retries: RetryBudgets
    drain: Drain
    events: EventRelay
    rng: random.Random = field(factory=random.Random)
    held_answers: HeldAnswers = field(factory=HeldAnswers)
    running: RunningWaits = field(factory=RunningWaits)

    async def run(self, call: Call, sink: EventSink) -> Reply | None:
        """Return a call's answer, or None if it was streamed to the sink.

        Raise StreamCut if an answer has begun and cannot be completed.
        """
        progress = Progress(traits_of(call), call.head.last_event_id)
        self.retries.record_request(call.service, call.arrived_at)
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
        while True:
            now = self.clock()
            if call.expires_at - now < MIN_REMAINING_SECONDS:
                raise TimeoutError
            if not self.drain.may_send(
                now, call.route.objective_seconds, may_have_run=progress.may_run
            ):
                return self._finish_with_refusal(call, sink, progress, Refusal.LEAVING)
            if self.crash_reports.is_refused(call, progress, now):
                return self._finish_with_refusal(
                    call, sink, progress, Refusal.POISONOUS
                )
            placement = self.placer.place(
                call, progress.tried_ids, now, self.host_count()
            )
            if isinstance(placement, NoPlacement):
                if self._may_offer_again(progress):
                    progress.tried_ids -= progress.shed_ids
                    progress.shed_ids.clear()
                    await asyncio.sleep(SHED_AGAIN_SECONDS)
                    continue
                if self._may_wait(call, progress, placement, now):
                    await asyncio.sleep(placement.retry_seconds)
                    continue
                return self._refuse_unplaced(call, sink, progress, placement)
            if self.liveness.must_check(progress, placement.record.engine):
                await self.liveness.check(call, progress, placement.record.engine)
                continue
            if self.crash_reports.is_on_probation(progress):
                if await self.crash_reports.try_on_probation(call, progress):
                    continue
                if self._may_wait_for_trial(call, progress):
                    await asyncio.sleep(TRIAL_CHECK_SECONDS)
                    continue
                return self._finish_with_refusal(
                    call, sink, progress, Refusal.SUSPECTED
                )
            if progress.arrivals and not self._acquire_retry(call, now):
                return self._finish_with_refusal(call, sink, progress, Refusal.SHED)
            try:
                return await self._attempt(call, sink, progress, placement)
            except AttemptFailed as failed:
                self._record_failure(call, progress, placement, failed)
                if not self._may_retry(call, progress, failed):
                    refusal = Refusal.SHED if failed.not_run else Refusal.BROKEN
                    return self._finish_with_refusal(call, sink, progress, refusal)

    async def _attempt(
        self,
        call: Call,
        sink: EventSink,
        progress: Progress,
        placement: Placement,
    ) -> Reply | None:
        engine = placement.record.engine
        now = self.clock()
        progress.engine_id = engine.engine_id
        progress.placements += 1
        progress.tried_ids.add(engine.engine_id)
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
            copy_from=placement.copy_from.engine_id if placement.copy_from else None,
            offer=progress.placements,
            heard_seconds=round(now - placement.record.received_at, 3),
            after_event=progress.last_event_id,
        )
        progress.sent_at = progress.heard_at = now
        progress.begun_at = None
        progress.is_underway = False
        self.placer.record_sent(call, placement, now, self.host_count())
        with self.loads.track(engine.engine_id):
            may_run_before = progress.may_run
            progress.may_run = True
            try:
                reply = await self._send(call, sink, progress, placement)
            except AttemptFailed as failed:
                progress.may_run = may_run_before or not failed.not_run
                raise
            except asyncio.CancelledError:
                # The deadline passed, the caller is gone or this host ends.
                if not self.running.has_ended:
                    self.crash_reports.record_silence(
                        call, progress, engine, self.clock()
                    )
                raise
        self.health.get(engine.engine_id).record(
            Result.SUCCESS, self.clock(), progress.sent_at
        )
        self.crash_reports.record_answer(call, progress, self.clock())
        return reply

    async def _send(
        self,
        call: Call,
        sink: EventSink,
        progress: Progress,
        placement: Placement,
    ) -> Reply | None:
        engine = placement.record.engine
        peer = str(engine.address)
        remaining_seconds = call.expires_at - self.clock()
        timeout_seconds = self._response_timeout(call, progress)
        try:
            async with PauseAwareTimeout(timeout_seconds) as response_timeout:
                answer = await self.sender.open(
                    call,
                    engine,
                    remaining_seconds,
                    progress.last_event_id,
                    placement.copy_from,
                    was_refused=engine.engine_id in progress.refused_by_ids,
                )
                try:
                    head = answer.head
                    self.reports.record(engine, head, self.clock())
                    progress.heard_at = self.clock()
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
                        call, answer, sink, progress, response_timeout
                    )
                    return None
                finally:
                    self.sender.release(answer)
        except UpstreamBroken as error:
            raise attempt_failure(error, peer) from error
        except TimeoutError:
            if timeout_seconds is not None and response_timeout.expired():
                raise AttemptFailed(Result.SILENT, "silent", peer=peer) from None
            raise

    def _response_timeout(self, call: Call, progress: Progress) -> float | None:
        """Return the seconds until an attempt is retried, None for no limit.

        The last permitted run is limited only by the deadline of the call.
        """
        if not call.may_repeat or progress.runs + 1 >= call.route.max_attempts:
            return None
        if call.route.type is RouteType.STREAM:
            return call.route.objective_seconds * FIRST_EVENT_TIMEOUT_FACTOR
        return call.route.objective_seconds

    def _reply_from(self, answer: WholeAnswer) -> Reply:
        return Reply(answer.head.status, answer.head.headers, answer.body)

    def _record_failure(
        self,
        call: Call,
        progress: Progress,
        placement: Placement,
        failed: AttemptFailed,
    ) -> None:
        engine = placement.record.engine
        now = self.clock()
        progress.last_failure = failed
        if failed.result is Result.SHED:
            progress.shed_ids.add(engine.engine_id)
            progress.refused_by_ids.add(engine.engine_id)
        progress.arrivals += failed.may_have_arrived
        progress.runs += failed.may_have_arrived and not failed.not_run
        ejected = self.health.get(engine.engine_id).record(
            failed.result, now, progress.sent_at
        )
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
            silent_seconds=round(max(0.0, now - progress.heard_at), 3),
            after_event=progress.last_event_id,
            has_begun=progress.begun_at is not None,
            parts=_shared_part_ids(call),
            engine_left_out=ejected,
        )
        if failed.result is Result.BROKEN:
            self.crash_reports.record_broken(call, progress, engine, now)
        elif failed.result is Result.SILENT:
            self.crash_reports.record_silence(call, progress, engine, now)
        answer = failed.answer
        if answer is not None and answer.head.is_other_engine:
            # Another upstream has the address now.
            self.routing_state.remove_engine(engine.engine_id, now)
            self.journal.write(
                "engine-gone", now, engine=engine.engine_id, reason="other engine"
            )

    def _acquire_retry(self, call: Call, now: float) -> bool:
        host_count = self.host_count()
        acquired = self.retries.try_acquire(call.service, now, host_count)
        if not acquired:
            budget = self.retries.for_service(call.service, now)
            self.metrics.record_attempt_failure("retry-budget-empty")
            self.journal.write(
                "retry-refused",
                now,
                id=call.head.request_id,
                service=call.service,
                requests=budget.request_count(now),
                retries=budget.retry_count(now),
                remaining=round(budget.remaining(now, host_count), 2),
                excess_of_others=round(
                    self.retries.excess_of_others(call.service, now, host_count), 2
                ),
                former_is_unknown=self.retries.is_asking(now),
                must_report=budget.must_report(now),
                sharing_hosts=host_count,
            )
        return acquired

    def _may_offer_again(self, progress: Progress) -> bool:
        """Return whether to go back to upstreams that shed a call.

        A call that cannot have run is refused instead: its caller may come
        back to any host.
        """
        return (
            bool(progress.shed_ids)
            and progress.may_run
            and progress.placements < MAX_PLACEMENTS
        )

    def _may_wait(
        self, call: Call, progress: Progress, no_placement: NoPlacement, now: float
    ) -> bool:
        """Return whether to wait until an upstream may be used again.

        A call that cannot have run is refused instead, as in
        ``_may_offer_again``.
        """
        seconds = no_placement.retry_seconds
        return (
            seconds is not None
            and progress.may_run
            and now + seconds < call.expires_at - MIN_REMAINING_SECONDS
        )

    def _may_wait_for_trial(self, call: Call, progress: Progress) -> bool:
        """Return whether to wait until another call's trial has ended.

        A call that cannot have run is refused instead, as in
        ``_may_offer_again``.
        """
        now = self.clock()
        progress.held_since = progress.held_since or now
        return (
            progress.may_run
            and now - progress.held_since < MAX_TRIAL_WAIT_SECONDS
            and now + TRIAL_CHECK_SECONDS < call.expires_at - MIN_REMAINING_SECONDS
        )

    def _may_retry(self, call: Call, progress: Progress, failed: AttemptFailed) -> bool:
        if progress.placements >= MAX_PLACEMENTS:
            return False
        if progress.runs and not call.may_repeat:
            return False
        return progress.runs < call.route.max_attempts

    def _refuse_unplaced(
        self, call: Call, sink: EventSink, progress: Progress, no_placement: NoPlacement
    ) -> Reply:
        self.journal.write(
            "not-placed",
            self.clock(),
            id=call.head.request_id,
            service=call.service,
            reason=no_placement.reason,
            listed=no_placement.listed,
            offers=progress.placements,
        )
        refusal = Refusal.NO_UPSTREAM
        if no_placement.reason in ("all-cold", "all-full", "all-back-off"):
            refusal = Refusal.OVERLOADED
        return self._finish_with_refusal(
            call, sink, progress, refusal, no_placement.retry_seconds
        )

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
    return [part.part_id for part in prompt.shared_parts] if prompt else []
