"""Deliver a complete answer to each chat, from one or more engines."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable

from absl import logging
from attrs import frozen

from ..exceptions import CallerGone, Refused
from ..policy import Grant, Outcome, Release, RetryReason, SlotRequest
from ..reasons import Reason
from ..upstreams import EngineClient
from .attempts import Attempt, AttemptFailed, Progress, RetryState
from .chats import ChatCall
from .counters import Counters, NullCounters
from .deaths import EngineDeathDetector
from .pauses import PauseGuard
from .poison import Quarantine
from .retries import RetryPolicy
from .sinks import BufferedAnswer, Sink
from .slots import EngineAddresses, SlotSource
from .tokens import InvalidToken, ResumeTokens
from .verdicts import RefusalCause, Run, refuse

EVENT_IDLE_SECONDS = 20.0
RESUME_IDLE_SECONDS = 5.0
CALLER_IDLE_SECONDS = 30.0
CONTINUATION_SECONDS = 30.0
MAX_CONTINUATIONS = 8
# Limits the delay once an engine is available again.
REACQUIRE_INTERVAL_SECONDS = 0.5
HEAD_AFTER_CANCEL_SECONDS = 5.0
ABANDONED_SLOT_SECONDS = 2.0


@frozen
class RelaySettings:
    """Hold the relay's timeouts.

    ``event_idle_seconds`` is how long an engine may send nothing, and
    ``resume_idle_seconds`` is the same limit for a resumed stream.
    ``caller_idle_seconds`` is how long a caller may read nothing.
    ``continuation_seconds`` is how long an answer that was partly sent is
    retried. ``head_after_cancel_seconds`` is how long a cancelled attempt
    waits for the response head, which names the stream to cancel.
    ``abandoned_slot_seconds`` is how long a slot stays taken when its engine
    may still run a request that cannot be cancelled.
    """

    event_idle_seconds: float = EVENT_IDLE_SECONDS
    resume_idle_seconds: float = RESUME_IDLE_SECONDS
    caller_idle_seconds: float = CALLER_IDLE_SECONDS
    continuation_seconds: float = CONTINUATION_SECONDS
    head_after_cancel_seconds: float = HEAD_AFTER_CANCEL_SECONDS
    abandoned_slot_seconds: float = ABANDONED_SLOT_SECONDS


class ChatRelay:
    """Run chats: acquire slots, relay streams and retry failed attempts."""

    def __init__(
        self,
        *,
        slots: SlotSource,
        addresses: EngineAddresses,
        engines: EngineClient,
        quarantine: Quarantine,
        tokens: ResumeTokens,
        retries: RetryPolicy,
        daemon: str,
        pauses: PauseGuard | None = None,
        settings: RelaySettings | None = None,
        counters: Counters | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.engines = engines
        self.quarantine = quarantine
        self.tokens = tokens
        self.settings = settings or RelaySettings()
        self.counters = counters or NullCounters()
        self.clock = clock
        self.wall_clock = wall_clock
        self.deaths = EngineDeathDetector(engines, quarantine, addresses)
        self._slots = slots
        self._addresses = addresses
        self._retries = retries
        self._daemon = daemon
        self.pauses = pauses
        self._cleanups: set[asyncio.Task] = set()

    async def run(self, call: ChatCall, sink: Sink) -> None:
        """Write a complete answer to the sink; raise Refused or CallerGone.

        In every case the slot is released. An engine that still runs the
        request is told to cancel it, unless the call is resumable and its
        caller has disconnected.
        """
        progress = Progress()
        try:
            await self._run(call, sink, progress)
        except Refused as refused:
            raise progress.history.apply(refused) from refused
        self._retries.record_success()

    async def answer(
        self, call: ChatCall, report: Callable[[int], None] | None = None
    ) -> BufferedAnswer:
        """Return a complete answer that isn't streamed; raise Refused.

        ``report`` is called with the number of events received so far.
        """
        progress = Progress()
        sink = BufferedAnswer(call, report)
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self.clock())):
                await self._run(call, sink, progress)
        except TimeoutError:
            cause = _deadline_cause(progress)
            raise progress.history.apply(refuse(cause)) from None
        except Refused as refused:
            raise progress.history.apply(refused) from refused
        self._retries.record_success()
        sink.finish(progress.text)
        return sink

    async def resume(self, token: str, workspace: str, sink: Sink) -> None:
        """Write the events after the one that a token names.

        Raise Refused or CallerGone.
        """
        try:
            resumed = self.tokens.read(token, workspace, self.wall_clock())
        except InvalidToken as error:
            raise refuse(RefusalCause.STREAM_TOKEN_INVALID) from error
        location = resumed.location
        attempt = Attempt(self, location.engine_id, location.address, sink, Progress())
        try:
            await attempt.resume(location, resumed.after_event)
        except AttemptFailed as failed:
            raise refuse(RefusalCause.STREAM_LOST, peer=failed.peer) from failed
        finally:
            attempt.close()

    async def drain(self) -> None:
        """Wait until clean-up tasks have released slots and cancelled runs."""
        while self._cleanups:
            await asyncio.wait(set(self._cleanups))

    def start_cleanup(self, awaitable: Awaitable[None]) -> None:
        """Run a clean-up in a task that outlives the request."""
        task = asyncio.ensure_future(awaitable)
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    async def _run(self, call: ChatCall, sink: Sink, progress: Progress) -> None:
        state = RetryState(call.deadline)
        try:
            while True:
                grant = state.take_grant()
                if grant is None:
                    self._check_quarantine(call)
                    request = self._slot_request(call, state, state.excluded)
                    grant = await self._acquire(request, progress)
                state.begin(grant, progress.events)
                try:
                    await self._attempt(call, grant, sink, progress, state)
                    return
                except AttemptFailed as failed:
                    failure = failed
                state.excluded = (*state.excluded, grant.engine_id)
                if state.next_grant is None:
                    delay = self._delay_retry(state, progress, failure)
                    await asyncio.sleep(delay)
        finally:
            self.release_reserved(state)

    def release_reserved(self, state: RetryState) -> None:
        """Release the slot that was reserved for a retry, if there is one."""
        grant = state.take_grant()
        if grant is not None:
            release = Release(grant.grant_id, Outcome.CANCELLED)
            self.start_cleanup(self._slots.release(release))

    def _delay_retry(
        self, state: RetryState, progress: Progress, failure: AttemptFailed
    ) -> float:
        """Return how long to wait before a retry; raise Refused if none."""
        progressed = progress.events > state.events_before
        state.failures = 0 if progressed else state.failures + 1
        if progress.events:
            if not self._is_continuable(progress, state):
                raise refuse(RefusalCause.STREAM_BROKEN)
            state.deadline = self.clock() + self.settings.continuation_seconds
        retry = self._retries.decide(
            state.failures,
            failure.reason,
            now=self.clock(),
            deadline=state.deadline,
            progressed=progressed,
        )
        if not retry.allowed:
            cause = (
                RefusalCause.RETRY_BUDGET_EMPTY if retry.budget_empty else failure.cause
            )
            raise refuse(cause, peer=failure.peer, retry_after=1.0)
        return retry.delay

    async def reserve_retry(
        self, call: ChatCall, progress: Progress, state: RetryState
    ) -> bool:
        """Acquire a slot for a retry while an attempt is silent.

        Return whether there is one. Without it, the engine of the attempt may
        still answer.
        """
        if progress.events:
            if not self._is_continuable(progress, state):
                return False
            state.deadline = self.clock() + self.settings.continuation_seconds
        progressed = progress.events > state.events_before
        retry = self._retries.decide(
            0 if progressed else state.failures + 1,
            RetryReason.ANSWER_SILENT,
            now=self.clock(),
            deadline=math.inf,
            progressed=progressed,
        )
        if not retry.allowed:
            return False
        excluded = (*state.excluded, state.engine_id)
        try:
            async with asyncio.timeout(self.settings.resume_idle_seconds):
                state.next_grant = await self._slots.acquire(
                    self._slot_request(call, state, excluded)
                )
        except (Refused, TimeoutError):
            return False
        state.failures = 0 if progressed else state.failures + 1
        return True

    async def _acquire(self, request: SlotRequest, progress: Progress) -> Grant:
        """Acquire a slot, retrying if the caller has part of an answer.

        When the owner of engines is lost, another daemon takes them over
        within seconds, so an interrupted answer can usually be continued.
        """
        while True:
            try:
                return await self._slots.acquire(request)
            except Refused as refused:
                is_late = self.clock() + REACQUIRE_INTERVAL_SECONDS >= request.deadline
                may_recover = refused.reason is Reason.NO_UPSTREAM and not is_late
                if not progress.events or not may_recover:
                    raise
                logging.info(
                    "request %s: waiting for an engine after %d events: %s",
                    request.request_id,
                    progress.events,
                    refused,
                )
                self.counters.incr("streams.waited_for_engine")
            await asyncio.sleep(REACQUIRE_INTERVAL_SECONDS)

    async def _attempt(
        self,
        call: ChatCall,
        grant: Grant,
        sink: Sink,
        progress: Progress,
        state: RetryState,
    ) -> None:
        release = Release(grant.grant_id, Outcome.CANCELLED)
        address = self._addresses.address_of(grant.engine_id)
        if address is None:
            await self._slots.release(release)
            raise AttemptFailed(
                RetryReason.ENGINE_UNREACHABLE, RefusalCause.CONNECT_FAILED, ""
            )
        attempt = Attempt(self, grant.engine_id, address, sink, progress, call, state)
        try:
            if self.pauses is not None:
                # The request may have arrived during a pause, in which this
                # daemon missed quarantine updates from its peers.
                await self.pauses.wait()
            self._check_quarantine(call)
            with self.deaths.running(grant.engine_id, call):
                await attempt.run(grant.priority)
            release = attempt.release(grant, Outcome.COMPLETED)
        except AttemptFailed as failed:
            release = attempt.release(grant, failed.outcome)
            raise
        except (CallerGone, asyncio.CancelledError):
            attempt.caller_disconnected = True
            release = attempt.release(grant, Outcome.CANCELLED)
            raise
        finally:
            self.start_cleanup(self._clean_up(attempt, release))

    async def _clean_up(self, attempt: Attempt, release: Release) -> None:
        # The slot stays taken until the engine no longer runs the request.
        try:
            await attempt.stop()
        finally:
            await self._slots.release(release)

    def _slot_request(
        self, call: ChatCall, state: RetryState, excluded: tuple[str, ...]
    ) -> SlotRequest:
        return SlotRequest(
            request_id=call.request_id,
            workspace=call.workspace,
            chat=call.chat,
            model=call.model,
            request_class=call.request_class,
            prompt_tokens=call.prompt_tokens,
            prefixes=call.prefixes,
            deadline=state.deadline,
            origin_daemon=self._daemon,
            hint_engine="" if call.hint_engine in excluded else call.hint_engine,
            excluded=excluded,
            attempt=state.attempts + 1,
        )

    def _check_quarantine(self, call: ChatCall) -> None:
        if self.quarantine.is_quarantined(call.fingerprint, self.wall_clock()):
            raise refuse(RefusalCause.QUARANTINED)

    def _is_continuable(self, progress: Progress, state: RetryState) -> bool:
        return progress.text.continuable and state.attempts <= MAX_CONTINUATIONS


def _deadline_cause(progress: Progress) -> RefusalCause:
    if progress.history.run is Run.NOT_RUN:
        return RefusalCause.DEADLINE_BEFORE_SEND
    return RefusalCause.DEADLINE_AFTER_SEND
