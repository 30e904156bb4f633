"""Answer an engine's HTTP requests, intact or with an injected fault."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from attrs import field, frozen

from ..server import abort, send_truncated
from .batch import Run, RunState
from .engine import Engine
from .faults import EngineFault, EngineFaultKind

CROSSED_REQUEST_ID = "someone-else"
CROSSED_MESSAGES = ({"role": "user", "content": "what someone else asked"},)
RUBBISH = b"<html>rubbish"
RUBBISH_EVENT = b"data: {rubbish\n\n"
NOT_RUN = {"X-Run": "not-run"}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@frozen
class ChatRequest:
    """Hold the parsed fields of a chat request."""

    request_id: str
    priority: int
    model: str
    messages: tuple[dict[str, Any], ...]
    max_tokens: int | None
    is_stream: bool

    @classmethod
    async def read(cls, request: web.Request) -> "ChatRequest":
        """Parse a request.

        Raise ValueError, KeyError, TypeError or AttributeError if it is
        malformed.
        """
        body = await request.json()
        limit = body.get("max_completion_tokens", body.get("max_tokens"))
        return cls(
            request_id=request.headers.get("X-Request-Id", ""),
            priority=int(request.headers.get("X-Priority", "0")),
            model=body["model"],
            messages=tuple(dict(message) for message in body["messages"]),
            max_tokens=None if limit is None else int(limit),
            is_stream=bool(body.get("stream", False)),
        )


@frozen
class ChatHandler:
    """Answer the chat requests to one engine, and apply faults."""

    _engine: Engine = field(alias="engine")

    async def answer(
        self, request: web.Request, fault: EngineFault | None
    ) -> web.StreamResponse:
        """Run a chat request and send its answer, with ``fault`` if any."""
        kind = fault.kind if fault is not None else None
        if kind is EngineFaultKind.DROP:
            return abort(request)
        try:
            chat = await ChatRequest.read(request)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return _problem(400, f"malformed request: {error!r}")
        if kind is EngineFaultKind.REFUSE or not self._engine.accepts(chat.model):
            self._engine.records.refused += 1
            return _problem(503, "refused before running", NOT_RUN)
        run = self._engine.submit(
            chat.request_id, chat.messages, chat.priority, chat.max_tokens
        )
        if kind is EngineFaultKind.CROSS:
            run = self._engine.submit(CROSSED_REQUEST_ID, CROSSED_MESSAGES, 0, None)
        try:
            if chat.is_stream and kind is not EngineFaultKind.FAIL:
                return await self._send_stream(request, run, 0, fault)
            return await self._send_whole(request, run, fault)
        except asyncio.CancelledError:
            # A stream continues without its reader, who may resume it. Other
            # answers, and streams whose id was never sent, can't be resumed.
            if not (chat.is_stream and run.started.is_set()):
                self._engine.cancel(run)
            raise

    async def resume(
        self, request: web.Request, fault: EngineFault | None
    ) -> web.StreamResponse:
        """Resume a stream after the event given in the query."""
        if fault is not None and fault.kind is EngineFaultKind.DROP:
            return abort(request)
        if fault is not None and fault.kind is EngineFaultKind.REFUSE:
            return _problem(503, "refused")
        run = self._engine.runs_by_stream_id.get(request.match_info["stream_id"])
        if run is None or run.state is RunState.CANCELLED:
            return _problem(404, "no such stream")
        after = int(request.query.get("after", "0"))
        return await self._send_stream(request, run, after, fault)

    async def answer_with_fault(
        self, request: web.Request, handler: Handler, fault: EngineFault
    ) -> web.StreamResponse:
        """Answer a call other than a chat or resumption with a fault."""
        match fault.kind:
            case EngineFaultKind.REFUSE:
                return _problem(503, "refused")
            case EngineFaultKind.DROP:
                return abort(request)
            case EngineFaultKind.SILENCE:
                await asyncio.Event().wait()
        response = await handler(request)
        match fault.kind:
            case EngineFaultKind.BREAK:
                return abort(request)
            case EngineFaultKind.RUBBISH:
                return web.Response(body=RUBBISH, content_type="text/html")
            case EngineFaultKind.CRASH:
                self._engine.crash()
        return response

    async def _send_stream(
        self, request: web.Request, run: Run, after: int, fault: EngineFault | None
    ) -> web.StreamResponse:
        await run.started.wait()
        if run.state is RunState.CANCELLED:
            return abort(request)
        response = web.StreamResponse(headers=self._headers(run))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        if fault is not None and fault.event == 0:
            if await self._apply_fault(request, response, run, fault, b""):
                return response
        async for event in run.stream.follow(after):
            await response.write(event.encode())
            if fault is not None and fault.event == event.event_id:
                if await self._apply_fault(
                    request, response, run, fault, event.encode()
                ):
                    return response
        await response.write_eof()
        return response

    async def _apply_fault(
        self,
        request: web.Request,
        response: web.StreamResponse,
        run: Run,
        fault: EngineFault,
        event: bytes,
    ) -> bool:
        """Apply a fault to a stream and return whether the stream ends there.

        ``event`` is the last event sent, encoded.
        """
        match fault.kind:
            case EngineFaultKind.BREAK:
                abort(request)
            case EngineFaultKind.FORGET:
                self._engine.cancel(run)
                self._engine.runs_by_stream_id.pop(run.stream.stream_id, None)
                abort(request)
            case EngineFaultKind.SILENCE:
                await asyncio.Event().wait()
            case EngineFaultKind.TRUNCATE:
                await response.write_eof()
            case EngineFaultKind.CRASH:
                self._engine.crash()
            case EngineFaultKind.DUPLICATE:
                await response.write(event)
                return False
            case EngineFaultKind.RUBBISH:
                await response.write(RUBBISH_EVENT)
                return False
            case _:
                return False
        return True

    async def _send_whole(
        self, request: web.Request, run: Run, fault: EngineFault | None
    ) -> web.StreamResponse:
        async for _ in run.stream.follow(0):
            pass
        if not run.stream.is_done:
            return abort(request)
        response = web.json_response(
            run.stream.whole_answer(run.usage), headers=self._headers(run)
        )
        match fault.kind if fault is not None else None:
            case EngineFaultKind.BREAK | EngineFaultKind.FORGET:
                return abort(request)
            case EngineFaultKind.SILENCE:
                await asyncio.Event().wait()
            case EngineFaultKind.CRASH:
                self._engine.crash()
            case EngineFaultKind.FAIL:
                return _problem(500, "failed after running")
            case EngineFaultKind.RUBBISH:
                return web.Response(body=RUBBISH, headers=self._headers(run))
            case EngineFaultKind.TRUNCATE:
                return await send_truncated(request, response)
        return response

    def _headers(self, run: Run) -> dict[str, str]:
        return {
            "X-Request-Id": run.request_id,
            "X-Incarnation": self._engine.incarnation,
            "X-Stream-Id": run.stream.stream_id,
            "X-Cached-Tokens": str(run.cached_tokens),
            "X-Prompt-Tokens": str(run.prompt_tokens),
        }


def _problem(
    status: int, message: str, headers: dict[str, str] | None = None
) -> web.Response:
    body = {"error": {"message": message, "type": "engine_error", "code": status}}
    return web.json_response(body, status=status, headers=headers)
