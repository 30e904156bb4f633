"""Pass connections on over loopback, and spoil them when told to."""

import asyncio
import contextlib
import enum
import socket
import struct

from attrs import define, field

from teaselpond_model.contracts import Address

from ..server import LOOPBACK

CHUNK_BYTES = 64 * 1024
# Closing with no time to linger resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Name the two ways of a connection."""

    TO_SERVER = "to-server"
    TO_CALLER = "to-caller"


@define(eq=False)
class Link:
    """Hold the two ends of one connection through a proxy."""

    caller: asyncio.StreamWriter
    server: asyncio.StreamWriter
    # Bytes vanish, and neither end hears of it.
    is_silenced: bool = False

    def reset(self) -> None:
        """Reset both ends."""
        for writer in (self.caller, self.server):
            connection = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                # An end that is closed already can't be reset.
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()


@define(eq=False)
class FaultyProxy:
    """Listen on a loopback port for one server.

    ``delay_seconds`` holds each chunk back. A way that is cut holds its bytes
    until it is mended, as a partition does that heals in time.
    """

    target: Address
    delay_seconds: float = 0.0
    is_refusing: bool = False
    port: int = 0
    _links: set[Link] = field(factory=set)
    _open_ways: dict[Direction, asyncio.Event] = field(init=False)
    _server: asyncio.Server | None = None

    def __attrs_post_init__(self) -> None:
        self._open_ways = {way: asyncio.Event() for way in Direction}
        for is_open in self._open_ways.values():
            is_open.set()

    @property
    def address(self) -> Address:
        """Return the address to connect to, once started."""
        return Address(LOOPBACK, self.port)

    async def start(self) -> None:
        """Listen, on a port that the system chooses if it is 0."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and reset every connection to its end."""
        self._server.close()
        self.mend()
        while self._links:
            self.reset()
            await asyncio.sleep(0)

    async def __aenter__(self) -> "FaultyProxy":
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    def cut(self, *ways: Direction) -> None:
        """Hold back what is sent in some ways."""
        for way in ways:
            self._open_ways[way].clear()

    def mend(self) -> None:
        """Let everything pass again; silenced connections stay silent."""
        self.delay_seconds = 0.0
        self.is_refusing = False
        for is_open in self._open_ways.values():
            is_open.set()

    def silence(self) -> None:
        """Let the open connections go silent for good, but no new ones."""
        for link in self._links:
            link.is_silenced = True

    def reset(self) -> None:
        """Reset the open connections."""
        for link in list(self._links):
            link.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if self.is_refusing:
                raise ConnectionRefusedError
            server_reader, server_writer = await asyncio.open_connection(
                self.target.ip, self.target.port
            )
        except OSError:
            # The caller sees that nothing listens behind the proxy.
            Link(writer, writer).reset()
            return
        link = Link(writer, server_writer)
        self._links.add(link)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pass_on(link, Direction.TO_SERVER, reader, server_writer)
                )
                group.create_task(
                    self._pass_on(link, Direction.TO_CALLER, server_reader, writer)
                )
        except* OSError:
            link.reset()
        finally:
            self._links.discard(link)
            writer.close()
            server_writer.close()

    async def _pass_on(
        self,
        link: Link,
        way: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            await self._open_ways[way].wait()
            if not link.is_silenced:
                writer.write(chunk)
                await writer.drain()
        if link.is_silenced:
            return
        if way is Direction.TO_CALLER:
            # A server that closes ends the caller's way too.
            writer.close()
        elif writer.can_write_eof():
            writer.write_eof()
