"""Test how far a caller has got with a stream, with ids of many forms."""

from collections.abc import Callable

import testtools
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpond.exceptions import UpstreamBroken, UpstreamInvalid
from teaselpond.upstreams.events import EventSplitter, SparseEventSplitter
from teaselpond.upstreams.positions import MAX_ID_BYTES, StreamPosition

EVENT_COUNT = 24
LINE_ENDS = ("\n", "\r\n")


def numbered(start: int, width: int = 0) -> Callable[[int], str]:
    """Return a function that writes the id line of an event."""
    return lambda number: f"id: {start + number:0{width}d}"


# Ids after which a stream may be resumed, and others.
CERTAIN_IDS_BY_NAME = {
    "from_one": numbered(0),
    "from_zero": numbered(-1),
    "eleven_to_thirteen_digits": lambda number: f"id: {9 * 10**10 * number}",
    "thirteen_digits": numbered(10**12),
    "forty_digits": numbered(10**39),
    "five_thousand_bits": numbered(2**3000),
    "leading_zeros": numbered(0, 8),
    "twenty_digits_with_zeros": numbered(10**15, 20),
    "without_a_blank": lambda number: f"id:{10**15 + number}",
    "missing_at_first": lambda number: f"id: {number}" if number > 1 else "",
    "sparse": lambda number: f"id: {number * number}",
}
UNCERTAIN_IDS_BY_NAME = {
    "none": lambda number: "",
    "first_event_only": lambda number: "" if number > 1 else "id: 1",
    "empty": lambda number: "id:",
    "bare": lambda number: "id",
    "hexadecimal": lambda number: f"id: {0xABC0 + number:x}",
    "hexadecimal_later": lambda number: f"id: {number + 1:x}",
    "letters": lambda number: f"id: chunk{number}",
    "dashed": lambda number: f"id: 1765-{number}",
    "signed": lambda number: f"id: +{number}",
    "negative": lambda number: f"id: {number - 30}",
    "second_blank": lambda number: f"id:  {number}",
    "trailing_tab": lambda number: f"id: {number}\t",
    "two_lines": lambda number: f"id: {number}\nid: {number + 1}",
    "other_digits": lambda number: f"id: {chr(0x660 + number % 10)}",
    "constant": lambda number: "id: 7",
    "falling": lambda number: f"id: {100 - number}",
    "too_long": lambda number: f"id: {10**MAX_ID_BYTES + number}",
    "wrapping": lambda number: f"id: {number % 5}",
    "bare_carriage_return": lambda number: f"id: {number}\rretry: 3",
}
IDS_BY_NAME = CERTAIN_IDS_BY_NAME | UNCERTAIN_IDS_BY_NAME


def write_event(ids: Callable[[int], str], number: int, line_end: str = "\n") -> bytes:
    """Return one event; half of the pieces have the same text."""
    id_lines = ids(number).split("\n") if ids(number) else []
    lines = [*id_lines, f"data: piece {number % 2 * number}", ""]
    return "".join(line + line_end for line in lines).encode()


@frozen
class Resumption:
    """Describe how an upstream goes on with a stream.

    ``back`` is how many events it repeats. ``ids`` writes those of its events.
    """

    ids: Callable[[int], str]
    back: int = 0
    line_end: str = "\n"
    end: int = EVENT_COUNT


def play(
    ids: Callable[[int], str],
    cut: int,
    resumption: Resumption,
    splits: tuple[int, ...] = (),
) -> tuple[bytes, bool]:
    """Return what a caller got, and whether it is told that this is whole."""
    stream = b"".join(write_event(ids, number) for number in range(1, cut + 1))
    splitter = SparseEventSplitter()
    offsets = sorted({0, len(stream), *(each % (len(stream) + 1) for each in splits)})
    received = b"".join(
        splitter.feed(stream[start:end])
        for start, end in zip(offsets, offsets[1:], strict=False)
    )
    position = splitter.position
    if not position.is_known:
        return received, False
    numbers = range(1, EVENT_COUNT + 1)
    rest = b"".join(
        write_event(resumption.ids, number, resumption.line_end)
        for number in numbers
        if cut - resumption.back < number <= resumption.end
    )
    continued = SparseEventSplitter(position)
    try:
        received += continued.feed(rest)
        continued.check_end()
    except UpstreamBroken:
        return received, False
    return received, True


