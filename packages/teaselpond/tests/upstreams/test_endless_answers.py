"""Test what servers that send without end cost the calls that poll them."""

import asyncio
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define

from teaselpond.exceptions import UpstreamInvalid, UpstreamSilent
from teaselpond.gateway.assembly import make_sender
from teaselpond.platform.adapter import PlatformAdapter
from teaselpond.upstreams import EngineClient, UpstreamClient
from teaselpond.upstreams.connections import MAX_HELD_BYTES
from teaselpond.upstreams.engines import POLL_TIMEOUT_SECONDS
from teaselpond_model.contracts import Address
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import make_engine

ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
POLLS = 24
# What the sockets of a connection buffer on both sides, at most.
BUFFERED_BYTES = 6 * 1024 * 1024
CHECK_SECONDS = 0.2


@define(eq=False)
class EndlessServer:
    """Answer each request with a body that does not end.

    It sends ``chunk`` again and again, ``gap_seconds`` apart.
    """

    chunk: bytes = bytes(64 * 1024)
    gap_seconds: float = 0.0
    sent_bytes: int = 0
    address: Address | None = None

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send until the connection is closed."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ENDLESS_HEAD)
            while not writer.is_closing():
                writer.write(self.chunk)
                await writer.drain()
                self.sent_bytes += len(self.chunk)
                await asyncio.sleep(self.gap_seconds)
        except ConnectionError:
            return
        finally:
            writer.close()


@asynccontextmanager
async def run_server(**fields: object) -> AsyncIterator[EndlessServer]:
    """Run a server on a loopback port."""
    endless = EndlessServer(**fields)
    server = await asyncio.start_server(endless.answer, "127.0.0.1", 0)
    endless.address = Address(*server.sockets[0].getsockname()[:2])
    try:
        yield endless
    finally:
        server.close()


class EndlessAnswerTests(AsyncTestCase):
    """Poll and check servers whose answers do not end."""

    async def test_polls_share_the_memory_for_answers(self) -> None:
        """Guard against memory that grows with the number of polls."""
        server = await self.enter(run_server())
        client = await self.enter(UpstreamClient())
        engines = EngineClient(client, client)
        polls = [engines.load(server.address) for _ in range(POLLS)]
        tracemalloc.start()
        try:
            errors = await asyncio.gather(*polls, return_exceptions=True)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        refused = {type(error) for error in errors} - {UpstreamSilent}
        self.assertEqual({UpstreamInvalid}, refused)
        self.assertLess(peak_bytes, 1.5 * MAX_HELD_BYTES)
        self.assertEqual(0, client.held_answers.held_bytes)

    async def test_poll_ends_while_a_few_bytes_come_at_a_time(self) -> None:
        """Guard against an engine that is never polled again."""
        server = await self.enter(run_server(chunk=b"x", gap_seconds=0.2))
        client = await self.enter(UpstreamClient())
        started_at = time.monotonic()
        with self.assertRaises(UpstreamSilent):
            await EngineClient(client, client).load(server.address)
        self.assertLess(time.monotonic() - started_at, POLL_TIMEOUT_SECONDS + 1.0)

    async def test_health_check_reads_no_body(self) -> None:
        """Guard against an upstream that lives but counts as silent."""
        server = await self.enter(run_server())
        sender = make_sender(PlatformAdapter())
        try:
            engine = make_engine(address=server.address)
            async with asyncio.timeout(CHECK_SECONDS):
                head = await sender.check_health(engine, "/healthz")
        finally:
            await sender.close()
        self.assertEqual(200, head.status)
        self.assertLess(server.sent_bytes, BUFFERED_BYTES)

    async def test_questions_of_a_gateway_share_the_memory_of_calls(self) -> None:
        """Guard against lists of caches that are read beside full memory."""
        sender = make_sender(PlatformAdapter())
        clients = (sender.pooled_client, sender.single_use_client)
        self.assertEqual(1, len({client.held_answers for client in clients}))
