"""Serve chat completions."""

from aiohttp import web
from attrs import define

from ..delivery import problems
from ..delivery.chats import ChatCall, parse_chat
from ..delivery.sinks import AnswerHead
from ..delivery.verdicts import RefusalCause, refuse
from ..exceptions import CallerGone, Refused
from ..policy import RequestClass
from .bodies import make_response, read_body
from .callers import (
    AFFINITY_HEADER,
    REQUEST_ID_HEADER,
    CallContext,
)
from .context import EntryContext

EVENT_STREAM_TYPE = "text/event-stream"
ENGINE_HEADER = "X-Engine"
CACHED_TOKENS_HEADER = "X-Cached-Tokens"
PROMPT_TOKENS_HEADER = "X-Prompt-Tokens"


@define
class StreamSink:
    """Write the events of an answer to the caller's connection."""

    request: web.Request
    response: web.StreamResponse | None = None

    async def begin(self, head: AnswerHead) -> None:
        """Send the status and headers; raise CallerGone if the caller left."""
        self.response = web.StreamResponse(
            headers={
                "Content-Type": EVENT_STREAM_TYPE,
                "Cache-Control": "no-store",
                **answer_headers(head),
            }
        )
        try:
            await self.response.prepare(self.request)
        except ConnectionError as error:
            raise CallerGone(
                "the caller left before the answer", step="write"
            ) from error

    async def write(self, raw: bytes) -> None:
        """Send complete events; raise CallerGone if the caller left."""
        try:
            await self.response.write(raw)
        except ConnectionError as error:
            raise CallerGone(
                "the caller left during the answer", step="write"
            ) from error


def answer_headers(head: AnswerHead) -> dict[str, str]:
    """Return the headers that describe how a chat was answered."""
    return {
        REQUEST_ID_HEADER: head.request_id,
        ENGINE_HEADER: head.engine_id,
        AFFINITY_HEADER: head.engine_id,
        CACHED_TOKENS_HEADER: str(head.cached_tokens),
        PROMPT_TOKENS_HEADER: str(head.prompt_tokens),
        "X-Run": "ran",
    }


class ChatViews:
    """Serve chats as event streams or single responses."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [web.post("/v1/chat/completions", self.complete)]

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat turn, or resume one after its Last-Event-ID."""
        context = self.context
        with context.drain.request(context.clock()):
            call = self.context.read_call(request)
            body = await read_body(request, self.context.settings.max_body_bytes)
            if call.last_event_id:
                return await self._resume(request, call)
            return await self._answer_turn(request, call, self._parse(call, body))

    def _parse(self, call: CallContext, body: bytes) -> ChatCall:
        chat = parse_chat(
            body,
            workspace=call.workspace.workspace_id,
            chat=call.chat or call.request_id,
            request_id=call.request_id,
            request_class=RequestClass(call.request_class),
            deadline=call.deadline,
            resumable=call.resumable,
            hint_engine=call.affinity,
        )
        if chat.model not in call.workspace.models:
            raise refuse(
                RefusalCause.MODEL_UNKNOWN,
                f"workspace {chat.workspace} has no model {chat.model}",
            )
        return chat

    async def _answer_turn(
        self, request: web.Request, call: CallContext, chat: ChatCall
    ) -> web.StreamResponse:
        if not chat.streamed:
            return await self._answer_unstreamed(chat)
        sink = StreamSink(request)
        try:
            await self.context.relay.run(chat, sink)
        except (Refused, CallerGone) as error:
            return await self._end_with_error(request, sink, call, error)
        self._record(chat.request_id, "answered completely")
        await sink.response.write_eof()
        return sink.response

    async def _answer_unstreamed(self, chat: ChatCall) -> web.Response:
        answer = await self.context.relay.answer(chat)
        self._record(chat.request_id, f"answered completely by {answer.head.engine_id}")
        return make_response(
            answer.body,
            content_type="application/json",
            headers=answer_headers(answer.head),
        )

    async def _resume(
        self, request: web.Request, call: CallContext
    ) -> web.StreamResponse:
        sink = StreamSink(request)
        try:
            await self.context.relay.resume(
                call.last_event_id, call.workspace.workspace_id, sink
            )
        except (Refused, CallerGone) as error:
            return await self._end_with_error(request, sink, call, error)
        self._record(call.request_id, "resumed and answered completely")
        await sink.response.write_eof()
        return sink.response

    async def _end_with_error(
        self,
        request: web.Request,
        sink: StreamSink,
        call: CallContext,
        error: Refused | CallerGone,
    ) -> web.StreamResponse:
        if isinstance(error, CallerGone):
            error = refuse(RefusalCause.CALLER_GONE_AFTER_SEND, str(error))
        if sink.response is None:
            raise error
        # The status is already sent, so the error is reported as an event.
        self.context.metrics.incr(error.reason.counter)
        self._record(call.request_id, f"answer ended early: {error.reason.value}")
        try:
            await sink.response.write(problems.render_event(error, call.request_id))
            await sink.response.write_eof()
        except ConnectionError:
            self._record(call.request_id, "the caller left before the error was sent")
        return sink.response

    def _record(self, request_id: str, detail: str) -> None:
        self.context.journal.record(
            request_id, "chat", detail, self.context.wall_clock()
        )
