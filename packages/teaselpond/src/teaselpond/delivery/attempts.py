"""Relay the answer to a chat from one engine to its caller."""

import asyncio
from typing import TYPE_CHECKING

from attrs import define, evolve, field

from teaselpond_model.contracts import Address

from ..exceptions import (
    CallerGone,
    TeaselpondError,
    UpstreamBroken,
    UpstreamCrossed,
    UpstreamRefused,
    UpstreamSilent,
    UpstreamStreamMissing,
    UpstreamUnavailable,
)
from ..policy import Grant, Outcome, Release, RetryReason
from ..upstreams import EngineStream, EventBatch
from .answers import AnswerText
from .chats import ChatCall, build_engine_body
from .sinks import AnswerHead, Sink
from .stalls import Stalled, StallWatch
from .tokens import StreamLocation
from .verdicts import RefusalCause, RunHistory, refuse

if TYPE_CHECKING:
    from .relay import ChatRelay

MAX_RESUMES = 2
RESUME_DELAY_SECONDS = 0.05
DONE_EVENT = b"data: [DONE]\n\n"
ENGINE = "engine"
CALLER = "caller"
ID_LINE = b"id: "


class AttemptFailed(TeaselpondError):
    """Report that an attempt ended without a complete answer."""

    def __init__(
        self,
        reason: RetryReason,
        cause: RefusalCause,
        peer: str,
        outcome: Outcome = Outcome.FAILED,
    ) -> None:
        super().__init__(reason.value, step=cause.value, peer=peer)
        self.reason = reason
        self.cause = cause
        self.outcome = outcome


@define
class Progress:
    """Hold what all attempts of a call have sent to its caller so far.

    ``started`` is true once the head of the answer was sent.
    """

    history: RunHistory = field(factory=RunHistory)
    text: AnswerText = field(factory=AnswerText)
    events: int = 0
    started: bool = False


@define
class RetryState:
    """Track the attempts of one call.

    ``attempts`` counts them, ``failures`` those since the last event.
    ``events_before`` were received before the current one, which is at the
    engine ``engine_id``. ``deadline`` limits the wait for a slot, and
    ``next_grant`` is the slot of the next attempt, if it is known already.
    """

    deadline: float
    attempts: int = 0
    failures: int = 0
    excluded: tuple[str, ...] = ()
    engine_id: str = ""
    events_before: int = 0
    next_grant: Grant | None = None

    def take_grant(self) -> Grant | None:
        """Return the slot that is known already, if any, to use it."""
        grant, self.next_grant = self.next_grant, None
        return grant

    def begin(self, grant: Grant, events: int) -> None:
        """Record that an attempt begins, after a number of events."""
        self.attempts += 1
        self.engine_id = grant.engine_id
        self.events_before = events