class StreamPositionTests(testtools.TestCase):
    """Resume streams where that is certain, and break the others off."""

    @settings(derandomize=True, max_examples=400)
    @given(
        st.sampled_from(sorted(IDS_BY_NAME)),
        st.integers(1, EVENT_COUNT - 1),
        st.lists(st.integers(0, 2000), max_size=6),
        st.sampled_from(LINE_ENDS),
        st.integers(0, EVENT_COUNT),
    )
    def test_no_event_comes_twice(
        self, name: str, cut: int, splits: list[int], line_end: str, back: int
    ) -> None:
        """Guards against streams that begin again within an answer (ORDER)."""
        ids = IDS_BY_NAME[name]
        back = min(back, cut)
        received, is_whole = play(
            ids, cut, Resumption(ids, back, line_end), tuple(splits)
        )
        received = received.replace(b"\r\n", b"\n")
        whole = b"".join(write_event(ids, n) for n in range(1, EVENT_COUNT + 1))
        self.assertTrue(whole.startswith(received))
        self.assertEqual(is_whole, received == whole)
        if name in CERTAIN_IDS_BY_NAME and (name, cut) != ("missing_at_first", 1):
            self.assertEqual(back in (0, cut), is_whole)

    def test_ids_of_other_forms_are_never_resumed(self) -> None:
        """Guards against an unreadable id that counts as the start (ORDER)."""
        for name, ids in UNCERTAIN_IDS_BY_NAME.items():
            _, is_whole = play(ids, EVENT_COUNT - 1, Resumption(ids))
            self.assertFalse(is_whole, name)

    def test_resumed_at_the_id_as_it_was_written(self) -> None:
        """Guards against ids that no upstream wrote, as 7 for 00000007."""
        splitter = SparseEventSplitter()
        splitter.feed(b"id: 00000007\ndata: x\n\n")
        self.assertEqual("00000007", splitter.position.event_id)

    def test_other_ids_after_a_resume(self) -> None:
        """An upstream with ids of another form does not complete a stream."""
        ids = CERTAIN_IDS_BY_NAME["thirteen_digits"]
        cut = EVENT_COUNT // 2
        others = set(UNCERTAIN_IDS_BY_NAME) - {"too_long"} | {"from_one", "sparse"}
        for name in sorted(others):
            for back in (0, 3, cut):
                resumption = Resumption(IDS_BY_NAME[name], back)
                received, is_whole = play(ids, cut, resumption)
                self.assertFalse(is_whole, (name, back))
                self.assertEqual(cut, received.count(b"data: "), (name, back))

    def test_ids_that_begin_again_after_a_resume(self) -> None:
        """Guards against new events that are dropped as repeats (ORDER)."""
        for cut in range(1, EVENT_COUNT - 1):

            def again(number: int, cut: int = cut) -> str:
                return f"id: {number - cut}"

            received, is_whole = play(numbered(0), cut, Resumption(again))
            self.assertFalse(is_whole, cut)
            self.assertEqual(cut, received.count(b"data: "))

    def test_stream_that_ends_before_its_position(self) -> None:
        """A stream that begins again and ends early is not whole."""
        for end in range(1, 12):
            resumption = Resumption(numbered(0), back=12, end=end)
            self.assertFalse(play(numbered(0), 12, resumption)[1])
        self.assertTrue(play(numbered(0), 12, Resumption(numbered(0), 12, end=12))[1])

    def test_events_in_one_answer_are_not_dropped(self) -> None:
        """Guards against events that are lost as ids do not rise (ORDER)."""
        for name in ("constant", "falling", "wrapping", "two_lines", "empty"):
            ids = IDS_BY_NAME[name]
            stream = b"".join(write_event(ids, n) for n in range(1, EVENT_COUNT))
            splitter = SparseEventSplitter()
            self.assertEqual(stream, splitter.feed(stream), name)
            self.assertFalse(splitter.position.is_known, name)

    def test_position_that_the_caller_states(self) -> None:
        """What is no number is left to the upstream."""
        stream = b"id: 3\ndata: x\n\nid: 4\ndata: y\n\n"
        for stated in (None, "", "abc", "+7", "1_000", "\u0663", "a" * 2000):
            splitter = SparseEventSplitter(StreamPosition.stated(stated))
            self.assertEqual(stated, splitter.position.event_id)
            self.assertEqual(stream, splitter.feed(stream), stated)
            self.assertEqual("4", splitter.position.event_id)

    def test_number_that_the_caller_states(self) -> None:
        """Events up to it are dropped if the upstream sends them."""
        for stated in ("3", "0003", "9" * 5000):
            splitter = SparseEventSplitter(StreamPosition.stated(stated))
            events = [b"id: 2\ndata: x\n\n", b"id: 3\ndata: x\n\n"]
            expected = events if len(stated) > MAX_ID_BYTES else []
            self.assertEqual(b"".join(expected), splitter.feed(b"".join(events)))
        splitter = SparseEventSplitter(StreamPosition.stated("3"))
        with testtools.ExpectedException(UpstreamInvalid):
            splitter.feed(b"id: 2\ndata: x\n\nid: 4\ndata: y\n\n")
        splitter = SparseEventSplitter(StreamPosition.stated("3"))
        self.assertEqual(b"id: 4a\ndata: y\n\n", splitter.feed(b"id: 4a\ndata: y\n\n"))

    def test_daemon_does_not_take_such_ids_for_the_start(self) -> None:
        """Event numbers of more than twelve digits end the daemon's stream."""
        splitter = EventSplitter(2)
        self.assertIsNone(splitter.feed(b"id: 1000000000003\ndata: x\n\n"))
        self.assertEqual(2, splitter.last_event_number)
        self.assertTrue(splitter.fault)
