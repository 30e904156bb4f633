"""Cut event streams in every way."""

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
BARE_DONE = b"data: [DONE]\n\n"


def feed(parts: list[bytes], splitter: EventSplitter | None = None) -> bytes:
    """Return what a splitter hands on of some parts."""
    splitter = splitter or EventSplitter()
    batches = [splitter.feed(part) for part in parts]
    return b"".join(batch.raw for batch in batches if batch is not None)


class EventSplitterTests(testtools.TestCase):
    """Check that whole events come out once, in order, unchanged."""

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.integers(0, len(STREAM + DONE))))
    def test_any_cut(self, cuts: list[int]) -> None:
        """Hand on the same bytes, wherever the network cuts them."""
        for whole in (STREAM + DONE, STREAM + BARE_DONE):
            points = [0, *sorted(cuts), len(whole)]
            parts = [whole[a:b] for a, b in zip(points, points[1:], strict=False)]
            splitter = EventSplitter()
            self.assertEqual(whole, feed(parts, splitter))
            self.assertTrue(splitter.terminal)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=200), st.integers(0, 8))
    def test_rubbish_is_never_counted(self, rubbish: bytes, position: int) -> None:
        """Hand on nothing but gapless numbered events."""
        events = [event + b"\n\n" for event in STREAM.split(b"\n\n")[:-1]]
        events.insert(position, rubbish)
        splitter = EventSplitter()
        try:
            handed_on = feed([b"".join(events)], splitter)
        except UpstreamBroken:
            return
        numbers = [int(number) for number in ID.findall(handed_on)]
        self.assertEqual(list(range(1, splitter.last_event_number + 1)), numbers)

    def test_repeats_are_dropped(self) -> None:
        """Drop events that came before, in one part or several."""
        for parts in ([STREAM, STREAM + DONE], [STREAM + STREAM + DONE]):
            self.assertEqual(STREAM + DONE, feed(parts))

    def test_gap_is_a_fault(self) -> None:
        """Hand on what came before a gap, and nothing after it."""
        splitter = EventSplitter()
        gap = b"id: 9\ndata: 1\n\n"
        self.assertEqual(STREAM, feed([STREAM + gap + DONE], splitter))
        self.assertEqual((7, False), (splitter.last_event_number, splitter.terminal))
        self.assertTrue(splitter.fault)

    def test_endless_event_is_refused(self) -> None:
        """Bound the memory that an event without an end takes."""
        with testtools.ExpectedException(UpstreamBroken):
            feed([b"x" * MAX_EVENT_BYTES, b"x"])
