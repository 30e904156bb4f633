"""Test answers whose upstream stops in the middle of the head and closes."""

import asyncio
import socket
import struct
from collections.abc import Callable

import aiohttp
from aiohttp import http_parser

from teaselpond.exceptions import UpstreamBroken
from teaselpond.upstreams.connections import UpstreamClient
from teaselpond_model.contracts import Address
from teaselpond_standins.server import LOOPBACK
from teaselpond_standins.testing import AsyncTestCase

BODY = b"x" * 1200
ID_LINE = b"X-Request-Id: id-1\r\n"
WITH_LENGTH = (
    b"HTTP/1.1 200 OK\r\n" + ID_LINE + b"Server-Leaving: 1\r\n"
    b"Content-Length: 1200\r\nContent-Type: text/plain\r\n\r\n"
)
IN_CHUNKS = (
    b"HTTP/1.1 200 OK\r\n" + ID_LINE + b"Transfer-Encoding: chunked\r\n\r\n4b0\r\n"
)
# The body of this one ends with the connection.
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ID_LINE
BARE_LINE_FEEDS = WITH_LENGTH.replace(b"\r\n", b"\n")
AFTER_INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\n" + ID_LINE + b"X-Teaselpond-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
RESTS_BY_HEAD = {
    WITH_LENGTH: BODY,
    IN_CHUNKS: BODY + b"\r\n0\r\n\r\n",
    UNFRAMED: b"\r\n" + BODY,
    BARE_LINE_FEEDS: BODY,
    AFTER_INTERIM_HEAD: BODY,
    REFUSAL: b"",
}
# SO_LINGER with a timeout of 0: closing sends a reset instead of a FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CutHeadTests(AsyncTestCase):
    """Cut heads at each byte; no part of one passes for an answer."""

    async def check_cuts(
        self,
        head: bytes,
        *,
        method: str = "GET",
        resets: bool = False,
        trickles: bool = False,
        parser: Callable | None = None,
    ) -> None:
        """Send each part of a head and close; no call gets an answer."""
        if parser is not None:
            self.patch(aiohttp.client_proto, "HttpResponseParser", parser)
        rest = b"" if method == "HEAD" else RESTS_BY_HEAD[head]
        parts = [head[:length] for length in range(len(head))]
        parts.append(head + rest)

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            request = await reader.readuntil(b"\r\n\r\n")
            part = parts[int(request.split()[1][1:])]
            sent = (
                [part[at : at + 1] for at in range(len(part))] if trickles else [part]
            )
            for each in sent:
                writer.write(each)
                await asyncio.sleep(0)
            if resets:
                await asyncio.sleep(0.005)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.close()

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        address = Address(LOOPBACK, server.sockets[0].getsockname()[1])
        client = await self.enter(UpstreamClient(reuse=False, idle_seconds=2.0))
        for number in range(len(head)):
            with self.assertRaises(UpstreamBroken):
                await client.fetch(address, method, f"/{number}", request_id="id-1")
        if not resets:
            whole = await client.fetch(
                address, method, f"/{len(head)}", request_id="id-1"
            )
            self.assertEqual(len(BODY) if rest else 0, len(whole.body))
        server.close()

    async def test_heads_that_are_cut_off(self) -> None:
        """With a length, with chunks, with neither, and after others."""
        for head in RESTS_BY_HEAD:
            await self.check_cuts(head)

    async def test_heads_that_are_reset(self) -> None:
        """The reset may overtake what was sent before it."""
        for head in (WITH_LENGTH, IN_CHUNKS, UNFRAMED):
            await self.check_cuts(head, resets=True)

    async def test_heads_that_come_byte_by_byte(self) -> None:
        """Each byte is parsed by itself."""
        for head in (WITH_LENGTH, IN_CHUNKS, UNFRAMED):
            await self.check_cuts(head, trickles=True)

    async def test_answers_to_head_requests(self) -> None:
        """They have no body that could be missing."""
        await self.check_cuts(WITH_LENGTH, method="HEAD")

    async def test_parser_without_compiled_code(self) -> None:
        """The HTTP client falls back on it where it is not compiled."""
        for head in (WITH_LENGTH, IN_CHUNKS, UNFRAMED):
            await self.check_cuts(head, parser=http_parser.HttpResponseParserPy)
