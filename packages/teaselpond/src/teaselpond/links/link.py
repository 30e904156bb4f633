"""Exchange frames with one daemon over one connection."""

import asyncio
import inspect
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from attrs import define, field
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from teaselpond_model.exceptions import TeaselpondError

from . import codec
from .exceptions import (
    AnswerLost,
    CallFailed,
    LinkError,
    PeerUnavailable,
    UnknownMessage,
)
from .messages import Done, Failure, Flow, Frame, Goodbye, Heartbeat, message_name_for
from .peers import Identity, LinkSettings
from .traffic import Traffic, websocket_bytes

Handler = Callable[[Any, Identity], Any | Awaitable[Any]]
FindHandler = Callable[[type], Handler]


@define(eq=False)
class Link:
    """Exchange messages, calls and answers over one open connection.

    ``dialed`` is true at the end that opened the connection. ``persistent``
    links send heartbeats; the others are closed when idle. Times are those
    of the running event loop, in seconds.
    """

    connection: Connection
    peer: Identity
    dialed: bool
    persistent: bool
    settings: LinkSettings
    traffic: Traffic
    find_handler: FindHandler
    opened_at: float
    last_received_at: float = field(init=False)
    last_sent_at: float = field(init=False)
    close_reason: str = ""
    closed: asyncio.Event = field(factory=asyncio.Event)
    graceful: bool = False
    _frames: asyncio.Queue = field(init=False)
    _call_ids: Any = field(factory=lambda: itertools.count(1))
    _answers_by_call_id: dict[int, asyncio.Future] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.last_received_at = self.opened_at
        self.last_sent_at = self.opened_at
        self._frames = asyncio.Queue(self.settings.queue_limit_frames)

    async def run(self) -> None:
        """Send and receive frames until the connection ends."""
        writer = asyncio.create_task(self._transmit())
        try:
            await self._receive()
        except ConnectionClosed:
            self._record_close_reason("connection ended")
        finally:
            writer.cancel()
            self._clean_up()

    def has_timed_out(self, now: float) -> bool:
        """Return whether a persistent link received nothing for too long."""
        return (
            self.persistent
            and now - self.last_received_at > self.settings.silence_seconds
        )

    def is_idle(self, now: float) -> bool:
        """Return whether an on-demand link has been unused for too long."""
        if self.persistent or self._answers_by_call_id:
            return False
        return self.inactive_seconds(now) > self.settings.idle_seconds

    def inactive_seconds(self, now: float) -> float:
        """Return the seconds since a frame was last sent or received."""
        return now - max(self.last_received_at, self.last_sent_at)

    def needs_heartbeat(self, now: float) -> bool:
        """Return whether nothing was sent for about a heartbeat interval."""
        seconds_since_sent = now - self.last_sent_at
        return (
            self.persistent
            and seconds_since_sent > 0.75 * self.settings.heartbeat_seconds
        )

    def send(self, message: Any) -> None:
        """Queue a message for sending.

        Raise PeerUnavailable when the link is closed or its queue is full.
        """
        self._enqueue(Frame(message))

    def send_heartbeat(self) -> None:
        """Queue a heartbeat."""
        self.send(Heartbeat())

    async def call(self, message: Any, seconds: float) -> Any:
        """Send a message and return its answer within ``seconds``.

        Raise PeerUnavailable when nothing was sent, AnswerLost when the
        call may have run, CallFailed when the peer reports a failure.
        """
        call_id = next(self._call_ids)
        answer = asyncio.get_running_loop().create_future()
        self._answers_by_call_id[call_id] = answer
        called_at = asyncio.get_running_loop().time()
        try:
            self._enqueue(Frame(message, Flow.CALL, call_id))
            async with asyncio.timeout(seconds):
                result = await answer
        except TimeoutError as error:
            if self.last_received_at < called_at:
                # Nothing was received since the call: the connection is dead.
                self.abort("no answer to a call")
            raise self._make_error(AnswerLost, f"no answer in {seconds} s") from error
        finally:
            self._answers_by_call_id.pop(call_id, None)
        if isinstance(result, Failure):
            raise CallFailed(result.reason, result.detail, peer=self.peer.daemon_id)
        return result

    async def close(self, goodbye: Goodbye | None = None) -> None:
        """Close the connection, after sending ``goodbye`` if given."""
        self.graceful = True
        self._record_close_reason("closed by this daemon")
        if goodbye is not None and not self.closed.is_set():
            try:
                await self.connection.send(codec.encode(Frame(goodbye)))
            except ConnectionClosed:
                pass
        await self.connection.close()

    def abort(self, reason: str) -> None:
        """Close the connection without waiting for the peer."""
        self._record_close_reason(reason)
        self.connection.transport.abort()

    def _enqueue(self, frame: Frame) -> None:
        if self.closed.is_set():
            raise self._make_error(PeerUnavailable, "the link is closed")
        content = codec.encode(frame)
        try:
            self._frames.put_nowait((message_name_for(type(frame.message)), content))
        except asyncio.QueueFull as error:
            self.abort("send queue full")
            raise self._make_error(PeerUnavailable, "send queue full") from error
        self.last_sent_at = asyncio.get_running_loop().time()

    async def _transmit(self) -> None:
        try:
            while True:
                kind, content = await self._frames.get()
                size = websocket_bytes(len(content), masked=self.dialed)
                self.traffic.count_sent(kind, size)
                await self.connection.send(content)
        except ConnectionClosed:
            # _receive() sees the connection end too and run() cleans up.
            return

    async def _receive(self) -> None:
        async for content in self.connection:
            self.last_received_at = asyncio.get_running_loop().time()
            try:
                frame = self._decode(content)
            except LinkError as error:
                self._reject_frame(error)
                continue
            self._dispatch_frame(frame)

    def _decode(self, content: bytes | str) -> Frame:
        if isinstance(content, str):
            content = content.encode()
        frame = codec.decode(content)
        size = websocket_bytes(len(content), masked=not self.dialed)
        self.traffic.count_received(message_name_for(type(frame.message)), size)
        return frame

    def _reject_frame(self, error: LinkError) -> None:
        self.traffic.faults_by_reason[type(error).__name__] += 1
        logging.log_every_n(
            logging.WARNING,
            "cannot read frame from %s: %s",
            100,
            self.peer.daemon_id,
            error,
        )
        if isinstance(error, UnknownMessage) and error.call_id:
            self._send_answer(
                error.call_id, Failure("unknown-message", error.name[:40])
            )

    def _dispatch_frame(self, frame: Frame) -> None:
        if frame.flow is Flow.ANSWER:
            answer = self._answers_by_call_id.get(frame.call_id)
            if answer is not None and not answer.done():
                answer.set_result(frame.message)
        elif isinstance(frame.message, Goodbye):
            self.graceful = True
            self._record_close_reason("goodbye")
        elif not isinstance(frame.message, Heartbeat):
            self._run_handler(frame)

    def _run_handler(self, frame: Frame) -> None:
        if len(self._tasks) >= self.settings.max_concurrent_calls:
            self._send_result(frame, Failure("busy"))
            return
        try:
            result = self.find_handler(type(frame.message))(frame.message, self.peer)
        except Exception as error:
            self._send_result(frame, self._to_failure(error))
            return
        if not inspect.isawaitable(result):
            self._send_result(frame, result)
            return
        task = asyncio.ensure_future(self._send_result_later(frame, result))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_result_later(self, frame: Frame, result: Awaitable[Any]) -> None:
        try:
            message = await result
        except Exception as error:
            message = self._to_failure(error)
        self._send_result(frame, message)

    def _to_failure(self, error: Exception) -> Failure:
        self.traffic.faults_by_reason["handler"] += 1
        if isinstance(error, TeaselpondError):
            return Failure(type(error).__name__, str(error))
        logging.exception("handler failed for a message from %s", self.peer.daemon_id)
        return Failure("internal", type(error).__name__)

    def _send_result(self, frame: Frame, message: Any) -> None:
        if frame.flow is Flow.CALL:
            self._send_answer(frame.call_id, Done() if message is None else message)

    def _send_answer(self, call_id: int, message: Any) -> None:
        try:
            self._enqueue(Frame(message, Flow.ANSWER, call_id))
        except LinkError:
            # The caller gets an error when the link closes.
            self.traffic.faults_by_reason["answer-unsent"] += 1

    def _record_close_reason(self, reason: str) -> None:
        self.close_reason = self.close_reason or reason

    def _clean_up(self) -> None:
        self.closed.set()
        for task in self._tasks:
            task.cancel()
        for answer in self._answers_by_call_id.values():
            if not answer.done():
                answer.set_exception(self._make_error(AnswerLost, self.close_reason))

    def _make_error(self, cls: type[LinkError], reason: str) -> LinkError:
        return cls(reason, step="link", peer=self.peer.daemon_id)
