"""Forward TCP connections on loopback, and inject network faults."""

import asyncio
import contextlib
import enum
import socket
import struct

from attrs import define, field

from teaselpond_model.contracts import Address

from ..server import LOOPBACK

CHUNK_BYTES = 64 * 1024
# SO_LINGER with a timeout of 0: closing sends a reset instead of a FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """List the two directions of a connection."""

    TO_SERVER = "to-server"
    TO_CALLER = "to-caller"


@define(eq=False)
class ProxiedConnection:
    """Hold the two sockets of one connection through a proxy."""

    caller: asyncio.StreamWriter
    server: asyncio.StreamWriter
    # Bytes are discarded while both sockets stay open.
    is_silenced: bool = False

    def reset(self) -> None:
        """Reset both sockets."""
        for writer in (self.caller, self.server):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                # A socket that is already closed can't be reset.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


@define(eq=False)
class FaultyProxy:
    """Forward the connections of a loopback port to one server.

    ``delay_seconds`` delays each chunk. ``is_refusing`` resets new
    connections. A direction that is cut keeps its bytes until it is
    restored, like a network partition that ends before TCP gives up.
    """

    target: Address
    delay_seconds: float = 0.0
    is_refusing: bool = False
    port: int = 0
    _connections: set[ProxiedConnection] = field(factory=set)
    _open_by_direction: dict[Direction, asyncio.Event] = field(init=False)
    _server: asyncio.Server | None = None

    def __attrs_post_init__(self) -> None:
        self._open_by_direction = {
            direction: asyncio.Event() for direction in Direction
        }
        for opened in self._open_by_direction.values():
            opened.set()

    @property
    def address(self) -> Address:
        """Return the address to connect to after the start."""
        return Address(LOOPBACK, self.port)

    async def start(self) -> None:
        """Listen, on a port that the system chooses if it is 0."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and reset connections until none is left."""
        self._server.close()
        self.restore()
        while self._connections:
            self.reset()
            await asyncio.sleep(0)

    async def __aenter__(self) -> "FaultyProxy":
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    def cut(self, *directions: Direction) -> None:
        """Delay everything sent in some directions until ``restore``."""
        for direction in directions:
            self._open_by_direction[direction].clear()

    def restore(self) -> None:
        """End all faults, except for connections that were silenced."""
        self.delay_seconds = 0.0
        self.is_refusing = False
        for opened in self._open_by_direction.values():
            opened.set()

    def silence(self) -> None:
        """Discard all further bytes of the open connections.

        New connections are not affected.
        """
        for connection in self._connections:
            connection.is_silenced = True

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

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
            # The proxy has already accepted; a reset is the closest that the
            # caller can see to a refused connection.
            ProxiedConnection(writer, writer).reset()
            return
        connection = ProxiedConnection(writer, server_writer)
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(
                        connection, Direction.TO_SERVER, reader, server_writer
                    )
                )
                group.create_task(
                    self._forward(
                        connection, Direction.TO_CALLER, server_reader, writer
                    )
                )
        except* OSError:
            connection.reset()
        finally:
            self._connections.discard(connection)
            writer.close()
            server_writer.close()

    async def _forward(
        self,
        connection: ProxiedConnection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            await self._open_by_direction[direction].wait()
            if not connection.is_silenced:
                writer.write(chunk)
                await writer.drain()
        if connection.is_silenced:
            return
        if direction is Direction.TO_CALLER:
            # A server that closes its end closes the caller's connection.
            writer.close()
        elif writer.can_write_eof():
            writer.write_eof()
