"""Remember why recent requests went where they did."""

from collections import OrderedDict

from attrs import define, field, frozen

JOURNAL_REQUESTS = 2000
EVENTS_PER_REQUEST = 30


@frozen
class JournalEvent:
    """Hold one step of a request; the time is in wall-clock seconds."""

    time: float
    step: str
    detail: str


@define
class RequestJournal:
    """Hold the steps of the latest requests by their ids."""

    capacity: int = JOURNAL_REQUESTS
    _events_by_request: OrderedDict[str, list[JournalEvent]] = field(
        factory=OrderedDict
    )

    def note(self, request_id: str, step: str, detail: str, now: float) -> None:
        """Add a step to a request's story."""
        events = self._events_by_request.setdefault(request_id, [])
        if len(events) < EVENTS_PER_REQUEST:
            events.append(JournalEvent(now, step, detail))
        self._events_by_request.move_to_end(request_id)
        if len(self._events_by_request) > self.capacity:
            self._events_by_request.popitem(last=False)

    def events(self, request_id: str) -> tuple[JournalEvent, ...]:
        """Return a request's steps, oldest first; none when unknown."""
        return tuple(self._events_by_request.get(request_id, ()))
