"""Test the network faults of FaultyProxy."""

import asyncio

from teaselpond_model.contracts import Address
from teaselpond_standins.server import LOOPBACK
from teaselpond_standins.soak.proxy import Direction, FaultyProxy
from teaselpond_standins.testing import AsyncTestCase

# Long enough for bytes to arrive on loopback if they are not held back.
ANSWER_TIMEOUT_SECONDS = 0.2


class ProxyTests(AsyncTestCase):
    """Send lines through a proxy to a server that echoes them."""

    async def start(self) -> FaultyProxy:
        """Start an echo server and a proxy in front of it."""
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
            # The proxy resets connections when a test asks for it.
            return
        writer.close()

    async def connect(self, proxy: FaultyProxy) -> None:
        """Connect through the proxy, and check that a line is echoed."""
        self.reader, self.writer = await asyncio.open_connection(
            proxy.address.ip, proxy.address.port
        )
        self.addCleanup(self.writer.close)
        self.assertEqual(b"first\n", await self.send_line(b"first\n"))

    async def send_line(self, line: bytes) -> bytes:
        """Send a line, and return the answer or b"" if none comes."""
        self.writer.write(line)
        return await self.read_line()

    async def read_line(self) -> bytes:
        """Return the next line, or b"" if none comes."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await self.reader.readline()
        except TimeoutError:
            return b""

    async def test_cut_one_way(self) -> None:
        """Hold the answers back, and deliver them after the restore."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.cut(Direction.TO_CALLER)
        self.assertEqual(b"", await self.send_line(b"second\n"))
        self.assertEqual([b"first\n", b"second\n"], self.received)
        proxy.restore()
        self.assertEqual(b"second\n", await self.read_line())

    async def test_cut_both_ways(self) -> None:
        """Forward nothing to the server."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.cut(*Direction)
        self.assertEqual(b"", await self.send_line(b"second\n"))
        self.assertEqual([b"first\n"], self.received)

    async def test_silenced_connection(self) -> None:
        """Silence an open connection for good, but not a new one."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.silence()
        proxy.restore()
        self.assertEqual(b"", await self.send_line(b"second\n"))
        await self.connect(proxy)

    async def test_reset(self) -> None:
        """Reset an open connection, and accept a new one."""
        proxy = await self.start()
        await self.connect(proxy)
        proxy.reset()
        with self.assertRaises(ConnectionResetError):
            await self.reader.readline()
        await self.connect(proxy)

    async def test_refusing(self) -> None:
        """Reset new connections, as if the server did not listen."""
        proxy = await self.start()
        proxy.is_refusing = True
        with self.assertRaises((ConnectionResetError, AssertionError)):
            await self.connect(proxy)
        self.assertEqual([], self.received)
        proxy.restore()
        await self.connect(proxy)
