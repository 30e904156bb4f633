"""Serve an upstream whose entry is in the platform's row store."""

import asyncio
import enum
import random
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web
from attrs import define, field, frozen
from multidict import CIMultiDict

from teaselpond_model.contracts import Address

from ..faults import FaultPlan
from ..server import LoopbackServer, abort, make_app, send_truncated

REQUEST_ID = "X-Teaselpond-Attempt-Id"
SIGNATURE = "X-Teaselpond-Server-Seal"
NOT_RUN = "X-Teaselpond-Not-Executed"
EXPECT_ENGINE = "X-Teaselpond-Expect-Instance"
ENGINE_ID = "X-Teaselpond-Instance-Id"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
PREFIX_HASH = "X-Teaselpond-Prefix-Hash"
ENDLESS_BODY = bytes(64 * 1024)
ENDLESS_COMMENTS = b": nothing yet\n\n" * 1024
ENDLESS_HEADS = b"HTTP/1.1 100 Continue\r\n\r\n" * 256
ENDLESS_CHUNKS = b"1\r\nx\r\n" * 1024
ENDLESS_GAP_SECONDS = 0.001
STREAM_PREFIXES = ("/stream/", "/single/")
# SO_LINGER with a timeout of 0: closing sends a reset instead of a FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ListedFaultKind(enum.Enum):
    """List the faults that a call can have."""

    # The call does not run.
    SHED = "shed"
    # The same with the time in which the upstream wants no further calls.
    BACK_OFF = "back-off"
    DROP = "drop"
    OTHER_ENGINE = "other-engine"
    # The call runs.
    FAIL = "fail"
    FALSE_SHED = "false-shed"
    RUN_THEN_DROP = "run-then-drop"
    HALF = "half"
    CROSS = "cross"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed-reset"
    SILENCE = "silence"
    CUT_STREAM = "cut-stream"
    CUT_EVENT = "cut-event"
    STALL_STREAM = "stall-stream"
    ENDLESS = "endless"
    # Bytes without end that are hardly any body: heads, or chunks of one byte.
    ENDLESS_HEADS = "endless-heads"
    ENDLESS_CHUNKS = "endless-chunks"


NOT_RUN_KINDS = frozenset(
    {
        ListedFaultKind.SHED,
        ListedFaultKind.BACK_OFF,
        ListedFaultKind.DROP,
        ListedFaultKind.OTHER_ENGINE,
    }
)


@frozen
class ListedFault:
    """Describe a fault; a stream sends ``events`` events before it."""

    kind: ListedFaultKind
    events: int = 0


@frozen
class SeenCall:
    """Record a call as the upstream received it.

    ``at`` is in seconds of the monotonic clock.
    """

    at: float
    request_id: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes


@define(eq=False)
class ListedUpstream:
    """Serve a stand-in of an upstream on one loopback port.

    A stream has ``stream_events`` events, ``event_seconds`` apart, and pauses
    for ``pause_seconds`` before the event ``pause_event``, if set, unless it
    goes on there. Each answer has a header with the engine's id as its
    signature. While ``is_leaving`` is set, all answers say so.
    ``retry_after`` is the header of that name in the answers to calls that
    get the fault BACK_OFF. A call whose target or body contains
    ``crash_marker`` runs, and is not answered: ``crash`` is called instead;
    so does a stream on a prompt with a part of that id, after the head of its
    answer. ``endless_bytes`` counts what answers with the fault ENDLESS have
    sent. Other answers than streams are padded to ``answer_bytes``. While
    ``is_unframed`` is set, a stream has neither a length nor chunks and ends
    with its connection; the lines of its events end in ``line_end``. A
    portion of calls, ``fail_ratio``, fails; ``version`` is in the entry.
    """

    engine_id: str
    port: int = 0
    stream_events: int = 5
    event_seconds: float = 0.0
    pause_event: int | None = None
    pause_seconds: float = 0.0
    work_seconds: float = 0.0
    is_leaving: bool = False
    retry_after: str = "1"
    cached_parts: tuple[tuple[str, int], ...] = ()
    crash_marker: bytes | None = None
    crash: Callable[[], Awaitable[None]] | None = None
    faults: FaultPlan[ListedFault] = field(factory=FaultPlan)
    seen_calls: list[SeenCall] = field(factory=list)
    runs_by_id: Counter[str] = field(factory=Counter)
    running: int = 0
    max_running: int = 0
    endless_bytes: int = 0
    answer_bytes: int = 0
    is_unframed: bool = False
    line_end: str = "\n"
    version: str = "v1"
    fail_ratio: float = 0.0
    server: LoopbackServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.server = LoopbackServer(self._make_app(), self.port, cancels_handlers=True)

    @property
    def address(self) -> Address:
        """Return the address of the running server."""
        return self.server.address

    async def __aenter__(self) -> "ListedUpstream":
        await self.server.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.server.stop()

    def add_fault(
        self, kind: ListedFaultKind, *, count: int = 1, events: int = 0
    ) -> None:
        """Add a fault for the next ``count`` calls."""
        self.faults.add(ListedFault(kind, events), count)

    def entry(self, service: str, **fields: object) -> dict:
        """Return the upstream's entry for the store.

        ``fields`` replace fields of the entry or add to them.
        """
        return {
            "Service": service,
            "Address": str(self.address),
            "Zone": "zone-a",
            "Version": self.version,
            "Slots": 64,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": 1,
            **fields,
        }

    def _make_app(self) -> web.Application:
        app = make_app()
        app.add_routes(
            [
                web.get("/v1/kv-list", self._list_cache),
                web.get("/healthz", self._tell_health),
                web.route("*", "/{path:.*}", self._call),
            ]
        )
        return app

    async def _list_cache(self, request: web.Request) -> web.Response:
        held = [["", part_id, tokens, "m"] for part_id, tokens in self.cached_parts]
        return web.json_response({"epoch": 1, "Next": 1, "held": held})

    async def _tell_health(self, request: web.Request) -> web.Response:
        headers = {ENGINE_ID: self.engine_id, **self._leaving_header()}
        return web.Response(status=503 if self.is_leaving else 200, headers=headers)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        self.seen_calls.append(
            SeenCall(
                time.monotonic(),
                request.headers.get(REQUEST_ID, ""),
                request.method,
                request.raw_path,
                CIMultiDict(request.headers),
                await request.read(),
            )
        )
        expected = request.headers.get(EXPECT_ENGINE, self.engine_id)
        fault = self.faults.consume(lambda armed: True)
        if fault is None and random.random() < self.fail_ratio:
            fault = ListedFault(ListedFaultKind.FAIL)
        kind = fault.kind if fault is not None else None
        if kind is ListedFaultKind.OTHER_ENGINE or expected != self.engine_id:
            return web.Response(status=421)
        if kind is ListedFaultKind.DROP:
            return abort(request)
        if kind in (ListedFaultKind.SHED, ListedFaultKind.BACK_OFF):
            headers = {NOT_RUN: "1", **self._leaving_header()}
            if kind is ListedFaultKind.BACK_OFF:
                headers[RETRY_AFTER] = self.retry_after
            return web.Response(status=503, headers=headers)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await self._run(request, fault)
        except ConnectionResetError:
            # The caller disconnected, so this response reaches nobody.
            return web.Response(status=500)
        finally:
            self.running -= 1

    async def _is_crashing(self, request: web.Request) -> bool:
        if self.crash_marker is None:
            return False
        sent = request.raw_path.encode() + await request.read()
        return self.crash_marker in sent

    def _has_crashing_part(self, request: web.Request) -> bool:
        if self.crash_marker is None:
            return False
        parts = request.headers.get(PREFIX_HASH, "").split(",")
        marker = self.crash_marker.decode()
        return any(part.partition(":")[0] == marker for part in parts)

    def _leaving_header(self) -> dict[str, str]:
        return {LEAVING: "1"} if self.is_leaving else {}

    async def _run(
        self, request: web.Request, fault: ListedFault | None
    ) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        self.runs_by_id[request_id] += 1
        await asyncio.sleep(self.work_seconds)
        if await self._is_crashing(request):
            await self.crash()
            return abort(request)
        headers = {
            REQUEST_ID: request_id,
            SIGNATURE: f"signed-by-{self.engine_id}",
            **self._leaving_header(),
        }
        if request.path.startswith(STREAM_PREFIXES):
            return await self._stream(request, headers, fault)
        body = f"{request.method} {request.raw_path} by {self.engine_id}".encode()
        body = body.ljust(self.answer_bytes)
        response = web.Response(body=body, headers=headers)
        if fault is None:
            return response
        return await self._apply_fault(request, response, fault)

    async def _stream(
        self, request: web.Request, headers: dict, fault: ListedFault | None
    ) -> web.StreamResponse:
        if fault is not None and fault.kind in (
            ListedFaultKind.FAIL,
            ListedFaultKind.SILENCE,
            ListedFaultKind.RUN_THEN_DROP,
        ):
            response = web.Response(body=b"failed", headers=headers)
            return await self._apply_fault(request, response, fault)
        if fault is not None and fault.kind is ListedFaultKind.ENDLESS_HEADS:
            return await self._send_framing_endlessly(request, ENDLESS_HEADS)
        make_response = UnframedResponse if self.is_unframed else web.StreamResponse
        response = make_response(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        if self._has_crashing_part(request):
            await self.crash()
            request.transport.abort()
            return response
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.stream_events + 1):
            if fault is not None and number - first >= fault.events:
                if fault.kind is ListedFaultKind.ENDLESS:
                    return await self._send_endlessly(response, ENDLESS_COMMENTS)
                if fault.kind is ListedFaultKind.ENDLESS_CHUNKS:
                    return await self._send_framing_endlessly(request, ENDLESS_CHUNKS)
                if fault.kind is ListedFaultKind.STALL_STREAM:
                    await asyncio.Event().wait()
                if fault.kind is ListedFaultKind.CUT_EVENT:
                    await response.write(f"id: {number}{self.line_end}da".encode())
                if fault.kind is ListedFaultKind.UNFRAMED_RESET:
                    return await _reset(request, response)
                # Closing sends what was written; an abort would discard it.
                request.transport.close()
                return response
            if number == self.pause_event and number > first:
                await asyncio.sleep(self.pause_seconds)
            lines = (f"id: {number}", f"data: event {number}", "", "")
            await response.write(self.line_end.join(lines).encode())
            await asyncio.sleep(self.event_seconds)
        await response.write_eof()
        return response

    async def _apply_fault(
        self, request: web.Request, response: web.Response, fault: ListedFault
    ) -> web.StreamResponse:
        match fault.kind:
            case ListedFaultKind.FAIL:
                response.set_status(500)
            case ListedFaultKind.FALSE_SHED:
                response.set_status(503)
            case ListedFaultKind.RUN_THEN_DROP:
                return abort(request)
            case ListedFaultKind.HALF:
                return await send_truncated(request, response)
            case ListedFaultKind.CROSS:
                response.headers[REQUEST_ID] = "someone-else"
            case ListedFaultKind.UNSIGNED:
                del response.headers[SIGNATURE]
            case ListedFaultKind.ENCODED:
                response.headers["Content-Encoding"] = "gzip"
            case ListedFaultKind.UNFRAMED | ListedFaultKind.UNFRAMED_RESET:
                return await _send_unframed(request, response, fault)
            case ListedFaultKind.SILENCE:
                await asyncio.Event().wait()
            case ListedFaultKind.ENDLESS:
                endless = web.StreamResponse(headers=response.headers)
                await endless.prepare(request)
                return await self._send_endlessly(endless, ENDLESS_BODY)
            case ListedFaultKind.ENDLESS_HEADS:
                return await self._send_framing_endlessly(request, ENDLESS_HEADS)
            case ListedFaultKind.ENDLESS_CHUNKS:
                endless = web.StreamResponse(headers=response.headers)
                await endless.prepare(request)
                return await self._send_framing_endlessly(request, ENDLESS_CHUNKS)
        return response

    async def _send_endlessly(
        self, response: web.StreamResponse, chunk: bytes
    ) -> web.StreamResponse:
        """Send chunks until the connection is closed, and count the bytes."""
        while True:
            await response.write(chunk)
            self.endless_bytes += len(chunk)
            # Let other calls run when a write does not wait.
            await asyncio.sleep(0)

    async def _send_framing_endlessly(
        self, request: web.Request, framing: bytes
    ) -> web.StreamResponse:
        """Send bytes as they are until the connection is closed."""
        transport = request.transport
        while not transport.is_closing():
            if not transport.get_write_buffer_size():
                transport.write(framing)
                self.endless_bytes += len(framing)
            await asyncio.sleep(ENDLESS_GAP_SECONDS)
        return web.Response()


class UnframedResponse(web.StreamResponse):
    """Send a body without a length or chunks; it ends with the connection."""

    async def prepare(self, request: web.Request) -> None:
        """Send the head."""
        self._transport = request.transport
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        self._transport.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._transport.write(data)

    async def write_eof(self, data: bytes = b"") -> None:
        """End the body by closing the connection."""
        self._transport.write(data)
        self._transport.close()


async def _send_unframed(
    request: web.Request, response: web.Response, fault: ListedFault
) -> web.Response:
    lines = [f"HTTP/1.1 {response.status} OK", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    is_complete = fault.kind is ListedFaultKind.UNFRAMED
    body = response.body if is_complete else response.body[:-3]
    request.transport.write(head + body)
    if is_complete:
        request.transport.close()
    else:
        return await _reset(request, response)
    return response


async def _reset(
    request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    """Reset a connection, after what was written has reached the reader."""
    await asyncio.sleep(0.05)
    connection = request.transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    request.transport.abort()
    return response
