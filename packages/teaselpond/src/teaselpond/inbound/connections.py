"""Parse callers' requests, and bound what a connection may send."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp.web_protocol import RequestHandler, _ErrInfo
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from attrs import define, field

from ..timeouts import PauseAwareTimer
from .budgets import Holding
from .gates import MemoryGate
from .seats import KEEPALIVE_FACTOR, Seat, State, get_reuse_seconds

# These apply until the first configuration is loaded.
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_HEADER_SECONDS = 3.0
# Sizes of chunks, extensions and trailers may have this many bytes beyond as
# many as the body. Chunks of one byte have five bytes of them each.
FRAMING_BYTES = 16 * 1024
FRAMING_FACTOR = 6
# Some clients send an empty line after a body.
STRAY_LINE_BYTES = 4
# After a refusal the rest is read and dropped for so long, as closing a socket
# with unread bytes resets it and the caller may not get the answer.
DISCARD_BYTES = 1024 * 1024
DISCARD_SECONDS = 1.0
# Requests that wait for the answer to the one before them on a connection.
PIPELINED_REQUESTS = 4


class ExcessiveInput(Exception):
    """Report input that is larger than any sound one."""


@define
class HeadLimits:
    """Limit the bytes of a head, and the time in which it must arrive."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    header_seconds: float = DEFAULT_HEADER_SECONDS


DEFAULT_HEAD_LIMITS = HeadLimits()


@define(eq=False)
class ConnectionHooks:
    """Connect the connections of one port to what they share.

    ``idle_seconds`` is when an idle connection may be ended for another one.
    ``report`` is called with what was ended, the reason, and the address of
    the other end. ``freed`` is called when a connection ends.
    ``decompresses`` tells that the library decompresses bodies.
    ``idle_limit`` returns the limit of the configuration in force, which then
    replaces ``idle_seconds`` and the server's own timeout.
    """

    gate: MemoryGate
    head_limits: Callable[[], HeadLimits]
    idle_seconds: float
    report: Callable[[str, str, str], None]
    freed: Callable[[], None] = lambda: None
    decompresses: bool = False
    idle_limit: Callable[[], float] | None = None
    connections_by_seat: dict[Seat, "InboundConnection"] = field(factory=dict)

    def get_idle_seconds(self) -> float:
        """Return when an idle connection may be ended for another one."""
        if self.idle_limit is None:
            return self.idle_seconds
        return get_reuse_seconds(self.idle_limit())


