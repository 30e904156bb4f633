"""Send input that no ordinary caller sends, and keep the connections open."""

import asyncio
import contextlib
from collections.abc import Iterable, Iterator

# A multiple of all limits.
ENDLESS_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 64 * 1024
UNTRUSTED_IP = "127.0.0.3"


def repeat(piece: bytes, start: bytes = b"") -> Iterator[bytes]:
    """Yield a start, then a piece repeatedly, up to ENDLESS_BYTES."""
    yield start
    many = piece * max(1, PIECE_BYTES // len(piece))
    for _ in range(ENDLESS_BYTES // len(many)):
        yield many


class UntrustedCaller:
    """Send bytes on one connection, and keep it open."""

    def __init__(self, ip: str, port: int) -> None:
        self._address = ip, port
        self._writer: asyncio.StreamWriter | None = None
        self._reader: asyncio.StreamReader | None = None
        self.has_ended = False

    async def send(self, pieces: Iterable[bytes]) -> None:
        """Send all pieces, or as many as the other end takes."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                *self._address, local_addr=(UNTRUSTED_IP, 0)
            )
            for piece in pieces:
                self._writer.write(piece)
                await self._writer.drain()
        except OSError:
            self.has_ended = True

    async def read_to_the_end(self) -> None:
        """Wait until the other end closes the connection."""
        if not self.has_ended:
            with contextlib.suppress(OSError):
                while await self._reader.read(PIECE_BYTES):
                    pass
        self.has_ended = True

    async def __aenter__(self) -> "UntrustedCaller":
        return self

    async def __aexit__(self, *exception: object) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
