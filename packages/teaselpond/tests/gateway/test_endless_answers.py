"""Test that upstreams that send without end cost a host little."""

import asyncio
import time

import aiohttp
import testtools

from teaselpond.exceptions import UpstreamInvalid
from teaselpond.gateway.pacing import BURST_EVENTS, EVENTS_PER_SECOND
from teaselpond.upstreams.events import MAX_EVENTLESS_BYTES, SparseEventSplitter
from teaselpond.upstreams.held_answers import MAX_HELD_BYTES, HeldAnswers
from teaselpond_model.bounded_sockets import READ_BYTES, BoundedSocket
from teaselpond_standins.service import ListedFaultKind as Kind
from teaselpond_standins.service.listed import REQUEST_ID, SIGNATURE
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet
from teaselpond_standins.testing.raw import RawRequest, RawUpstream

CALLS = 6
# What the sockets of a call buffer on both sides, at most.
BUFFERED_BYTES = 8 * 1024 * 1024
ANSWER_SECONDS = 2.5
ENDED_SECONDS = 1.5
DEADLINE_MS = 1500
LARGE_BODY_BYTES = 50_000


class HeldAnswersTests(testtools.TestCase):
    """Limit what all calls of a host hold together."""

    def test_all_answers_share_the_limit(self) -> None:
        """The largest answer is broken off, and its bytes are released."""
        answers = HeldAnswers(1000)
        with answers.hold(bytearray()) as large, answers.hold(bytearray()) as small:
            large.add(900)
            small.add(90)
            with testtools.ExpectedException(UpstreamInvalid):
                large.add(200)
            small.add(300)
        self.assertEqual(0, answers.held_bytes)
        with answers.hold(bytearray()) as alone:
            alone.add(1000)


