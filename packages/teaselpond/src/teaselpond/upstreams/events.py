"""Split server-sent event streams into events without parsing their data."""

import re

from attrs import define, field, frozen

from ..exceptions import UpstreamBroken, UpstreamInvalid
from .positions import PositionTracker, StreamPosition

EVENT_END = b"\n\n"
ID_LINE = re.compile(rb"^id: (\d{1,12})$", re.MULTILINE)
TERMINAL_DATA = b"data: [DONE]"
# The terminal event is short and last, so only the end of a batch is searched.
TERMINAL_SEARCH_BYTES = 64
MAX_EVENT_BYTES = 1024 * 1024
EVENT_LINE = re.compile(rb"^(?:data|id)(?::|\r?$)", re.MULTILINE)
# Lines may end in LF or CRLF; an empty line ends an event.
LAST_LINE_ENDS = (b"\n\n", b"\n\r\n")
ANY_EVENT = re.compile(rb".*?\n\r?\n", re.DOTALL)
# Comments keep a connection open; a few bytes at a time do.
MAX_EVENTLESS_BYTES = 64 * 1024


@frozen
class EventBatch:
    """Hold consecutive complete events as the engine sent them.

    ``count`` is how many there are and ``last_event_number`` the number of
    the last one. ``terminal`` is true if the stream's terminal event is one
    of them.
    """

    raw: bytes
    count: int
    last_event_number: int
    terminal: bool


@define
class EventSplitter:
    """Split a byte stream into batches of complete, numbered events.

    Event numbers must rise by one. Events numbered up to
    ``last_event_number`` are dropped as repeats. ``fault`` describes a gap or
    an event without a number, after which the stream must not be read on.
    """

    last_event_number: int = 0
    terminal: bool = False
    fault: str = ""
    _pending: bytes = field(default=b"", init=False)

    def feed(self, chunk: bytes) -> EventBatch | None:
        """Add bytes and return the events that they complete, or None.

        Raise UpstreamBroken for a carriage return or an event that is too
        large.
        """
        if b"\r" in chunk or b"\r" in self._pending:
            raise UpstreamBroken(
                "the event stream contains a carriage return", step="stream"
            )
        data = self._pending + chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._set_pending(data)
            return None
        end += len(EVENT_END)
        self._set_pending(data[end:])
        return self._batch(data[:end])

    def _set_pending(self, incomplete: bytes) -> None:
        if len(incomplete) > MAX_EVENT_BYTES:
            raise UpstreamBroken(
                f"an event is larger than {MAX_EVENT_BYTES} bytes", step="stream"
            )
        self._pending = incomplete

    def _batch(self, raw: bytes) -> EventBatch | None:
        numbers = [int(number) for number in ID_LINE.findall(raw)]
        count = raw.count(EVENT_END)
        last = self.last_event_number + count
        if numbers != list(range(self.last_event_number + 1, last + 1)):
            return self._batch_one_by_one(raw)
        terminal = TERMINAL_DATA in raw[-TERMINAL_SEARCH_BYTES:]
        self.last_event_number = last
        self.terminal = self.terminal or terminal
        return EventBatch(raw, count, last, terminal)

    def _batch_one_by_one(self, raw: bytes) -> EventBatch | None:
        """Check each event of a batch that has repeats or gaps.

        Events before a fault are still returned. They count as read, because
        a resumed stream starts after them.
        """
        kept = []
        terminal = False
        for event in raw.split(EVENT_END)[:-1]:
            number = _event_number(event)
            is_terminal = TERMINAL_DATA in event
            if number is not None and number <= self.last_event_number:
                continue
            expected = self.last_event_number + 1
            if number != expected and not (is_terminal and number is None):
                self.fault = f"received event {number} instead of event {expected}"
                break
            self.last_event_number = (
                expected if number is not None else self.last_event_number
            )
            kept.append(event + EVENT_END)
            if is_terminal:
                # Bytes after the terminal event are not part of the answer.
                terminal = True
                break
        self.terminal = self.terminal or terminal
        if not kept:
            return None
        return EventBatch(b"".join(kept), len(kept), self.last_event_number, terminal)


def _event_number(event: bytes) -> int | None:
    found = ID_LINE.findall(event)
    return int(found[0]) if len(found) == 1 else None


@define
class SparseEventSplitter:
    """Split a byte stream into complete events whose ids may have gaps.

    Events up to the ``start`` are dropped as repeats, and what holds neither
    data nor an id as no event. ``incomplete`` holds the received bytes of an
    event that has not ended yet, ``count`` is how many have ended.
    """

    start: StreamPosition = field(factory=StreamPosition)
    incomplete: bytes = b""
    count: int = 0
    _eventless_bytes: int = 0
    _tracker: PositionTracker = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tracker = PositionTracker(self.start)

    @property
    def position(self) -> StreamPosition:
        """Return the position after the last event that was returned."""
        return self._tracker.position

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes and return the new events that they complete.

        Raise UpstreamInvalid for an event that is too large, for too many
        bytes without one, and for events that do not go on at the start.
        """
        data = self.incomplete + chunk
        end = max(_end_of_last(data, line_ends) for line_ends in LAST_LINE_ENDS)
        self.incomplete = data[end:]
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise UpstreamInvalid(
                f"an event is larger than {MAX_EVENT_BYTES} bytes", step="stream"
            )
        blocks = ANY_EVENT.findall(data[:end])
        self.count += len(blocks)
        return self._tracker.take_new([each for each in blocks if self._is_event(each)])

    def check_end(self) -> None:
        """Raise UpstreamBroken if the stream is not whole at its end."""
        if self.incomplete:
            raise UpstreamBroken(
                "the stream ended in the middle of an event", step="stream"
            )
        if self._tracker.is_behind:
            raise UpstreamBroken(
                "the stream ended before the event that it goes on after",
                step="stream",
            )

    def _is_event(self, block: bytes) -> bool:
        if EVENT_LINE.search(block):
            self._eventless_bytes = 0
            return True
        self._eventless_bytes += len(block)
        if self._eventless_bytes > MAX_EVENTLESS_BYTES:
            raise UpstreamInvalid(
                f"received {self._eventless_bytes} bytes without an event",
                step="stream",
            )
        return False


def _end_of_last(data: bytes, line_ends: bytes) -> int:
    """Return the position after the last such line ends, 0 without any."""
    position = data.rfind(line_ends)
    return position + len(line_ends) if position >= 0 else 0
