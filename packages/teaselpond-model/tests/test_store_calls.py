"""Check how long a call of the platform may take."""

import asyncio

import aiohttp
from aiohttp import web

from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_model.store_calls import PlatformConnection
from teaselpond_standins.server import LoopbackServer
from teaselpond_standins.testing import AsyncTestCase

SILENCE_SECONDS = 0.4
CHUNKS = 8
CHUNK = b"x" * 1000


class LargeAnswerTests(AsyncTestCase):
    """Read an answer that comes in pieces."""

    async def start(self, gap_seconds: float, transfer_seconds: float):
        """Serve pieces with gaps, and return a connection to them."""

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
            session, server.base_url, SILENCE_SECONDS, transfer_seconds
        )

    async def test_large_answer_on_a_slow_link(self) -> None:
        """Take what keeps coming, even beyond the limit on silence."""
        connection = await self.start(SILENCE_SECONDS / 4, 30.0)
        answer = await connection.read("/large", "large")
        self.assertEqual(CHUNK * CHUNKS, answer.content)
        await self.stop()

    async def test_answer_that_stops(self) -> None:
        """Give up what falls silent before its end."""
        connection = await self.start(60.0, 30.0)
        with self.assertRaises(StoreUnavailable):
            await connection.read("/large", "large")
        await self.stop()

    async def test_answer_that_never_ends(self) -> None:
        """Give up what takes longer than its transfer may."""
        connection = await self.start(SILENCE_SECONDS / 4, 0.0)
        with self.assertRaises(StoreUnavailable):
            await connection.read("/large", "large")
        await self.stop()