class SparseEventSplitterTests(testtools.TestCase):
    """Distinguish events from bytes that are none."""

    def test_comments_are_no_events(self) -> None:
        """A stream of comments alone is broken off."""
        splitter = SparseEventSplitter()
        self.assertEqual(b"", splitter.feed(b": one\n\n: two\n\n"))
        self.assertEqual(b"data: x\n\n", splitter.feed(b": three\n\ndata: x\n\n"))
        comment = b":" * 1022 + b"\n\n"
        for _ in range(MAX_EVENTLESS_BYTES // len(comment)):
            self.assertEqual(b"", splitter.feed(comment))
        with testtools.ExpectedException(UpstreamInvalid):
            splitter.feed(comment)


class EndlessAnswerTests(AsyncTestCase):
    """Send calls to upstreams that send until the host closes."""

    async def call_all(self, fleet: GatewayFleet, path: str) -> list[int | None]:
        """Send some calls at once; return the statuses, None if cut."""

        async def call() -> int | None:
            try:
                async with fleet.call(path) as response:
                    await response.read()
                    return response.status
            except aiohttp.ClientPayloadError:
                return None

        return await asyncio.gather(*(call() for _ in range(CALLS)))

    async def test_endless_bodies_share_the_memory_of_one(self) -> None:
        """The calls end soon, and hold little together."""
        fleet = await self.enter(GatewayFleet())
        for upstream in fleet.plain_upstreams:
            upstream.add_fault(Kind.ENDLESS, count=CALLS)
        started_at = time.monotonic()
        statuses = await self.call_all(fleet, "/orders/x")
        self.assertEqual([502] * CALLS, statuses)
        self.assertLess(time.monotonic() - started_at, ANSWER_SECONDS)
        sent = sum(upstream.endless_bytes for upstream in fleet.plain_upstreams)
        self.assertLess(sent, MAX_HELD_BYTES + CALLS * BUFFERED_BYTES)

    async def test_endless_comments_are_no_stream(self) -> None:
        """They reach no caller, and a resumable stream goes on elsewhere."""
        fleet = await self.enter(GatewayFleet())
        upstreams = fleet.model_upstreams
        upstreams[1].faults = upstreams[0].faults
        upstreams[0].add_fault(Kind.ENDLESS, count=1, events=2)
        async with fleet.call("/stream/x") as response:
            body = (await response.read()).decode()
        events = "".join(f"id: {n}\ndata: event {n}\n\n" for n in range(1, 6))
        self.assertEqual(events, body)
        for upstream in upstreams:
            upstream.add_fault(Kind.ENDLESS, count=CALLS)
        self.assertEqual([502] * CALLS, await self.call_all(fleet, "/single/x"))


def encode_stream_head(request: RawRequest) -> bytes:
    """Return the head of a stream's answer in chunks."""
    lines = [
        "HTTP/1.1 200 OK",
        "Transfer-Encoding: chunked",
        "Content-Type: text/event-stream",
        f"{SIGNATURE}: s",
        f"{REQUEST_ID}: {request.request_id}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class EndlessFramingTests(AsyncTestCase):
    """Send bytes without end that are hardly any body."""

    async def check_ends(self, path: str, junk: bytes, *, has_head: bool) -> None:
        """The call and its connection end long before the deadline."""
        closed = asyncio.Event()

        async def answer(request: RawRequest) -> None:
            if has_head:
                request.writer.write(encode_stream_head(request))
            try:
                while True:
                    request.writer.write(junk * 100)
                    await request.writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                closed.set()
                raise

        fleet = await self.enter(GatewayFleet(plain_count=0, model_count=0))
        upstream = await self.enter(RawUpstream("raw-1", answer))
        await fleet.list_raw_upstream(upstream, "model" if has_head else "plain")
        known = fleet.daemons[0].host.routing_state.engines_by_id
        await self.wait_until(lambda: upstream.engine_id in known)
        async with asyncio.timeout(ENDED_SECONDS), fleet.call(path) as response:
            self.assertEqual(502, response.status)
        await asyncio.wait_for(closed.wait(), ENDED_SECONDS)

    async def test_interim_heads_without_end_are_no_answer(self) -> None:
        """The HTTP client drops them without a trace."""
        await self.check_ends(
            "/orders/x", b"HTTP/1.1 100 Continue\r\n\r\n", has_head=False
        )

    async def test_chunks_of_one_byte_without_end_are_no_answer(self) -> None:
        """Each costs as much as a large one."""
        await self.check_ends("/single/x", b"1\r\nx\r\n", has_head=True)

    async def test_chunk_extensions_without_end_are_no_answer(self) -> None:
        """The HTTP client drops the extensions."""
        await self.check_ends("/single/x", b"1;a=b\r\nx\r\n", has_head=True)

    async def test_comment_lines_without_end_are_no_answer(self) -> None:
        """No empty line ends them, so they are no events."""
        await self.check_ends("/single/x", b"2\r\n:\n\r\n", has_head=True)


class EndlessEventTests(AsyncTestCase):
    """Send small events without end."""

    async def test_small_events_without_end_leave_time_for_others(self) -> None:
        """Their caller gets them at a limited rate until its deadline."""

        async def answer(request: RawRequest) -> None:
            request.writer.write(encode_stream_head(request))
            while True:
                request.writer.write(b"9\r\ndata: x\n\n\r\n" * 100)
                await request.writer.drain()
                await asyncio.sleep(0)

        fleet = await self.enter(GatewayFleet(model_count=0))
        upstream = await self.enter(RawUpstream("raw-1", answer))
        await fleet.list_raw_upstream(upstream, "model")
        known = fleet.daemons[0].host.routing_state.engines_by_id
        await self.wait_until(lambda: upstream.engine_id in known)
        count = 0
        async with fleet.call("/single/x", deadline_ms=DEADLINE_MS) as response:
            with self.assertRaises(aiohttp.ClientPayloadError):
                async for part in response.content.iter_any():
                    count += part.count(b"\n\n")
        limit = BURST_EVENTS + DEADLINE_MS / 1000 * EVENTS_PER_SECOND
        # The events of the last read, and those before the deadline's slack.
        self.assertLess(count, limit * 1.5)
        self.assertLess(BURST_EVENTS, count)


class BoundedReadTests(AsyncTestCase):
    """Send a host much at once, on connections of each kind."""

    async def test_a_connection_gets_a_small_part_of_a_turn(self) -> None:
        """No read of a caller, an upstream or the store returns more."""
        sizes = []
        recv = BoundedSocket.recv

        def record(self: BoundedSocket, size: int, flags: int = 0) -> bytes:
            data = recv(self, size, flags)
            sizes.append((self.getsockname()[1], len(data)))
            return data

        self.patch(BoundedSocket, "recv", record)
        fleet = await self.enter(GatewayFleet())
        body = b"x" * LARGE_BODY_BYTES
        async with fleet.call("/orders/x", body=body) as response:
            self.assertEqual(200, response.status)
        entry_port = fleet.ports["entry"]
        received = sum(size for port, size in sizes if port == entry_port)
        self.assertLess(LARGE_BODY_BYTES, received)
        self.assertLess(1, len({port for port, _ in sizes}))
        self.assertEqual(READ_BYTES, max(size for _, size in sizes))
