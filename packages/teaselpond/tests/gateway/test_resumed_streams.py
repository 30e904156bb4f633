"""Test begun streams whose next upstream does not go on with them."""

import asyncio

from teaselpond_standins.platform.operator import HOST, KEY
from teaselpond_standins.service.listed import REQUEST_ID, SIGNATURE
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet
from teaselpond_standins.testing.raw import (
    LAST_CHUNK,
    RawRequest,
    RawUpstream,
    encode_answer,
)

EVENTS = b"id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
STREAM_TYPE = {"Content-Type": "text/event-stream"}
READ_SECONDS = 6.0
# Ways to go on after a stream has begun elsewhere.
ERRORS_BY_NAME = {
    "bad_request": ("400 Bad Request", b"no such thing", {}),
    "unknown": ("404 Not Found", b"no such thing", {}),
    "too_many": ("429 Too Many Requests", b"slow down", {"Retry-After": "1"}),
    "redirect": ("302 Found", b"", {"Location": "/elsewhere"}),
    "conflict": ("409 Conflict", b"id: 3\ndata: event 3\n\n", STREAM_TYPE),
    "unavailable": ("503 Service Unavailable", b"full", {}),
    "failure": ("500 Internal Server Error", b"failed", {}),
    "page": ("200 OK", b"<p>hello</p>", {"Content-Type": "text/html"}),
    "empty_page": ("200 OK", b"", {}),
}


class ResumedStreamTests(AsyncTestCase):
    """Break a stream off, and answer its continuation with something else."""

    async def check_error(self, status: str, body: bytes, headers: dict) -> None:
        """Check that the caller's stream is broken off after its events."""

        async def answer(request: RawRequest) -> None:
            identity = {REQUEST_ID: request.request_id, SIGNATURE: "signed"}
            if request.header("Last-Event-Id"):
                request.writer.write(
                    encode_answer(status, body, {**identity, **headers})
                )
                return
            head = encode_answer("200 OK", EVENTS, {**identity, **STREAM_TYPE})
            request.writer.write(head.replace(b"Length: 42", b"Length: 99"))
            await request.writer.drain()
            await asyncio.sleep(0.05)
            request.writer.close()

        fleet = await self.enter(GatewayFleet(model_count=0))
        for name in ("raw-1", "raw-2"):
            upstream = await self.enter(RawUpstream(name, answer))
            await self.list_upstream(fleet, upstream)
        received = await self.read_stream(fleet)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
        self.assertEqual(1, received.count(b"HTTP/1.1"), received)
        self.assertIn(b"data: event 2\n\n", received)
        self.assertNotIn(body or b"Location", received)
        self.assertFalse(received.endswith(LAST_CHUNK), received)

    async def read_stream(self, fleet: GatewayFleet) -> bytes:
        """Return all bytes that a caller gets until its connection ends."""
        reader, writer = await asyncio.open_connection(
            fleet.ip(0), fleet.ports["entry"]
        )
        writer.write(
            f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: id-x\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        try:
            return await asyncio.wait_for(reader.read(), READ_SECONDS)
        finally:
            writer.close()

    async def list_upstream(self, fleet: GatewayFleet, upstream: RawUpstream) -> None:
        """List an upstream, and wait until the gateway knows it."""
        await fleet.list_raw_upstream(upstream, "model")
        known = fleet.daemons[0].host.routing_state.engines_by_id
        await self.wait_until(lambda: upstream.engine_id in known)


def _add_tests() -> None:
    for name, error in ERRORS_BY_NAME.items():

        async def test(self: ResumedStreamTests, error: tuple = error) -> None:
            await self.check_error(*error)

        test.__doc__ = f"A begun stream does not end with an answer of {error[0]}."
        setattr(ResumedStreamTests, f"test_begun_stream_then_{name}", test)


_add_tests()
