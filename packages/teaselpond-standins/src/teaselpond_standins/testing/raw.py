"""Serve answers that a test writes byte by byte."""

import asyncio
import re
from collections.abc import Awaitable, Callable

from attrs import define, field

from teaselpond_model.contracts import Address

from ..server import LOOPBACK
from ..service.listed import REQUEST_ID

LENGTH = re.compile(rb"(?i)content-length: *(\d+)")
CHUNKED = re.compile(rb"(?i)transfer-encoding: *chunked")
HEALTH_CHECK = b"GET /healthz "
LAST_CHUNK = b"0\r\n\r\n"


@define(eq=False)
class RawRequest:
    """Hold the head of a request, and the connection that it came on.

    ``number`` counts the requests of the connection from 1.
    """

    head: bytes
    number: int
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        """Return the id of the request, empty if it has none."""
        return self.header(REQUEST_ID)

    def header(self, name: str) -> str:
        """Return the value of a header, empty if there is none."""
        pattern = rb"(?im)^" + name.encode() + rb": *([^\r\n]*)"
        found = re.search(pattern, self.head)
        return found[1].decode() if found is not None else ""


@define(eq=False)
class RawUpstream:
    """Listen on a loopback port, and have each request answered by ``answer``.

    It writes to the connection itself. Health checks are answered with 200.
    """

    engine_id: str
    answer: Callable[[RawRequest], Awaitable[None]]
    requests: list[RawRequest] = field(factory=list)
    _server: asyncio.Server | None = None
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    @property
    def address(self) -> Address:
        """Return the address of the running server."""
        return Address(LOOPBACK, self._server.sockets[0].getsockname()[1])

    async def __aenter__(self) -> "RawUpstream":
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        number = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = LENGTH.search(head)
                if length is not None:
                    await reader.readexactly(int(length[1]))
                elif CHUNKED.search(head):
                    await reader.readuntil(LAST_CHUNK)
                number += 1
                if head.startswith(HEALTH_CHECK):
                    writer.write(encode_answer("200 OK"))
                    continue
                request = RawRequest(head, number, writer)
                self.requests.append(request)
                await self.answer(request)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def encode_answer(
    status: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return a complete answer with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