class Attempt:
    """Send a chat to one engine and forward its events to the caller.

    Without a ``call``, the attempt can only resume an existing stream.
    """

    def __init__(
        self,
        relay: "ChatRelay",
        engine_id: str,
        address: Address,
        sink: Sink,
        progress: Progress,
        call: ChatCall | None = None,
        state: RetryState | None = None,
    ) -> None:
        self._relay = relay
        self._engine_id = engine_id
        self._address = address
        self._sink = sink
        self._progress = progress
        self._call = call
        self._state = state
        self._may_still_run = False
        self._opening: asyncio.Task[EngineStream] | None = None
        self._stream: EngineStream | None = None
        self._location: StreamLocation | None = None
        self._id_line = b""
        self._sent_at = 0.0
        self._first_event_at: float | None = None
        self._events_before = progress.events
        self._silent_since: float | None = None
        self.caller_disconnected = False

    # Running

    async def run(self, priority: int) -> None:
        """Run the call and relay its complete answer to the sink.

        A request suspected of crashing engines is run exclusively. Raise
        AttemptFailed, Refused or CallerGone.
        """
        call = self._call
        quarantine = self._relay.quarantine
        if not quarantine.is_suspect(call.fingerprint, self._relay.wall_clock()):
            await self._run(priority)
            return
        exclusive_run = quarantine.run_exclusively(call.fingerprint, self._engine_id)
        await self._enter_exclusive_run(exclusive_run)
        try:
            await self._run(priority)
        finally:
            await exclusive_run.__aexit__(None, None, None)
        await quarantine.clear(call.fingerprint)

    async def _enter_exclusive_run(self, exclusive_run) -> None:
        """Acquire the locks of an exclusive run; raise Refused.

        The deadline limits only the wait for the locks, not the run itself.
        """
        remaining = self._call.deadline - self._relay.clock()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await exclusive_run.__aenter__()
        except TimeoutError as error:
            raise refuse(RefusalCause.DEADLINE_BEFORE_SEND) from error

    async def _run(self, priority: int) -> None:
        call = self._call
        stream = await self._open(priority)
        self._relay.deaths.record_incarnation(self._engine_id, stream.head.incarnation)
        self._location = StreamLocation(
            call.workspace,
            call.request_id,
            self._engine_id,
            str(self._address),
            stream.head.stream_id,
            int(self._relay.wall_clock()),
        )
        await self._relay_with_resumes(stream)

    async def resume(self, location: StreamLocation, after_event: int) -> None:
        """Relay the events that follow event number ``after_event``.

        Raise AttemptFailed or CallerGone.
        """
        self._location = location
        stream = await self._reopen(after_event)
        await self._relay_with_resumes(stream)
        await stream.finish()

    async def _open(self, priority: int) -> EngineStream:
        progress = self._progress
        body = build_engine_body(self._call, progress.text.text, progress.text.tokens)
        incarnation = await self._relay.deaths.fetch_incarnation(self._engine_id)
        progress.history.record_send()
        self._sent_at = self._relay.clock()
        self._opening = asyncio.create_task(
            self._relay.engines.open_stream(
                self._address,
                body,
                request_id=self._call.request_id,
                priority=priority,
                idle_seconds=self._head_limit_seconds(),
            )
        )
        try:
            return await self._wait_for_head()
        except UpstreamUnavailable:
            progress.history.record_not_run()
            raise self._failed(
                RetryReason.ENGINE_UNREACHABLE, RefusalCause.CONNECT_FAILED
            ) from None
        except UpstreamRefused as error:
            raise self._refused(error) from None
        except UpstreamSilent:
            self._may_still_run = True
            raise self._failed(
                RetryReason.ANSWER_SILENT, RefusalCause.ANSWER_SILENT
            ) from None
        except UpstreamBroken as error:
            self._may_still_run = isinstance(error, UpstreamCrossed)
            await self._relay.deaths.detect_death(self._engine_id, incarnation)
            raise self._failed(
                RetryReason.ANSWER_CUT, RefusalCause.ANSWER_BROKEN
            ) from None

    def _head_limit_seconds(self) -> float:
        remaining = self._call.deadline - self._relay.clock()
        return max(self._relay.settings.event_idle_seconds, remaining)

    async def _wait_for_head(self) -> EngineStream:
        """Return the stream; give it up only if a retry has a slot.

        If this wait is cancelled, the request goes on until its response head
        names the stream to cancel.
        """
        idle = self._relay.settings.event_idle_seconds
        while True:
            await asyncio.wait((self._opening,), timeout=idle)
            is_reserved = not self._opening.done() and await self._reserve_retry()
            if self._opening.done():
                # The engine may have answered while a slot was reserved.
                self._relay.release_reserved(self._state)
                return self._opening.result()
            if is_reserved:
                raise UpstreamSilent(
                    f"sent no answer for {idle} s",
                    step="open",
                    peer=str(self._address),
                )

    async def _reserve_retry(self) -> bool:
        """Return whether a retry of the call has a slot."""
        return await self._relay.reserve_retry(self._call, self._progress, self._state)

    async def _may_wait(self) -> bool:
        """Return whether a silent engine may still send the rest.

        It may until a retry has a slot, or the time for it is over.
        """
        if self._call is None:
            return False
        now = self._relay.clock()
        if self._silent_since is None:
            self._silent_since = now
        ends_at = self._silent_since + self._relay.settings.continuation_seconds
        if not self._progress.events:
            ends_at = min(ends_at, self._call.deadline)
        if now >= ends_at:
            return False
        return not await self._reserve_retry()

    def _refused(self, error: UpstreamRefused) -> AttemptFailed:
        if not error.not_run:
            return self._failed(RetryReason.ANSWER_CUT, RefusalCause.UPSTREAM_ERROR)
        self._progress.history.record_not_run()
        return self._failed(
            RetryReason.ENGINE_REFUSED,
            RefusalCause.ENGINE_REFUSED,
            Outcome.REFUSED_BY_ENGINE,
        )

    # Relaying

    async def _relay_with_resumes(self, stream: EngineStream) -> None:
        resumes = 0
        while True:
            self._stream = stream
            start = stream.last_event_number
            try:
                await self._forward_all(stream)
                return
            except UpstreamBroken as error:
                stream.close()
                broken = error
            if stream.last_event_number > start:
                resumes, self._silent_since = 0, None
            else:
                resumes += 1
            if resumes > MAX_RESUMES:
                if not isinstance(broken, UpstreamSilent) or not await self._may_wait():
                    await self._end_broken(broken)
                    return
                resumes = MAX_RESUMES
            self._relay.counters.incr("streams.resumed")
            await asyncio.sleep(RESUME_DELAY_SECONDS * resumes)
            try:
                stream = await self._reopen(stream.last_event_number)
            except AttemptFailed:
                await self._end_broken(broken)
                return

    async def _reopen(self, after_event: int) -> EngineStream:
        location = self._location
        resumes = 0
        while True:
            try:
                return await self._relay.engines.resume(
                    self._address,
                    location.stream_id,
                    after_event,
                    request_id=location.request_id,
                    idle_seconds=self._relay.settings.resume_idle_seconds,
                )
            except UpstreamBroken as error:
                resumes += 1
                missing = isinstance(error, UpstreamStreamMissing)
                if missing or resumes > MAX_RESUMES:
                    silent = isinstance(error, UpstreamSilent)
                    if silent and await self._may_wait():
                        resumes = MAX_RESUMES
                        continue
                    raise self._failed(
                        RetryReason.ANSWER_CUT, RefusalCause.ANSWER_BROKEN
                    ) from error
            except (UpstreamUnavailable, UpstreamRefused) as error:
                raise self._failed(
                    RetryReason.ANSWER_CUT, RefusalCause.ANSWER_BROKEN
                ) from error
            await asyncio.sleep(RESUME_DELAY_SECONDS * resumes)

    async def _end_broken(self, error: UpstreamBroken) -> None:
        """End a stream that can't be resumed; raise AttemptFailed."""
        if self._call is None:
            raise self._failed(
                RetryReason.ANSWER_CUT, RefusalCause.STREAM_BROKEN
            ) from error
        incarnation = self._stream.head.incarnation
        await self._relay.deaths.detect_death(self._engine_id, incarnation)
        if self._progress.text.finished:
            # Only the terminal event is missing; the text is complete.
            await self._write_with_timeout(DONE_EVENT)
            return
        silent = isinstance(error, UpstreamSilent)
        reason = RetryReason.ANSWER_SILENT if silent else RetryReason.ANSWER_CUT
        cause = RefusalCause.ANSWER_SILENT if silent else RefusalCause.ANSWER_BROKEN
        if self._progress.events:
            cause = RefusalCause.STREAM_BROKEN
        raise self._failed(reason, cause) from error

    async def _forward_all(self, stream: EngineStream) -> None:
        event_id_prefix = self._relay.tokens.event_id_prefix(self._location).encode()
        self._id_line = ID_LINE + event_id_prefix + b"."
        settings = self._relay.settings
        idle = min(settings.event_idle_seconds, stream.idle_seconds)
        caller = settings.caller_idle_seconds
        stream.stop_idle_timer()
        try:
            async with StallWatch(min(idle, caller)) as watch:
                watch.start_wait(ENGINE, idle)
                async for batch in stream.batches():
                    watch.start_wait(CALLER, caller)
                    await self._forward(batch)
                    watch.start_wait(ENGINE, idle)
        except Stalled as error:
            if error.waiting_for == CALLER:
                raise CallerGone("the caller stopped reading", step="write") from error
            raise UpstreamSilent(
                f"sent no event for {idle} s", step="stream", peer=str(self._address)
            ) from error

    async def _forward(self, batch: EventBatch) -> None:
        progress = self._progress
        progress.history.record_answer()
        progress.events += batch.count
        progress.text.add(batch.raw)
        if self._first_event_at is None:
            self._first_event_at = self._relay.clock()
        await self._write(self._insert_resume_token(batch.raw))

    def _insert_resume_token(self, raw: bytes) -> bytes:
        """Insert the resume token into each event id.

        Data lines hold JSON without line breaks, so an id field is found
        only where the event stream has one.
        """
        marked = raw.replace(b"\n" + ID_LINE, b"\n" + self._id_line)
        if marked.startswith(ID_LINE):
            return self._id_line + marked[len(ID_LINE) :]
        return marked

    async def _write_with_timeout(self, raw: bytes) -> None:
        try:
            async with asyncio.timeout(self._relay.settings.caller_idle_seconds):
                await self._write(raw)
        except TimeoutError as error:
            raise CallerGone("the caller stopped reading", step="write") from error

    async def _write(self, raw: bytes) -> None:
        if not self._progress.started:
            self._progress.started = True
            await self._sink.begin(self._head())
        await self._sink.write(raw)

    def _head(self) -> AnswerHead:
        head = self._stream.head
        return AnswerHead(
            self._location.request_id,
            self._engine_id,
            head.cached_tokens,
            head.prompt_tokens,
        )

    # Ending

    def release(self, grant: Grant, outcome: Outcome) -> Release:
        """Return the release message for the slot's owner."""
        release = Release(grant.grant_id, outcome)
        if self._stream is None:
            return release
        head = self._stream.head
        first = self._first_event_at
        return evolve(
            release,
            first_token_seconds=None if first is None else first - self._sent_at,
            prompt_tokens=head.prompt_tokens,
            cached_tokens=head.cached_tokens,
            output_tokens=self._progress.events - self._events_before,
            incarnation=head.incarnation,
        )

    def close(self) -> None:
        """Close the connection without cancelling the engine's run."""
        if self._stream is not None:
            self._stream.close()

    async def stop(self) -> None:
        """Make sure that the engine no longer runs this request.

        A resumable call whose caller has disconnected runs to its end.
        """
        stream = self._stream or await self._head_after_cancel()
        if stream is None:
            if self._may_still_run:
                # There is no stream id to cancel. After this wait the
                # engine's load report includes the request.
                await asyncio.sleep(self._relay.settings.abandoned_slot_seconds)
            return
        if not stream.is_complete and self.caller_disconnected and self._call.resumable:
            await self._read_to_end(stream)
        if stream.is_complete:
            await stream.finish()
            return
        stream.close()
        if not stream.head.stream_id:
            return
        try:
            await self._relay.engines.cancel(
                self._address,
                stream.head.stream_id,
                request_id=self._call.request_id,
            )
        except (TeaselpondError, ValueError):
            # An engine that can't be reached doesn't use its slot any more.
            return

    async def _head_after_cancel(self) -> EngineStream | None:
        if self._opening is None:
            return None
        try:
            limit = self._relay.settings.head_after_cancel_seconds
            async with asyncio.timeout(limit):
                return await self._opening
        except (TimeoutError, TeaselpondError, ValueError):
            return None

    async def _read_to_end(self, stream: EngineStream) -> None:
        """Read the rest, so that the engine can complete the answer."""
        idle = self._relay.settings.event_idle_seconds
        try:
            async with StallWatch(idle) as watch:
                watch.start_wait(ENGINE, idle)
                async for _batch in stream.batches():
                    watch.start_wait(ENGINE, idle)
        except (UpstreamBroken, Stalled):
            return

    def _failed(
        self,
        reason: RetryReason,
        cause: RefusalCause,
        outcome: Outcome = Outcome.FAILED,
    ) -> AttemptFailed:
        return AttemptFailed(reason, cause, str(self._address), outcome)
