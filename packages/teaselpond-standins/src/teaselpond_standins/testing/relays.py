"""Stand between two ends of a TCP connection and lose what passes."""

import asyncio
import enum

from attrs import define, field

from teaselpond_model.contracts import Address

CHUNK_BYTES = 1 << 16


class RelayMode(enum.Enum):
    """Name what a relay does with new connections."""

    PASS = "pass"
    REFUSE = "refuse"
    SILENT = "silent"


@define(eq=False)
class Relay:
    """Pass TCP connections on to a target, until told otherwise."""

    target: Address
    mode: RelayMode = RelayMode.PASS
    accepted: int = 0
    address: Address | None = None
    _server: asyncio.Server | None = None
    _pipes: set["_Pipe"] = field(factory=set)

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        self._server.close()
        for pipe in list(self._pipes):
            pipe.close()
        await asyncio.sleep(0)

    def silence_connections(self) -> None:
        """Let open connections go silent for good; new ones still work."""
        for pipe in self._pipes:
            pipe.forgotten = True

    def cut_connections(self) -> None:
        """Close the open connections."""
        for pipe in list(self._pipes):
            pipe.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.mode is RelayMode.REFUSE:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target.ip, self.target.port
            )
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe((writer, far_writer), self.mode is RelayMode.SILENT)
        self._pipes.add(pipe)
        try:
            await asyncio.gather(
                pipe.copy(reader, far_writer), pipe.copy(far_reader, writer)
            )
        finally:
            pipe.close()
            self._pipes.discard(pipe)


@define(eq=False)
class _Pipe:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    forgotten: bool

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while content := await reader.read(CHUNK_BYTES):
                if not self.forgotten:
                    writer.write(content)
                    await writer.drain()
        except OSError:
            self.close()
        # A forgotten connection does not even pass its end on.
        if not self.forgotten:
            self.close()

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
