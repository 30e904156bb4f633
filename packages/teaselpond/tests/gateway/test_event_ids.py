"""Test streams that break off, with event ids of many forms."""

import asyncio

from teaselpond_standins.platform.operator import HOST, KEY
from teaselpond_standins.service.listed import REQUEST_ID, SIGNATURE
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet
from teaselpond_standins.testing.raw import LAST_CHUNK, RawRequest, RawUpstream

EVENT_COUNT = 6
CUT_AFTER = 3
READ_SECONDS = 6.0
# The ids of events that a stream may go on after, and others.
CERTAIN_IDS_BY_NAME = {
    "short": [f"id: {n}" for n in range(1, 7)],
    "thirteen_digits": [f"id: {10**12 + n}" for n in range(1, 7)],
    "forty_digits": [f"id: {10**39 + n}" for n in range(1, 7)],
    "leading_zeros": [f"id: {n:08d}" for n in range(1, 7)],
    "no_blank": [f"id:{10**15 + n}" for n in range(1, 7)],
}
UNCERTAIN_IDS_BY_NAME = {
    "none": [""] * EVENT_COUNT,
    "first_only": ["id: 1", *[""] * (EVENT_COUNT - 1)],
    "empty": ["id:"] * EVENT_COUNT,
    "hexadecimal": [f"id: {0xABC0 + n:x}" for n in range(1, 7)],
    "dashed": [f"id: 1765-{n}" for n in range(1, 7)],
    "signed": [f"id: +{n}" for n in range(1, 7)],
    "constant": ["id: 7"] * EVENT_COUNT,
    "two_lines": [f"id: {n}\nid: {n}" for n in range(1, 7)],
}


def write_events(ids: list[str], start: int, end: int) -> bytes:
    """Return some events of a stream in one chunk."""
    lines = (
        [*([ids[number]] if ids[number] else []), f"data: piece {number}", "", ""]
        for number in range(start, end)
    )
    events = "".join("\n".join(each) for each in lines).encode()
    return b"%x\r\n%s\r\n" % (len(events), events)


class EventIdTests(AsyncTestCase):
    """Break streams off, and go on with them by the ids as written."""

    async def read_stream(
        self, ids: list[str], headers: str = "", *, is_cut: bool = True
    ) -> tuple[bytes, list[str]]:
        """Return what a caller gets, and the positions that upstreams got."""
        positions = []
        written = [line.partition(":")[2].strip() for line in ids]

        async def answer(request: RawRequest) -> None:
            writer = request.writer
            position = request.header("Last-Event-Id")
            positions.append(position)
            lines = [
                "HTTP/1.1 200 OK",
                "Transfer-Encoding: chunked",
                "Content-Type: text/event-stream",
                f"{SIGNATURE}: signed",
                f"{REQUEST_ID}: {request.request_id}",
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            start = written.index(position) + 1 if position else 0
            is_first = len(positions) == 1 and is_cut
            writer.write(write_events(ids, start, CUT_AFTER if is_first else len(ids)))
            await writer.drain()
            await asyncio.sleep(0.05)
            if is_first:
                writer.close()
                return
            writer.write(LAST_CHUNK)

        fleet = await self.enter(GatewayFleet(model_count=0))
        for name in ("raw-1", "raw-2"):
            upstream = await self.enter(RawUpstream(name, answer))
            await fleet.list_raw_upstream(upstream, "model")
        known = fleet.daemons[0].host.routing_state.engines_by_id
        await self.wait_until(lambda: {"raw-1", "raw-2"} <= set(known))
        reader, writer = await asyncio.open_connection(
            fleet.ip(0), fleet.ports["entry"]
        )
        writer.write(
            f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: id-x\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n"
            f"Connection: close\r\n{headers}\r\n".encode()
        )
        try:
            return await asyncio.wait_for(reader.read(), READ_SECONDS), positions
        finally:
            writer.close()

    async def check_resumed(self, ids: list[str]) -> None:
        """The caller gets each event once, and the stream ends as complete."""
        received, positions = await self.read_stream(ids)
        self.assertEqual(["", ids[CUT_AFTER - 1].partition(":")[2].strip()], positions)
        self.assertTrue(received.endswith(LAST_CHUNK), received)
        for number in range(EVENT_COUNT):
            self.assertEqual(1, received.count(b"piece %d\n" % number), received)

    async def check_broken_off(self, ids: list[str]) -> None:
        """The caller gets the first events, and its stream has no end."""
        received, positions = await self.read_stream(ids)
        self.assertEqual([""], positions)
        self.assertFalse(received.endswith(LAST_CHUNK), received)
        self.assertEqual(CUT_AFTER, received.count(b"piece "), received)

    async def test_position_of_the_caller_in_another_form(self) -> None:
        """It reaches the upstream as it is, and what follows is passed on."""
        ids = UNCERTAIN_IDS_BY_NAME["hexadecimal"]
        header = "Last-Event-Id: abc2\r\n"
        received, positions = await self.read_stream(ids, header, is_cut=False)
        self.assertEqual(["abc2"], positions)
        self.assertTrue(received.endswith(LAST_CHUNK), received)
        self.assertEqual(EVENT_COUNT - 2, received.count(b"piece "), received)


def _add_tests() -> None:
    for name, ids in CERTAIN_IDS_BY_NAME.items():

        async def test_resumed(self: EventIdTests, ids: list[str] = ids) -> None:
            await self.check_resumed(ids)

        test_resumed.__doc__ = f"Guards against repeated events: {name} (ORDER)."
        setattr(EventIdTests, f"test_resumed_{name}", test_resumed)
    for name, ids in UNCERTAIN_IDS_BY_NAME.items():

        async def test_broken_off(self: EventIdTests, ids: list[str] = ids) -> None:
            await self.check_broken_off(ids)

        test_broken_off.__doc__ = f"Guards against a second start: {name} (ORDER)."
        setattr(EventIdTests, f"test_broken_off_{name}", test_broken_off)


_add_tests()