class InboundConnection(RequestHandler):
    """Handle the requests of one connection within the limits."""

    def __init__(self, hooks: ConnectionHooks, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._max_msg_queue_size = PIPELINED_REQUESTS
        self._msg_queue_resume_size = PIPELINED_REQUESTS // 2
        self._hooks = hooks
        now = self._loop.time()
        self.seat = Seat("", now)
        self.holding: Holding | None = None
        self.end_body: Callable[[], None] = lambda: None
        self._head = Holding(now)
        self._queued = Holding(now)
        self._body: asyncio.StreamReader | None = None
        self._body_received = 0
        self._body_start = 0
        # The bytes of the body are not those that were received.
        self._is_encoded = False
        self._dropped_bytes = 0
        self._is_dropping = False
        self._is_head_begun = False
        self._dropped_enough: asyncio.Event | None = None
        self._timer = PauseAwareTimer(self._end_slow_head)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to count the connection."""
        peer = transport.get_extra_info("peername")
        self.seat.ip = peer[0] if peer else ""
        self._hooks.connections_by_seat[self.seat] = self
        if self._hooks.idle_limit is not None:
            self._keepalive_timeout = KEEPALIVE_FACTOR * self._hooks.idle_limit()
        super().connection_made(transport)

    def _process_keepalive(self) -> None:
        """Close the connection if it was idle for too long.

        The library calls this when the timeout that it was created with is
        over. A later configuration may allow more.
        """
        if self._hooks.idle_limit is not None:
            seconds = KEEPALIVE_FACTOR * self._hooks.idle_limit()
            self._next_keepalive_close_time = self.seat.since + seconds
        super()._process_keepalive()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._reset_head()
        self._hooks.gate.release(self._queued)
        self._hooks.connections_by_seat.pop(self.seat, None)
        super().connection_lost(exc)
        self._hooks.freed()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or drop them after a refusal."""
        if self._is_dropping or self._close:
            self._drop(len(data))
            return
        count, body = self._request_count, self._body
        is_in_body = body is not None and not body.is_eof()
        body_bytes = body.total_bytes if is_in_body else 0
        super().data_received(data)
        # The library calls this without data to parse what it has buffered.
        has_begun = self._request_count != count
        if self.transport is None or not (data or has_begun):
            return
        if len(self._messages) > 1 or self._request_in_progress:
            self._count_queued()
        self.seat.since = now = self._loop.time()
        if has_begun:
            self._begin_body(len(data))
        elif not is_in_body:
            self._continue_head(data, now)
        elif not body.is_eof():
            self._continue_body(len(data), now)
        elif not self._is_encoded:
            # What follows the end of a body is the begin of the next head.
            rest = len(data) - (body.total_bytes - body_bytes)
            if rest > 0:
                self._continue_head(data[-rest:], now)

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        """Send the answer; drop the rest of an unread request for a while."""
        finished = await super().finish_response(request, resp, start_time)
        self.seat.since = self._loop.time()
        if self._queued.held_bytes:
            self._count_queued()
        if self._is_dropping or not request.content.is_eof():
            self.close()
            await self._discard()
        return finished

    @property
    def gate(self) -> MemoryGate:
        """Return the memory that the connections share."""
        return self._hooks.gate

    def report(self, what: str, reason: str) -> None:
        """Record that something of this connection was ended."""
        self._hooks.report(what, reason, self.seat.ip)

    def is_busy(self) -> bool:
        """Return whether a request is being handled or waits for that."""
        return self._request_in_progress or bool(self._messages)

    @property
    def _is_refused(self) -> bool:
        """Return whether the last answer was sent and the rest is dropped.

        Requests before a malformed one are still answered.
        """
        return self._dropped_enough is not None

    def update_seat(self) -> Seat:
        """Return the connection's description with its present state."""
        seat = self.seat
        if self._is_refused:
            seat.state = State.REFUSED
        elif self._is_head_begun or (
            self.holding is not None and not self.holding.is_complete
        ):
            seat.state = State.READING
        elif self.is_busy():
            seat.state = State.BUSY
        else:
            seat.state = State.IDLE if self._request_count else State.UNUSED
        return seat

    def end_for_other(self) -> None:
        """End the connection so that another one can be opened."""
        self.seat.is_ending = True
        if self._is_refused:
            self.force_close()
        elif self.holding is not None:
            self.end_body()
        elif self._is_head_begun:
            self.end("head", "no-connection", "408 Request Timeout")
        else:
            self.end("connection", "no-connection")

    def end(self, what: str, reason: str, status: str = "") -> None:
        """Close the connection, with an answer if no request is handled.

        A request that is handled is answered first.
        """
        if self.transport is None or self._is_dropping:
            return
        self._hooks.report(what, reason, self.seat.ip)
        self._reset_head()
        if self.is_busy():
            self.close()
            return
        self._is_dropping = True
        if status:
            self.transport.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            self._loop.create_task(self._discard_and_close())
        else:
            self.force_close()

    def _count_queued(self) -> None:
        """Count the requests that wait for the answer to the one before them.

        What has arrived of their bodies counts too.
        """
        queued, gate = self._queued, self._hooks.gate
        count = sum(
            _count_head_bytes(message) + body.total_bytes
            for message, body in self._messages
            if not isinstance(message, _ErrInfo)
        )
        if not count:
            gate.release(queued)
            return
        queued.progressed_at = self._loop.time()
        if count <= queued.held_bytes:
            gate.shrink(queued, count)
            return
        gate.end_by_holding[queued] = self._end_queued
        gate.hold(queued, count - queued.held_bytes)
        if queued.has_ended:
            self._end_queued()

    def _end_queued(self) -> None:
        """Close the connection after the present answer, without the rest."""
        self._hooks.report("queue", "no-room", self.seat.ip)
        # One that the library is about to handle stays.
        kept = 0 if self._request_in_progress else 1
        while len(self._messages) > kept:
            self._messages.pop()
        if self._queued.held_bytes:
            self._hooks.gate.release(self._queued)
        self.close()

    def _begin_body(self, received: int) -> None:
        """Note the last of the requests whose heads are complete now."""
        head_bytes = self._head.held_bytes + received
        self._reset_head()
        if not self._messages:
            return
        message, self._body = self._messages[-1]
        self._body_start = self._body_received = received
        if isinstance(message, _ErrInfo):
            # The parser cannot go on, and the error is the last answer.
            self._is_dropping = True
            return
        self._is_encoded = message.chunked or bool(
            message.compression and self._hooks.decompresses
        )
        limit = self._hooks.head_limits().header_bytes
        if head_bytes > limit and _count_head_bytes(message) > limit:
            self._hooks.report("head", "too-large", self.seat.ip)
            error = _ErrInfo(431, ExcessiveInput("head over the limit"), "")
            self._messages[-1] = error, self._body
            self._is_dropping = True

    def _continue_head(self, data: bytes, now: float) -> None:
        head, gate = self._head, self._hooks.gate
        limits = self._hooks.head_limits()
        is_stray = len(data) <= STRAY_LINE_BYTES and not data.strip(b"\r\n")
        if not head.held_bytes:
            head.progressed_at = now
            gate.end_by_holding[head] = self._end_stalled_head
        gate.hold(head, len(data))
        head.record_progress(len(data), now)
        if not is_stray:
            self._is_head_begun = True
            if self._timer.when() is None:
                self._timer.start(limits.header_seconds)
        if head.held_bytes > limits.header_bytes:
            self.end("head", "too-large", "431 Request Header Fields Too Large")
        elif head.has_ended:
            self._end_stalled_head()

    def _continue_body(self, received: int, now: float) -> None:
        self._body_received += received
        body_bytes = self._body.total_bytes
        if self.holding is not None:
            self.holding.record_progress(received, now)
        framing = self._body_received - self._body_start - body_bytes
        if framing > FRAMING_BYTES + FRAMING_FACTOR * body_bytes:
            self._body.set_exception(ExcessiveInput("body is mostly framing"))
            self._hooks.report("body", "framing", self.seat.ip)
            self._body = None
            self.close()

    def _end_slow_head(self) -> None:
        self.end("head", "slow", "408 Request Timeout")

    def _end_stalled_head(self) -> None:
        self.end("head", "no-room", "408 Request Timeout")

    def _reset_head(self) -> None:
        if self._head.held_bytes:
            self._hooks.gate.release(self._head)
        self._is_head_begun = False
        if self._timer.when() is not None:
            self._timer.start(None)

    def _drop(self, count: int) -> None:
        self._dropped_bytes += count
        if self._dropped_bytes <= DISCARD_BYTES:
            return
        self._pause_transport_reading()
        if self._dropped_enough is not None:
            self._dropped_enough.set()

    async def _discard(self) -> None:
        self._is_dropping = True
        self.seat.since = self._loop.time()
        self.seat.is_ending = False
        self._dropped_enough = asyncio.Event()
        if self._dropped_bytes > DISCARD_BYTES or self.transport is None:
            return
        self._resume_transport_reading()
        try:
            if self.transport.can_write_eof():
                self.transport.write_eof()
            async with asyncio.timeout(DISCARD_SECONDS):
                await self._dropped_enough.wait()
        except (TimeoutError, OSError):
            return

    async def _discard_and_close(self) -> None:
        await self._discard()
        self.force_close()


def _count_head_bytes(message: Any) -> int:
    lines = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
    return len(message.path) + lines
