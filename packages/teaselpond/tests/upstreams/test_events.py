"""Test how event streams are split into events."""

import re

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpond.exceptions import UpstreamBroken
from teaselpond.upstreams.events import MAX_EVENT_BYTES, EventSplitter

STREAM = b"".join(
    b'id: %d\ndata: {"a": "id: 9 [DONE] \\n\\n"}\n\n' % number for number in range(1, 8)
)
ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
DONE = b"id: 8\ndata: [DONE]\n\n"
UNNUMBERED_DONE = b"data: [DONE]\n\n"


def feed(chunks: list[bytes], splitter: EventSplitter | None = None) -> bytes:
    """Return the bytes of the events that a splitter finds in chunks."""
    splitter = splitter or EventSplitter()
    batches = [splitter.feed(chunk) for chunk in chunks]
    return b"".join(batch.raw for batch in batches if batch is not None)


class EventSplitterTests(testtools.TestCase):
    """Check that each event is returned once, in order and unchanged."""

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.integers(0, len(STREAM + DONE))))
    def test_any_split(self, splits: list[int]) -> None:
        """Return the same bytes wherever the network splits them."""
        for stream in (STREAM + DONE, STREAM + UNNUMBERED_DONE):
            offsets = [0, *sorted(splits), len(stream)]
            chunks = [stream[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]
            splitter = EventSplitter()
            self.assertEqual(stream, feed(chunks, splitter))
            self.assertTrue(splitter.terminal)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=200), st.integers(0, 8))
    def test_garbage_is_never_counted(self, garbage: bytes, position: int) -> None:
        """Return only events numbered without gaps, given arbitrary bytes."""
        events = [event + b"\n\n" for event in STREAM.split(b"\n\n")[:-1]]
        events.insert(position, garbage)
        splitter = EventSplitter()
        try:
            returned = feed([b"".join(events)], splitter)
        except UpstreamBroken:
            return
        numbers = [int(number) for number in ID.findall(returned)]
        self.assertEqual(list(range(1, splitter.last_event_number + 1)), numbers)

    def test_repeats_are_dropped(self) -> None:
        """Drop repeated events, in the same chunk or a later one."""
        for chunks in ([STREAM, STREAM + DONE], [STREAM + STREAM + DONE]):
            self.assertEqual(STREAM + DONE, feed(chunks))

    def test_gap_is_a_fault(self) -> None:
        """Return the events before a gap, and none after it."""
        splitter = EventSplitter()
        gap = b"id: 9\ndata: 1\n\n"
        self.assertEqual(STREAM, feed([STREAM + gap + DONE], splitter))
        self.assertEqual((7, False), (splitter.last_event_number, splitter.terminal))
        self.assertTrue(splitter.fault)

    def test_oversized_event_is_refused(self) -> None:
        """Raise UpstreamBroken for an event that exceeds the size limit."""
        with testtools.ExpectedException(UpstreamBroken):
            feed([b"x" * MAX_EVENT_BYTES, b"x"])
