"""Check what a faulty proxy lets pass."""

import asyncio

from teaselpond_model.contracts import Address
from teaselpond_standins.server import LOOPBACK
from teaselpond_standins.soak.proxy import Direction, FaultyProxy
from teaselpond_standins.testing import AsyncTestCase

# Long enough for bytes on loopback; nothing is expected within it.
NOTHING_SECONDS = 0.2


class ProxyTests(AsyncTestCase):
    """Send lines to a server that echoes them, through a proxy."""

    async def start(self) -> FaultyProxy:
        """Start an echo and a proxy before it."""
        self.received: list[bytes] = []
        server = await asyncio.start_server(self._echo, LOOPBACK, 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return await self.enter(FaultyProxy(Address(LOOPBACK, port)))

    async def _echo(self, reader, writer) -> None:
        try:
            while line := await reader.readline():
                self.received.append(line)
                writer.write(line)
        except ConnectionResetError:
            # What the proxy was told to do.
            return
        writer.close()

    async def connect(self, proxy: FaultyProxy) -> None:
        """Connect through the proxy, and see that lines come back."""
        self.reader, self.writer = await asyncio.open_connection(
            proxy.address.ip, proxy.address.port
        )
        self.addCleanup(self.writer.close)
        self.assertEqual(b"first\n", await self.ask(b"first\n"))

    async def ask(self, line: bytes) -> bytes:
        """Send a line and return the answer, nothing if none comes."""
        self.writer.write(line)
        return await self.answer()

    async def answer(self) -> bytes:
        """Return the next line, nothing if none comes."""
        try:
            async with asyncio.timeout(NOTHING_SECONDS):
                return await self.reader.readline()
        except TimeoutError:
            return b""

    async def test_cut_one_way(self) -> None:
        """Hold the answers back, and deliver them when the way is mended."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.cut(Direction.TO_CALLER)
        self.assertEqual(b"", await self.ask(b"second\n"))
        self.assertEqual([b"first\n", b"second\n"], self.received)
        proxy.mend()
        self.assertEqual(b"second\n", await self.answer())

    async def test_cut_both_ways(self) -> None:
        """Let nothing reach the server."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.cut(*Direction)
        self.assertEqual(b"", await self.ask(b"second\n"))
        self.assertEqual([b"first\n"], self.received)

    async def test_silenced_connection(self) -> None:
        """Silence an open connection for good, but not a new one."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.silence()
        proxy.mend()
        self.assertEqual(b"", await self.ask(b"second\n"))
        await self.connect(proxy)

    async def test_reset(self) -> None:
        """Reset an open connection, and take new ones."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.reset()
        with self.assertRaises(ConnectionResetError):
            await self.reader.readline()
        await self.connect(proxy)

    async def test_refusing(self) -> None:
        """Reset whoever connects, as if nothing listened."""
        proxy = await self.start()
        proxy.is_refusing = True
        with self.assertRaises((ConnectionResetError, AssertionError)):
            await self.connect(proxy)
        self.assertEqual([], self.received)
        proxy.mend()
        await self.connect(proxy)
