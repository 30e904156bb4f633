"""Hold the requests that wait for a slot of one model."""

from collections import deque
from collections.abc import Iterator, Mapping

from attrs import define, field, frozen

from .messages import RequestClass, SlotRequest

URGENCY_BY_CLASS = {
    request_class: urgency for urgency, request_class in enumerate(RequestClass)
}


@frozen
class Waiting:
    """Hold a queued request and since when it waits."""

    request: SlotRequest
    since: float

    @property
    def urgency(self) -> int:
        """Return the class's place; 0 is the most urgent."""
        return URGENCY_BY_CLASS[self.request.request_class]

    def rank(self, ageing_seconds: float, now: float) -> float:
        """Return the place after ageing; the lowest goes first."""
        return self.urgency - (now - self.since) / ageing_seconds


@define
class RequestQueue:
    """Order requests by class with ageing, then by workspace in fair turns."""

    ageing_seconds: float
    _waiting_by_id: dict[str, Waiting] = field(factory=dict)
    _lines: dict[RequestClass, dict[str, deque[Waiting]]] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting_by_id

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._waiting_by_id.values()))

    def push(self, request: SlotRequest, now: float) -> None:
        """Add a request at the end of its workspace's line."""
        waiting = Waiting(request, now)
        self._waiting_by_id[request.request_id] = waiting
        lines = self._lines.setdefault(request.request_class, {})
        lines.setdefault(request.workspace, deque()).append(waiting)

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out, wherever it stands."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return None
        lines = self._lines[waiting.request.request_class]
        line = lines[waiting.request.workspace]
        line.remove(waiting)
        if not line:
            del lines[waiting.request.workspace]
        return waiting

    def in_order(
        self, in_use_by_workspace: Mapping[str, int], now: float
    ) -> list[Waiting]:
        """Return the head of each line, the first to go first.

        A class ages by its oldest request. Within a class the workspace with
        the fewest slots goes first, however long a busy one has waited.
        """
        heads: list[Waiting] = []
        for request_class in self._lines_by_age(now):
            lines = self._lines[request_class]
            heads.extend(
                sorted(
                    (line[0] for line in lines.values()),
                    key=lambda waiting: (
                        in_use_by_workspace.get(waiting.request.workspace, 0),
                        waiting.since,
                    ),
                )
            )
        return heads

    def _lines_by_age(self, now: float) -> list[RequestClass]:
        ranks = {
            request_class: min(
                line[0].rank(self.ageing_seconds, now) for line in lines.values()
            )
            for request_class, lines in self._lines.items()
            if lines
        }
        return sorted(ranks, key=ranks.__getitem__)

    def ahead_of(self, request: SlotRequest) -> int:
        """Return how many queued requests are at least as urgent."""
        urgency = URGENCY_BY_CLASS[request.request_class]
        return sum(
            len(line)
            for request_class, lines in self._lines.items()
            if URGENCY_BY_CLASS[request_class] <= urgency
            for line in lines.values()
        )

    def has_line(self, request: SlotRequest) -> bool:
        """Tell whether requests of the same class and workspace wait."""
        return self.line_length(request) > 0

    def least_urgent(self) -> Waiting | None:
        """Return the last request of the least urgent class's longest line."""
        for request_class in reversed(RequestClass):
            lines = self._lines.get(request_class)
            if lines:
                return max(lines.values(), key=len)[-1]
        return None

    def line_length(self, request: SlotRequest) -> int:
        """Return how many requests of the same class and workspace wait."""
        lines = self._lines.get(request.request_class, {})
        return len(lines.get(request.workspace, ()))
