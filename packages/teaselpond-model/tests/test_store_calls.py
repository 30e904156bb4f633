"""Check the timeouts of platform calls."""

import asyncio

import aiohttp
from aiohttp import web

from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_model.store_calls import PlatformConnection
from teaselpond_standins.server import LoopbackServer
from teaselpond_standins.testing import AsyncTestCase

READ_TIMEOUT_SECONDS = 0.4
CHUNKS = 8
CHUNK = b"x" * 1000


class LargeAnswerTests(AsyncTestCase):
    """Check the timeouts of an answer that is sent in chunks."""

    async def start(self, gap_seconds: float, transfer_seconds: float):
        """Serve chunks with gaps between them and return a connection."""

        async def answer(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            for _ in range(CHUNKS):
                await response.write(CHUNK)
                await asyncio.sleep(gap_seconds)
            return response

        app = web.Application()
        app.router.add_get("/large", answer)
        server = LoopbackServer(app, cancels_handlers=True)
        await server.start()
        self.stop = server.stop
        session = await self.enter(aiohttp.ClientSession())
        return PlatformConnection(
            session, server.base_url, READ_TIMEOUT_SECONDS, transfer_seconds
        )

    async def test_large_answer_on_a_slow_link(self) -> None:
        """Check that an answer may take longer than the read timeout."""
        connection = await self.start(READ_TIMEOUT_SECONDS / 4, 30.0)
        answer = await connection.read("/large", "large")
        self.assertEqual(CHUNK * CHUNKS, answer.content)
        await self.stop()

    async def test_stalled_answer(self) -> None:
        """Check that the read timeout ends an answer that stalls."""
        connection = await self.start(60.0, 30.0)
        with self.assertRaises(StoreUnavailable):
            await connection.read("/large", "large")
        await self.stop()

    async def test_answer_beyond_the_transfer_time(self) -> None:
        """Check that the total timeout ends an answer that takes too long."""
        connection = await self.start(READ_TIMEOUT_SECONDS / 4, 0.0)
        with self.assertRaises(StoreUnavailable):
            await connection.read("/large", "large")
        await self.stop()
