"""Test streams that have no length, and events whose lines end in CRLF."""

import aiohttp
import testtools
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpond.upstreams.events import SparseEventSplitter
from teaselpond_standins.service import ListedFault
from teaselpond_standins.service import ListedFaultKind as Kind
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet

SIGNATURE = "X-Teaselpond-Server-Seal"
EVENT_COUNT = 5


def events(line_end: str = "\n", count: int = EVENT_COUNT) -> str:
    """Return the events of a stream from its first on."""
    return "".join(
        line_end.join((f"id: {number}", f"data: event {number}", "", ""))
        for number in range(1, count + 1)
    )


class SplitterTests(testtools.TestCase):
    """Split streams whose lines end in LF, in CRLF or in either."""

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.integers(0, 200)), st.sampled_from(("\n", "\r\n")))
    def test_any_split(self, splits: list[int], line_end: str) -> None:
        """Return the same bytes wherever the network splits them."""
        stream = events(line_end).encode()
        offsets = [0, *sorted(splits), len(stream)]
        splitter = SparseEventSplitter()
        returned = [
            splitter.feed(stream[start:end])
            for start, end in zip(offsets, offsets[1:], strict=False)
        ]
        self.assertEqual(stream, b"".join(returned))
        self.assertEqual(
            (b"", str(EVENT_COUNT)), (splitter.incomplete, splitter.position.event_id)
        )

    def test_repeats_with_other_line_ends(self) -> None:
        """A resumed stream may come from an upstream with other line ends."""
        first = SparseEventSplitter()
        first.feed(events("\r\n", 2).encode())
        splitter = SparseEventSplitter(first.position)
        rest = events(count=3).encode().partition(b"\n\n")[2].partition(b"\n\n")[2]
        self.assertEqual(rest, splitter.feed(events(count=3).encode()))

    def test_comments_with_crlf_are_no_events(self) -> None:
        """They are dropped beside events."""
        splitter = SparseEventSplitter()
        self.assertEqual(
            b"data: x\r\n\r\n", splitter.feed(b": none\r\n\r\ndata: x\r\n\r\n")
        )

    def test_stream_that_ends_inside_an_event(self) -> None:
        """What is left is not returned as an event."""
        for end in (b"\r", b"\r\n", b"\r\n\r"):
            splitter = SparseEventSplitter()
            self.assertEqual(b"", splitter.feed(b"id: 1\r\ndata: x" + end))
            self.assertNotEqual(b"", splitter.incomplete)


@frozen
class Ending:
    """Describe how a stream of the first upstream ends, and what follows.

    ``status`` is None if the caller's answer is incomplete; ``runs`` is how
    often the call runs.
    """

    path: str
    is_unframed: bool
    line_end: str
    kind: Kind | None
    status: int | None
    runs: int


ENDINGS_BY_NAME = {
    "unframed_whole": Ending("/single/x", True, "\n", None, 200, 1),
    "unframed_crlf_whole": Ending("/single/x", True, "\r\n", None, 200, 1),
    "chunked_crlf_whole": Ending("/single/x", False, "\r\n", None, 200, 1),
    "unframed_inside_event": Ending("/single/x", True, "\n", Kind.CUT_EVENT, None, 1),
    "unframed_crlf_inside_event": Ending(
        "/single/x", True, "\r\n", Kind.CUT_EVENT, None, 1
    ),
    "unframed_reset": Ending("/single/x", True, "\n", Kind.UNFRAMED_RESET, None, 1),
    "resumable_unframed_whole": Ending("/stream/x", True, "\n", None, 200, 1),
    "resumable_crlf_whole": Ending("/stream/x", True, "\r\n", None, 200, 1),
    "resumable_inside_event": Ending("/stream/x", True, "\n", Kind.CUT_EVENT, 200, 2),
    "resumable_crlf_inside_event": Ending(
        "/stream/x", True, "\r\n", Kind.CUT_EVENT, 200, 2
    ),
    "resumable_reset": Ending("/stream/x", True, "\n", Kind.UNFRAMED_RESET, 200, 2),
}


class StreamEndingTests(AsyncTestCase):
    """Pass on whole streams as whole, and no others."""

    async def check_ending(self, ending: Ending) -> None:
        """Check the status, the number of runs and the events of a stream."""
        fleet = await self.enter(GatewayFleet())
        shared = fleet.model_upstreams[0].faults
        for upstream in fleet.model_upstreams:
            upstream.faults = shared
            upstream.event_seconds = 0.05
            upstream.is_unframed = ending.is_unframed
            upstream.line_end = ending.line_end
        if ending.kind is not None:
            shared.add(ListedFault(ending.kind, 3), 1)
        status, body = None, ""
        try:
            async with fleet.call(ending.path, request_id="id-x") as response:
                body = (await response.read()).decode()
                status = response.status
        except aiohttp.ClientPayloadError:
            self.assertIsNone(ending.status)
        runs = sum(each.runs_by_id["id-x"] for each in fleet.model_upstreams)
        self.assertEqual((ending.status, ending.runs), (status, runs))
        if ending.status == 200:
            self.assertEqual(events(ending.line_end), body)


def _add_ending(name: str, ending: Ending) -> None:
    async def test(self: StreamEndingTests) -> None:
        await self.check_ending(ending)

    test.__doc__ = f"Check {ending}."
    setattr(StreamEndingTests, f"test_{name}", test)


for _name, _ending in ENDINGS_BY_NAME.items():
    _add_ending(_name, _ending)
