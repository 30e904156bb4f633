"""Cut an engine's event stream into whole events without parsing them."""

import itertools
import re

from attrs import define, field, frozen

from ..exceptions import UpstreamBroken

EVENT_END = b"\n\n"
ID_LINE = re.compile(rb"^id: (\d{1,12})$", re.MULTILINE)
TERMINAL_DATA = b"data: [DONE]"
TERMINAL_TAIL_BYTES = 64
MAX_EVENT_BYTES = 1024 * 1024


@frozen
class EventBatch:
    """Hold whole events as they came, without gaps.

    ``last_number`` is the number of the last one; ``terminal`` tells whether
    the stream's terminal event is among them.
    """

    raw: bytes
    count: int
    last_event_number: int
    terminal: bool


@define
class EventSplitter:
    """Gather bytes into batches of whole events.

    Events that were seen before are dropped. ``fault`` tells of a gap or of
    an event without a number, after which nothing more is read.
    """

    last_event_number: int = 0
    terminal: bool = False
    fault: str = ""
    _pending: bytes = field(default=b"", init=False)

    def feed(self, part: bytes) -> EventBatch | None:
        """Add bytes and return the whole events so far, if there are any."""
        if b"\r" in part or b"\r" in self._pending:
            raise UpstreamBroken("carriage return in an event stream", step="stream")
        data = self._pending + part
        end = data.rfind(EVENT_END)
        if end < 0:
            self._keep(data)
            return None
        end += len(EVENT_END)
        self._keep(data[end:])
        return self._batch(data[:end])

    def _keep(self, incomplete: bytes) -> None:
        if len(incomplete) > MAX_EVENT_BYTES:
            raise UpstreamBroken("event too large", step="stream")
        self._pending = incomplete

    def _batch(self, raw: bytes) -> EventBatch | None:
        numbers = [int(number) for number in ID_LINE.findall(raw)]
        count = raw.count(EVENT_END)
        last = self.last_event_number + count
        if numbers != list(range(self.last_event_number + 1, last + 1)):
            return self._batch_each(raw)
        terminal = TERMINAL_DATA in raw[-TERMINAL_TAIL_BYTES:]
        self.last_event_number = last
        self.terminal = self.terminal or terminal
        return EventBatch(raw, count, last, terminal)

    def _batch_each(self, raw: bytes) -> EventBatch | None:
        """Go event by event through a batch that has repeats or gaps.

        Events before a fault are still handed on: they count as read, so
        that a resumed stream begins after them.
        """
        kept = []
        terminal = False
        for event in raw.split(EVENT_END)[:-1]:
            number = _number(event)
            done = TERMINAL_DATA in event
            if number is not None and number <= self.last_event_number:
                continue
            expected = self.last_event_number + 1
            if number != expected and not (done and number is None):
                self.fault = f"event {number} in place of event {expected}"
                break
            self.last_event_number = (
                expected if number is not None else self.last_event_number
            )
            kept.append(event + EVENT_END)
            if done:
                # Whatever follows is not part of the answer.
                terminal = True
                break
        self.terminal = self.terminal or terminal
        if not kept:
            return None
        return EventBatch(b"".join(kept), len(kept), self.last_event_number, terminal)


def _number(event: bytes) -> int | None:
    found = ID_LINE.findall(event)
    return int(found[0]) if len(found) == 1 else None


@define
class SparseEventSplitter:
    """Gather bytes into whole events whose ids may have gaps.

    Events up to ``last_id`` are dropped as seen before. ``rest`` is what
    came of an event that is not whole.
    """

    last_id: int = -1
    incomplete: bytes = b""

    def feed(self, part: bytes) -> bytes:
        """Add bytes and return the new whole events; raise UpstreamBroken."""
        data = self.incomplete + part
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self.incomplete = data[end:]
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise UpstreamBroken("event too large", step="stream")
        events = data[:end]
        numbers = [int(number) for number in ID_LINE.findall(events)]
        if not numbers:
            return events
        is_new = numbers[0] > self.last_id
        if is_new and all(a < b for a, b in itertools.pairwise(numbers)):
            self.last_id = numbers[-1]
            return events
        return self._only_new(events)

    def _only_new(self, events: bytes) -> bytes:
        kept = []
        for event in events.split(EVENT_END)[:-1]:
            number = _number(event)
            if number is not None and number <= self.last_id:
                continue
            if number is not None:
                self.last_id = number
            kept.append(event + EVENT_END)
        return b"".join(kept)
