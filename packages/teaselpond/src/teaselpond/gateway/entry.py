"""Handle callers' HTTP requests: read, admit, relay and answer them."""

import asyncio
from collections.abc import Callable

from aiohttp.web_request import BaseRequest
from attrs import define, field

from ..inbound.bodies import BodyRefusal, InboundBody
from ..inbound.gates import MemoryGate
from ..timeouts import RunningWaits
from . import web
from .admission import Admission
from .calls import Call, Head
from .codec import HeaderCodec
from .drain import Drain, Phase
from .exceptions import MalformedRequest, StreamCut
from .journal import Journal
from .metrics import Metrics
from .relay import Relay
from .replies import Refusal, Reply
from .routing_state import RoutingState
from .servers import CallerStream, build_response

# A process that has just started has its state within this time, unless
# neither peers nor the store answer.
START_WAIT_SECONDS = 0.3
# Applies until the first configuration is loaded.
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024


@define(eq=False)
class CallerRequestHandler:
    """Handle a caller's request from its arrival to the end of the answer."""

    codec: HeaderCodec
    routing_state: RoutingState
    admission: Admission
    relay: Relay
    drain: Drain
    journal: Journal
    metrics: Metrics
    clock: Callable[[], float]
    has_started: asyncio.Event
    gate: MemoryGate
    reading: RunningWaits = field(factory=RunningWaits)

    async def handle(self, request: BaseRequest) -> web.StreamResponse:
        """Answer one request, and count it as running for the drain."""
        now = self.clock()
        self.drain.record_start(now)
        try:
            response = await self._handle(request, now)
            await self._write(request, response)
            return response
        finally:
            self.drain.record_end()

    async def _handle(self, request: BaseRequest, now: float) -> web.StreamResponse:
        try:
            head = self.codec.decode_head(
                request.method, request.raw_path, request.headers
            )
        except MalformedRequest as error:
            reply = self.relay.refuse(Refusal.MALFORMED, "")
            return self._respond_with_refusal(
                request, reply, "", now, reason=str(error)
            )
        if self.drain.phase(now) in (Phase.REFUSING, Phase.ENDED):
            return self._refuse(request, Refusal.LEAVING, head, now)
        await self._wait_for_start()
        inbound_body = InboundBody(self.gate)
        try:
            body = await self._read_body(request, head, inbound_body)
            if isinstance(body, Refusal):
                return self._refuse(request, body, head, now)
            call = self.admission.admit(head, body, now, self.clock())
            if isinstance(call, Refusal):
                return self._refuse(request, call, head, now)
            return await self._relay_call(request, call)
        finally:
            inbound_body.release()

    def end_reading(self, now: float) -> None:
        """Refuse the requests whose bodies are incomplete.

        ``now`` is the time of the event loop.
        """
        self.reading.end_all(now)

    def end_calls(self, now: float) -> None:
        """End all running calls with a final answer.

        ``now`` is the time of the event loop.
        """
        self.reading.end_all(now)
        self.relay.running.end_all(now)

    async def _write(self, request: BaseRequest, response: web.StreamResponse) -> None:
        """Write an answer while its call still counts as running.

        A planned stop thereby waits for callers that read slowly.
        """
        transport = request.transport
        is_closed = transport is None or transport.is_closing()
        try:
            await response.prepare(request)
            await response.write_eof()
        except ConnectionError as error:
            if is_closed:
                # The connection was closed on purpose, or its end is logged.
                return
            self.journal.write(
                "answer-not-taken",
                self.clock(),
                path=request.raw_path[:80],
                status=response.status,
                error=repr(error)[:80],
            )

    async def _wait_for_start(self) -> None:
        """Wait a little while a process that has just started reads its state.

        Its caller would otherwise be refused shortly before it can be served,
        and all other hosts may be starting too.
        """
        if self.has_started.is_set():
            return
        try:
            async with asyncio.timeout(START_WAIT_SECONDS):
                await self.has_started.wait()
        except TimeoutError:
            return

    async def _read_body(
        self, request: BaseRequest, head: Head, inbound_body: InboundBody
    ) -> bytes | Refusal:
        configuration = self.routing_state.configuration
        limit = DEFAULT_MAX_BODY_BYTES
        if configuration is not None:
            limit = configuration.limits.body_bytes
        if not request.content.is_eof():
            admitted = self.admission.check_head(head, self.clock())
            if isinstance(admitted, Refusal):
                return admitted
        body = await inbound_body.read(request, limit, self.reading)
        return Refusal[body.name] if isinstance(body, BodyRefusal) else body

    async def _relay_call(self, request: BaseRequest, call: Call) -> web.StreamResponse:
        sink = CallerStream(request, close=self._is_leaving(call.arrived_at))
        try:
            reply = await self.relay.run(call, sink)
        except StreamCut as error:
            self._record_end(call, "cut", reason=str(error))
            return sink.abort()
        except asyncio.CancelledError:
            self._record_end(call, "caller-gone")
            raise
        except ConnectionError:
            self._record_end(call, "caller-gone")
            return sink.abort()
        except Exception as error:
            # An unexpected error in the gateway: the call may have run, so the
            # caller gets a 502.
            self._record_end(call, "internal-error", status=502, reason=repr(error))
            if sink.has_begun:
                return sink.abort()
            reply = self.relay.refuse(Refusal.INTERNAL, call.head.request_id)
            self.metrics.record_refusal(Refusal.INTERNAL.value)
            return build_response(reply, close=True)
        if reply is None:
            self._record_end(call, "answered", status=sink.response.status)
            return sink.response
        self._record_end(
            call,
            "answered" if reply.refusal is None else "refused",
            status=reply.status,
            reason=reply.refusal.value if reply.refusal else None,
        )
        if reply.refusal is not None:
            self.metrics.record_refusal(reply.refusal.value)
        return build_response(reply, close=self._is_leaving(self.clock()))

    def _record_end(self, call: Call, outcome: str, **fields: object) -> None:
        now = self.clock()
        self.metrics.record_answer(call, int(fields.get("status") or 0), now)
        self.journal.write(
            outcome,
            now,
            id=call.head.request_id,
            route=call.route.name,
            workspace=call.workspace.name if call.workspace else None,
            version=call.version,
            seconds=round(now - call.arrived_at, 4),
            deadline_seconds=round(call.expires_at - call.arrived_at, 3),
            **fields,
        )

    def _refuse(
        self, request: BaseRequest, refusal: Refusal, head: Head, now: float
    ) -> web.Response:
        reply = self.relay.refuse(refusal, head.request_id)
        return self._respond_with_refusal(request, reply, head.request_id, now)

    def _respond_with_refusal(
        self,
        request: BaseRequest,
        reply: Reply,
        request_id: str,
        now: float,
        reason: str = "",
    ) -> web.Response:
        configuration = self.routing_state.configuration
        self.metrics.record_refusal(reply.refusal.value)
        self.journal.write(
            "refused",
            self.clock(),
            id=request_id,
            reason=reply.refusal.value,
            detail=reason,
            status=reply.status,
            path=request.raw_path[:80],
            version=configuration.version if configuration else None,
            confirmed_seconds=self.routing_state.freshness.age(now),
        )
        close = not request.content.at_eof() or self._is_leaving(now)
        return build_response(reply, close=close)

    def _is_leaving(self, now: float) -> bool:
        return self.drain.phase(now) is not Phase.SERVING
