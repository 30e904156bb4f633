"""Provide the HTTP server behind each of the gateway's addresses."""

import socket
from collections.abc import Awaitable, Callable

from aiohttp.web_request import BaseRequest
from attrs import define, field

from teaselpond_model.contracts import Address

from ..inbound.accepting import Acceptor, InboundServer
from ..inbound.bodies import PIECE_BYTES, PacedResponse
from ..inbound.connections import ConnectionHooks, InboundConnection
from ..listening import open_listener
from . import web
from .answers import AnswerHead
from .replies import Reply

Handler = Callable[[BaseRequest], Awaitable[web.StreamResponse]]

# The port for callers follows the configuration instead.
KEEPALIVE_SECONDS = 30.0
MAX_HEADER_BYTES = 32 * 1024
# What the library holds of a body that is not read yet is up to twice this.
READ_BUFFER_BYTES = 8 * 1024


@define(eq=False)
class HttpServer:
    """Listen on one address, and pass each request to a handler.

    ``connection_limit`` is how many connections it has at a time.
    """

    handler: Handler
    hooks: ConnectionHooks
    connection_limit: int
    _server: InboundServer = field(init=False)
    _acceptor: Acceptor | None = None

    def __attrs_post_init__(self) -> None:
        self._server = InboundServer(
            self.hooks,
            self.handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            auto_decompress=False,
            # Connections drop the rest of refused requests themselves.
            lingering_time=0.0,
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def open(
        self, address: Address, listener: socket.socket | None = None
    ) -> None:
        """Start serving on an address, whose listener may be open already."""
        self._acceptor = Acceptor(
            self._server, listener or open_listener(address), self.connection_limit
        )
        self._acceptor.start()

    def connections(self) -> list[InboundConnection]:
        """Return the open connections."""
        return self._server.connections

    def has_unsent_bytes(self) -> bool:
        """Return whether a caller has not received all that was written."""
        return any(
            connection.transport is not None
            and connection.transport.get_write_buffer_size()
            for connection in self.connections()
        )

    async def close(self) -> None:
        """Stop listening, and close every connection."""
        if self._acceptor is not None:
            self._acceptor.close()
        await self._server.shutdown(0.1)


def build_response(reply: Reply, *, close: bool) -> web.Response:
    """Build the HTTP response for a reply; ``close`` ends the connection."""
    make_response = PacedResponse if len(reply.body) > PIECE_BYTES else web.Response
    response = make_response(
        status=reply.status, headers=reply.headers, body=reply.body
    )
    if close:
        response.force_close()
    return response


@define(eq=False)
class CallerStream:
    """Write an upstream's event stream to a caller.

    ``close`` ends the connection after the answer. ``response`` is None until
    the first write.
    """

    request: BaseRequest
    close: bool
    response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the answer was written to the caller."""
        return self.response is not None

    async def write(self, head: AnswerHead, events: bytes) -> None:
        """Write whole events; the first write sends the head before them."""
        if self.response is None:
            self.response = web.StreamResponse(status=head.status, headers=head.headers)
            if self.close:
                self.response.force_close()
            self.response.enable_chunked_encoding()
            await self.response.prepare(self.request)
        await self.response.write(events)

    def abort(self) -> web.StreamResponse:
        """Close the caller's connection without ending the answer.

        Data that was already written is still sent.
        """
        if self.request.transport is not None:
            self.request.transport.close()
        return self.response or web.Response(status=502)
