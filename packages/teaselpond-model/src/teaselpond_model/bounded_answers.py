"""Open HTTP connections to servers whose answers may be no sound ones.

They may come without end, have an invalid head or break off. What reads
answers over such connections gets an error then, never a part of one.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from attrs import define

from .answer_heads import INTERIM_STATUSES, HeadChecker, InvalidHead
from .bounded_sockets import BoundedSocket

# Heads with a status of 100 to 199 before that of the answer.
MAX_INTERIM_HEADS = 16
# What an answer may have beyond its body (heads, sizes of chunks, extensions
# and trailers), besides as much again as its body. A chunk of one byte has
# five bytes of framing.
MAX_FRAMING_BYTES = 16 * 1024
# Sound servers may send small chunks for as long as they like, but slowly.
FRAMING_BYTES_PER_SECOND = 16 * 1024


# The largest body that is read from the platform or a peer. The platform's
# objects have up to 8 MiB.
MAX_BODY_BYTES = 16 * 1024 * 1024


class ExcessiveAnswer(aiohttp.ClientError):
    """Report an answer that is larger than any sound one."""


class ExcessiveFraming(ExcessiveAnswer):
    """Report an answer that is mostly no body, and may never end."""


@define
class Framing:
    """Count what a server sends in answer to one request, since its start."""

    started_at: float
    received_bytes: int = 0
    interim_heads: int = 0

    def check(self, body_bytes: int, now: float) -> None:
        """Raise ExcessiveFraming if too little of the answer is its body."""
        if self.interim_heads > MAX_INTERIM_HEADS:
            raise ExcessiveFraming(f"received {self.interim_heads} interim heads")
        framing_bytes = self.received_bytes - body_bytes
        limit = MAX_FRAMING_BYTES + body_bytes
        if framing_bytes <= limit:
            return
        if framing_bytes > limit + FRAMING_BYTES_PER_SECOND * (now - self.started_at):
            raise ExcessiveFraming(
                f"received {framing_bytes} bytes of framing for {body_bytes} bytes"
                f" of body in {now - self.started_at:.2f} s"
            )


class BoundedResponseHandler(ResponseHandler):
    """Parse the answers on a connection, and break off unsound ones.

    A body that has neither a length nor chunks is complete only if the server
    closed its connection in an orderly way.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._framing = Framing(loop.time())
        self._heads: HeadChecker | None = None
        self._body: aiohttp.StreamReader | None = None
        self._fault: ExcessiveFraming | InvalidHead | None = None

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to the next request."""
        self._framing = Framing(self._loop.time())
        self._heads = HeadChecker()
        self._body = None
        super().set_response_params(**params)

    def feed_data(
        self, data: tuple[aiohttp.http.RawResponseMessage, Any], size: int = 0
    ) -> None:
        """Receive a parsed head and the body that belongs to it."""
        head, body = data
        if head.code in INTERIM_STATUSES:
            self._framing.interim_heads += 1
        else:
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Check and parse received bytes."""
        try:
            if self._heads is not None:
                self._heads.feed(data)
            super().data_received(data)
            self._framing.received_bytes += len(data)
            body_bytes = self._body.total_bytes if self._body is not None else 0
            self._framing.check(body_bytes, self._loop.time())
        except (ExcessiveFraming, InvalidHead) as error:
            self._break_off(error)

    def close(self) -> None:
        """Close the connection; an answer under way is not complete."""
        self._break_body(aiohttp.ClientConnectionError("the connection was closed"))
        super().close()

    def abort(self) -> None:
        """Close the connection at once, without an answer under way."""
        self._break_body(aiohttp.ClientConnectionError("the connection was aborted"))
        super().abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer that was being received with an error."""
        if exc is not None:
            error = aiohttp.ClientConnectionError(f"the connection was lost: {exc}")
            self._break_body(self._fault or error)
        super().connection_lost(self._fault or exc)

    def _break_off(self, error: ExcessiveFraming | InvalidHead) -> None:
        self._fault = error
        self.abort()
        self.set_exception(error)
        self._break_body(error)

    def _break_body(self, error: aiohttp.ClientError) -> None:
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)


class BoundedConnector(aiohttp.TCPConnector):
    """Open connections that limit each read and the framing of answers."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**{"socket_factory": open_bounded_socket, **options})
        # The library has no option for the class that parses answers.
        self._factory = functools.partial(BoundedResponseHandler, loop=self._loop)


def open_bounded_socket(address_info: tuple) -> BoundedSocket:
    """Create a non-blocking socket for an address of the resolver."""
    family, type_, protocol, _, _ = address_info
    new_socket = BoundedSocket(family, type_, protocol)
    new_socket.setblocking(False)
    return new_socket


async def read_bounded(
    response: aiohttp.ClientResponse, limit: int = MAX_BODY_BYTES
) -> bytes:
    """Return the body of an answer; raise ExcessiveAnswer beyond the limit."""
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > limit:
            raise ExcessiveAnswer(f"the body is larger than {limit} bytes")
    return bytes(body)
