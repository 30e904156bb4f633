"""Read bodies and write large answers within the memory for input."""

import asyncio
import enum

from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from attrs import define

from ..timeouts import PauseAwareTimeout, RunningWaits
from .budgets import Holding
from .connections import ExcessiveInput, InboundConnection
from .gates import MemoryGate
from .limits import BODY_TIMEOUT_SECONDS, body_timeout_seconds

# A body without a length first takes room for this, and then doubles it.
FIRST_CHUNK_BYTES = 16 * 1024
# Larger answers are written in pieces of this size.
PIECE_BYTES = 64 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyRefusal(enum.Enum):
    """List the reasons why a request is refused while its body is read.

    LEAVING is the reason at a planned stop.
    """

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    BODY_SLOW = "body-slow"
    NO_ROOM = "no-room"
    LEAVING = "leaving"


@define(eq=False)
class InboundBody:
    """Read the body of one request; ``release`` it when the call has ended."""

    gate: MemoryGate
    base_seconds: float = BODY_TIMEOUT_SECONDS
    holding: Holding | None = None
    _is_waiting: bool = False

    async def read(
        self, request: BaseRequest, limit: int, reading: RunningWaits
    ) -> bytes | BodyRefusal:
        """Return the body, or why the request is refused."""
        content = request.content
        if content.is_eof() and content.exception() is None:
            size = content.total_bytes
            if size > limit:
                return BodyRefusal.TOO_LARGE
            if not size:
                return b""
            holding = Holding(0.0, is_complete=True)
            if not self.gate.waiting and self.gate.budget.can_take(holding, size):
                self.holding = holding
                self.gate.budget.take(holding, size)
                return content.read_nowait(-1)
        if (request.content_length or 0) > limit:
            return BodyRefusal.TOO_LARGE
        return await self._read_slowly(request, limit, reading)

    def release(self) -> None:
        """Release the memory of the body."""
        if self.holding is not None:
            self.gate.release(self.holding)

    async def _read_slowly(
        self, request: BaseRequest, limit: int, reading: RunningWaits
    ) -> bytes | BodyRefusal:
        loop = asyncio.get_running_loop()
        self.holding = holding = Holding(loop.time())
        connection: InboundConnection = request.protocol
        timeout = PauseAwareTimeout(
            body_timeout_seconds(limit, self.gate.link_mbps, self.base_seconds)
        )

        def end() -> None:
            holding.has_ended = True
            timeout.reschedule(loop.time())

        self.gate.end_by_holding[holding] = end
        connection.holding, connection.end_body = holding, end
        try:
            async with reading.limit(None), timeout:
                return await self._receive(request, limit, holding)
        except TimeoutError:
            return self._refuse(connection, reading)
        except (ExcessiveInput, RequestPayloadError):
            return BodyRefusal.MALFORMED
        finally:
            connection.holding = None

    async def _receive(
        self, request: BaseRequest, limit: int, holding: Holding
    ) -> bytes | BodyRefusal:
        loop = asyncio.get_running_loop()
        length = request.content_length
        await self._take(holding, FIRST_CHUNK_BYTES if length is None else length)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(CONTINUE)
            request.writer.output_size = 0
        holding.progressed_at = loop.time()
        body = bytearray()
        async for part in request.content.iter_any():
            size = len(body) + len(part)
            if size > limit:
                return BodyRefusal.TOO_LARGE
            if size > holding.held_bytes:
                await self._take(holding, max(size, 2 * len(body)) - holding.held_bytes)
                holding.progressed_at = loop.time()
            body += part
        self.gate.end_by_holding.pop(holding, None)
        holding.is_complete = True
        self.gate.shrink(holding, len(body))
        return bytes(body)

    async def _take(self, holding: Holding, count: int) -> None:
        self._is_waiting = True
        await self.gate.take(holding, count)
        self._is_waiting = False

    def _refuse(
        self, connection: InboundConnection, reading: RunningWaits
    ) -> BodyRefusal:
        if reading.has_ended:
            return BodyRefusal.LEAVING
        refusal, reason = BodyRefusal.BODY_SLOW, "slow"
        if self._is_waiting:
            refusal, reason = BodyRefusal.NO_ROOM, "no-room"
        elif self.holding.has_ended:
            reason = "no-room"
        connection.report("body", reason)
        return refusal


class PacedResponse(Response):
    """Write a large body in pieces, and count what its reader has not taken.

    A reader that takes nothing may be ended so that others find room.
    """

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body and end the answer."""
        body = self.body
        if self._eof_sent or self._must_be_empty_body or not body:
            await super().write_eof(data)
            return
        connection: InboundConnection = self._req.protocol
        gate, transport = connection.gate, self._req.transport
        loop = asyncio.get_running_loop()
        holding = Holding(loop.time())

        def end() -> None:
            connection.report("answer", "no-room")
            if transport is not None:
                transport.abort()

        gate.end_by_holding[holding] = end
        gate.hold(holding, len(body))
        try:
            for start in range(0, len(body), PIECE_BYTES):
                await self.write(body[start : start + PIECE_BYTES])
                holding.record_progress(PIECE_BYTES, loop.time())
            await StreamResponse.write_eof(self)
        finally:
            gate.release(holding)
