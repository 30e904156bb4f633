"""Record the steps of recent requests for operators."""

from collections import OrderedDict

from attrs import define, field, frozen

MAX_REQUESTS = 2000
MAX_EVENTS_PER_REQUEST = 30


@frozen
class JournalEvent:
    """Describe one step of a request; ``time`` is in Unix seconds."""

    time: float
    step: str
    detail: str


@define
class RequestJournal:
    """Keep the steps of the most recent requests by request id.

    Beyond ``capacity`` requests, the one recorded longest ago is dropped.
    """

    capacity: int = MAX_REQUESTS
    _events_by_request: OrderedDict[str, list[JournalEvent]] = field(
        factory=OrderedDict
    )

    def record(self, request_id: str, step: str, detail: str, now: float) -> None:
        """Append a step to a request, up to MAX_EVENTS_PER_REQUEST."""
        events = self._events_by_request.setdefault(request_id, [])
        if len(events) < MAX_EVENTS_PER_REQUEST:
            events.append(JournalEvent(now, step, detail))
        self._events_by_request.move_to_end(request_id)
        if len(self._events_by_request) > self.capacity:
            self._events_by_request.popitem(last=False)

    def events(self, request_id: str) -> tuple[JournalEvent, ...]:
        """Return a request's steps, oldest first; none for an unknown one."""
        return tuple(self._events_by_request.get(request_id, ()))
