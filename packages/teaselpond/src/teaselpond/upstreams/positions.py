"""Tell how far a caller has got with an event stream.

A stream may only be resumed after an event whose place is certain: its id is a
number, and it is above all that came before. What cannot be understood is told
apart from a stream of which nothing was passed on.
"""

import re
import zlib

from attrs import define, field, frozen

from ..exceptions import UpstreamInvalid

# One blank after the colon is not part of the value.
ID_FIELD = re.compile(rb"^id(?:: ?([^\n]*?))?\r?$", re.MULTILINE)
# A longer id may exceed what upstreams accept in the head of a request.
MAX_ID_BYTES = 1024

EventNumber = tuple[int, bytes]


@frozen
class StreamPosition:
    """Describe after which event a stream goes on.

    ``event_id`` is the id as the upstream wrote it, None at the start of the
    stream. ``number`` orders it, None if it is no number. ``checksum`` is that
    of all events passed on in this answer, None if there are none. The other
    fields mean nothing unless the position ``is_known``.
    """

    event_id: str | None = None
    number: EventNumber | None = None
    checksum: int | None = None
    is_known: bool = True

    @classmethod
    def stated(cls, event_id: str | None) -> "StreamPosition":
        """Return the position that a caller states, which may be no number."""
        is_ascii = event_id is not None and event_id.isascii()
        number = event_number(event_id.encode()) if is_ascii else None
        return cls(event_id, number)


UNKNOWN_POSITION = StreamPosition(is_known=False)


def event_number(event_id: bytes) -> EventNumber | None:
    """Return what orders ids that are decimal numbers, None for others.

    Numbers may have more digits than the interpreter converts.
    """
    if len(event_id) > MAX_ID_BYTES or not event_id.isdigit():
        return None
    digits = event_id.lstrip(b"0")
    return len(digits), digits


@define
class PositionTracker:
    """Follow the events of one attempt, and tell which of them are new.

    An upstream that was asked to go on after the ``start`` may begin with the
    stream's first event instead. Its events are dropped up to that position,
    where they must be the same as those that were passed on.
    """

    start: StreamPosition = field(factory=StreamPosition)
    _last_id: bytes | None = field(default=None, init=False)
    _highest: EventNumber | None = field(init=False)
    _checksum: int = field(init=False)
    _repeats_checksum: int = field(default=0, init=False)
    _has_repeats: bool = field(default=False, init=False)
    _is_at_start: bool = field(default=False, init=False)
    _has_new_events: bool = field(default=False, init=False)
    _is_past_start: bool = field(init=False)
    _is_ordered: bool = field(default=True, init=False)

    def __attrs_post_init__(self) -> None:
        self._highest = self.start.number
        self._checksum = self.start.checksum or 0
        self._is_past_start = self._highest is None

    @property
    def position(self) -> StreamPosition:
        """Return the position after the last new event."""
        if self._last_id is not None and self._is_ordered:
            event_id = self._last_id.decode("ascii")
            return StreamPosition(event_id, self._highest, self._checksum)
        return UNKNOWN_POSITION if self._has_new_events else self.start

    @property
    def is_behind(self) -> bool:
        """Return whether only events before the start have come."""
        return self._has_repeats and not (self._is_past_start or self._is_at_start)

    def take_new(self, events: list[bytes]) -> bytes:
        """Record the next events; return those that are new.

        Raise UpstreamInvalid if the upstream does not go on at the start.
        """
        new = [event for event in events if self._is_new(event)]
        joined = b"".join(new)
        self._checksum = _add_events(self._checksum, joined)
        return joined

    def _is_new(self, event: bytes) -> bool:
        ids = ID_FIELD.findall(event)
        number = event_number(ids[0]) if len(ids) == 1 else None
        if not self._is_past_start and self._is_repeat(event, number):
            return False
        self._is_past_start = self._has_new_events = True
        self._last_id = None
        if ids:
            self._is_ordered = self._is_ordered and self._is_above(number)
            self._highest, self._last_id = number, ids[0]
        return True

    def _is_above(self, number: EventNumber | None) -> bool:
        """Return whether an id is a number above those before it."""
        return number is not None and (self._highest is None or number > self._highest)

    def _is_repeat(self, event: bytes, number: EventNumber | None) -> bool:
        """Return whether an event does not follow the start."""
        if self._is_above(number):
            if self.is_behind:
                raise UpstreamInvalid(
                    "a resumed stream leaves out the event to go on after",
                    step="stream",
                )
            return False
        is_resumed = self.start.checksum is not None
        is_first = not self._has_repeats and not is_resumed
        if number is None and (self._is_at_start or is_first):
            # A position that the caller states may be of any form.
            return False
        if self._is_at_start:
            raise UpstreamInvalid(
                "a resumed stream repeats the event to go on after", step="stream"
            )
        self._has_repeats = True
        self._repeats_checksum = _add_events(self._repeats_checksum, event)
        if number == self._highest:
            if is_resumed and self._repeats_checksum != self.start.checksum:
                raise UpstreamInvalid(
                    "a resumed stream begins again with other events", step="stream"
                )
            self._is_at_start = True
        return True


def _add_events(checksum: int, events: bytes) -> int:
    """Return the checksum of a stream with more whole events.

    Upstreams may differ in how they end lines.
    """
    return zlib.crc32(events.replace(b"\r\n", b"\n"), checksum)
