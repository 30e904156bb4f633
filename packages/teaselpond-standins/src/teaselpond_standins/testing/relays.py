"""Relay TCP connections and inject connection faults."""

import asyncio
import enum

from attrs import define, field

from teaselpond_model.contracts import Address

CHUNK_BYTES = 1 << 16


class RelayMode(enum.Enum):
    """Define how a relay handles new connections.

    PASS relays them, REFUSE resets them and SILENT accepts them but drops
    their data.
    """

    PASS = "pass"
    REFUSE = "refuse"
    SILENT = "silent"


@define(eq=False)
class Relay:
    """Relay TCP connections to a target, as ``mode`` says.

    ``accepted`` counts the accepted connections.
    """

    target: Address
    mode: RelayMode = RelayMode.PASS
    accepted: int = 0
    address: Address | None = None
    _server: asyncio.Server | None = None
    _connections: set["_Connection"] = field(factory=set)

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._server.close()
        for connection in list(self._connections):
            connection.close()
        await asyncio.sleep(0)

    def silence_connections(self) -> None:
        """Keep the open connections but drop their data from now on.

        New connections are not affected.
        """
        for connection in self._connections:
            connection.is_silent = True

    def cut_connections(self) -> None:
        """Reset the open connections."""
        for connection in list(self._connections):
            connection.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.mode is RelayMode.REFUSE:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target.ip, self.target.port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, target_writer), self.mode is RelayMode.SILENT)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.forward(reader, target_writer),
                connection.forward(target_reader, writer),
            )
        finally:
            connection.close()
            self._connections.discard(connection)


@define(eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if not self.is_silent:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            self.close()
        # A silent connection does not forward its end either.
        if not self.is_silent:
            self.close()

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
