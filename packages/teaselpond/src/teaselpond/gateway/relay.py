"""Bring each call to an answer, over one upstream or several."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from ..exceptions import UpstreamBroken
from ..upstreams.events import WholeEvents
from .answers import AnswerHead
from .budgets import RetryBudget
from .calls import Call
from .codec import HeaderCodec
from .configuration import RouteType
from .exceptions import StreamCut
from .health import HealthTracker, Result
from .journal import Journal
from .loads import LoadTracker
from .metrics import Metrics
from .placement import NoPlacement, Placement, Placer
from .poison import PoisonTracker, fingerprint_of
from .replies import RESPONSES_BY_REFUSAL, Refusal, Reply, jittered_retry_after
from .routing_state import RoutingState
from .sending import (
    AttemptFailed,
    OpenAnswer,
    Sender,
    WholeAnswer,
    attempt_error,
    check_answer,
    check_success_head,
)

# Upstreams that a call is offered to, with those that did not take it.
MAX_OFFERS = 4
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# An answer that is due is waited for this much longer, because it is
# delivered late too.
LATE_SECONDS = 0.12
# Less time than this is not worth an upstream's work.
MIN_LEFT_SECONDS = 0.01
# A repeatable call goes to another upstream when the first event is this
# multiple of the objective late, or a later one of the longest pause.
FIRST_EVENT_FACTOR = 1.5
PAUSE_FACTOR = 2.0
PROMISES = frozenset({408, 421, 429, 503})


class EventSink(Protocol):
    """Take the events of a stream for a caller."""

    @property
    def has_begun(self) -> bool:
        """Tell whether the caller has got a part of the answer."""

    async def write(self, head: AnswerHead, events: bytes) -> None:
        """Write events, before them the head of the answer."""


@define
class Progress:
    """Hold how far a call has come."""

    last_event_id: str | None
    tried_ids: set[str] = field(factory=set)
    offers: int = 0
    arrivals: int = 0
    runs: int = 0
    may_run: bool = False
    last_failure: AttemptFailed | None = None
    engine_id: str = ""


@define(eq=False)
class Relay:
    """Place calls, send them, relay answers, and repeat what may be."""

    codec: HeaderCodec
    routing_state: RoutingState
    placer: Placer
    sender: Sender
    loads: LoadTracker
    health: HealthTracker
    poison: PoisonTracker
    journal: Journal
    metrics: Metrics
    clock: Callable[[], float]
    host_count: Callable[[], int]
    make_budget: Callable[[], RetryBudget]
    chance: random.Random = field(factory=random.Random)
    _budgets_by_service: dict[str, RetryBudget] = field(factory=dict)

    async def run(self, call: Call, sink: EventSink) -> Reply | None:
        """Return the answer, or None when all of it went to the sink.

        Raise StreamCut when an answer that has begun cannot go on.
        """
        progress = Progress(call.head.last_event_id)
        self.budget(call.service).record_request(call.arrived_at)
        left = call.expires_at - self.clock() + LATE_SECONDS
        try:
            async with asyncio.timeout(max(0.0, left)):
                return await self._run(call, sink, progress)
        except TimeoutError:
            refusal = Refusal.TIMEOUT_UNSENT
            if progress.may_run:
                refusal = Refusal.TIMEOUT_SENT
            return self._give_up(call, sink, progress, refusal)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of repeats of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = self.make_budget()
        return budget

    def refuse(self, refusal: Refusal, request_id: str) -> Reply:
        """Return the reply of a refusal."""
        response = RESPONSES_BY_REFUSAL[refusal]
        seconds = jittered_retry_after(response, self.chance)
        headers = self.codec.encode_refusal(request_id, seconds)
        return Reply(response.status, headers, refusal.value.encode(), refusal)

    async def _run(
        self, call: Call, sink: EventSink, progress: Progress
    ) -> Reply | None:
        fingerprint = fingerprint_of(call)
        while True:
            now = self.clock()
            if call.expires_at - now < MIN_LEFT_SECONDS:
                raise TimeoutError
            if fingerprint and self.poison.is_poisonous(fingerprint, now):
                return self._give_up(call, sink, progress, Refusal.POISONOUS)
            placement = self.placer.place(
                call, progress.tried_ids, now, self.host_count()
            )
            if isinstance(placement, NoPlacement):
                return self._no_placement(call, sink, progress, placement)
            if progress.arrivals and not self._may_send_again(call, now):
                return self._give_up(call, sink, progress, Refusal.SHED)
            try:
                return await self._attempt(call, sink, progress, placement)
            except AttemptFailed as failed:
                self._note_failure(call, progress, placement, failed)
                if not self._may_go_on(call, progress, failed):
                    refusal = Refusal.SHED if failed.not_run else Refusal.BROKEN
                    return self._give_up(call, sink, progress, refusal)

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
        progress.offers += 1
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
            is_held=placement.is_held,
            copy_from=placement.copy_from.engine_id if placement.copy_from else None,
            offer=progress.offers,
            heard_seconds=round(now - placement.record.received_at, 3),
            after_event=progress.last_event_id,
        )
        self.placer.record_sent(call, engine.engine_id, now, self.host_count())
        with self.loads.track(engine.engine_id):
            before = progress.may_run
            progress.may_run = True
            try:
                reply = await self._exchange(call, sink, progress, placement)
            except AttemptFailed as failed:
                progress.may_run = before or not failed.not_run
                raise
        self.health.get(engine.engine_id).record(Result.SUCCESS, self.clock())
        return reply

    async def _exchange(
        self,
        call: Call,
        sink: EventSink,
        progress: Progress,
        placement: Placement,
    ) -> Reply | None:
        engine = placement.record.engine
        peer = str(engine.address)
        left = call.expires_at - self.clock()
        patience = self._patience(call, progress)
        try:
            async with asyncio.timeout(patience) as first_wait:
                answer = await self.sender.open(
                    call, engine, left, progress.last_event_id, placement.copy_from
                )
                try:
                    head = answer.head
                    if head.cold_seconds is not None:
                        self.routing_state.update_cold_time(
                            engine.engine_id, head.cold_seconds, self.clock()
                        )
                    if call.route.type is not RouteType.STREAM or not head.is_success:
                        body = await answer.read(MAX_ANSWER_BYTES)
                        whole = WholeAnswer(head, body)
                        check_answer(whole, peer)
                        return self._reply(whole)
                    check_success_head(head, peer)
                    await self._stream(call, answer, sink, progress, first_wait)
                    return None
                finally:
                    self.sender.finish(answer)
        except UpstreamBroken as error:
            raise attempt_error(error, peer) from error
        except TimeoutError:
            if patience is not None and first_wait.expired():
                raise AttemptFailed(Result.SILENT, "silent", peer=peer) from None
            raise

    async def _stream(
        self,
        call: Call,
        answer: OpenAnswer,
        sink: EventSink,
        progress: Progress,
        wait: asyncio.Timeout,
    ) -> None:
        last_id = progress.last_event_id
        events = WholeEvents(_event_number(last_id))
        async for part in answer.parts():
            batch = events.feed(part)
            if not batch:
                continue
            is_bounded = wait.when() is not None
            # A caller that takes nothing is not the upstream's silence.
            wait.reschedule(None)
            if not sink.has_begun:
                self.metrics.record_first_event(call, self.clock())
            await sink.write(answer.head, batch)
            if is_bounded:
                pause = call.route.pause_seconds * PAUSE_FACTOR
                wait.reschedule(asyncio.get_running_loop().time() + pause)
            if events.last_id >= 0:
                progress.last_event_id = str(events.last_id)
        if events.rest:
            raise UpstreamBroken("ended within an event", step="stream")
        if not sink.has_begun:
            raise UpstreamBroken("ended before its first event", step="stream")

    def _patience(self, call: Call, progress: Progress) -> float | None:
        """Return how long to wait for an answer, in seconds, if bounded."""
        if not call.may_repeat or progress.runs + 1 >= call.route.max_attempts:
            return None
        if call.route.type is RouteType.STREAM:
            return call.route.objective_seconds * FIRST_EVENT_FACTOR
        return call.route.objective_seconds

    def _reply(self, whole: WholeAnswer) -> Reply:
        return Reply(whole.head.status, whole.head.headers, whole.body)

    def _note_failure(
        self,
        call: Call,
        progress: Progress,
        placement: Placement,
        failed: AttemptFailed,
    ) -> None:
        engine = placement.record.engine
        now = self.clock()
        progress.last_failure = failed
        progress.arrivals += failed.has_arrived
        progress.runs += failed.has_arrived and not failed.not_run
        ejected = self.health.get(engine.engine_id).record(failed.result, now)
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
            after_event=progress.last_event_id,
            engine_left_out=ejected,
        )
        fingerprint = fingerprint_of(call)
        if failed.result is Result.BROKEN and fingerprint:
            self.poison.record_own(fingerprint, engine.engine_id, now)
        answer = failed.answer
        if answer is not None and answer.head.is_other_engine:
            # The address belongs to another upstream now.
            self.routing_state.remove_engine(engine.engine_id)
            self.journal.write(
                "engine-gone", now, engine=engine.engine_id, reason="other engine"
            )

    def _may_send_again(self, call: Call, now: float) -> bool:
        taken = self.budget(call.service).try_acquire(now, self.host_count())
        if not taken:
            self.metrics.record_attempt_failure("retry-budget-empty")
        return taken

    def _may_go_on(self, call: Call, progress: Progress, failed: AttemptFailed) -> bool:
        if progress.offers >= MAX_OFFERS:
            return False
        if progress.runs and not call.may_repeat:
            return False
        return progress.runs < call.route.max_attempts

    def _no_placement(
        self, call: Call, sink: EventSink, progress: Progress, why: NoPlacement
    ) -> Reply:
        self.journal.write(
            "not-placed",
            self.clock(),
            id=call.head.request_id,
            service=call.service,
            reason=why.reason,
            listed=why.listed,
            offers=progress.offers,
        )
        refusal = Refusal.NO_UPSTREAM
        if why.reason in ("all-cold", "all-full"):
            refusal = Refusal.OVERLOADED
        return self._give_up(call, sink, progress, refusal)

    def _give_up(
        self, call: Call, sink: EventSink, progress: Progress, refusal: Refusal
    ) -> Reply:
        """Return the final reply; raise StreamCut when an answer has begun."""
        if sink.has_begun:
            raise StreamCut(refusal.value, step="relay", peer=progress.engine_id)
        failed = progress.last_failure
        answer = failed.answer if failed is not None else None
        if answer is not None and not answer.head.not_run:
            if answer.head.status not in PROMISES:
                return self._reply(answer)
            refusal = Refusal.BROKEN
        elif progress.may_run and RESPONSES_BY_REFUSAL[refusal].status in PROMISES:
            refusal = Refusal.BROKEN
        return self.refuse(refusal, call.head.request_id)


def _event_number(event_id: str | None) -> int:
    try:
        return int(event_id) if event_id is not None else -1
    except ValueError:
        return -1
