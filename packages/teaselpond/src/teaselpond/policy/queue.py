"""Queue the requests that wait for a slot of one model."""

from collections import deque
from collections.abc import Iterator, Mapping

from attrs import define, field, frozen

from .messages import RequestClass, SlotRequest

URGENCY_BY_CLASS = {
    request_class: urgency for urgency, request_class in enumerate(RequestClass)
}


@frozen
class QueuedRequest:
    """Pair a queued request with the time at which it was queued."""

    request: SlotRequest
    queued_at: float

    @property
    def urgency(self) -> int:
        """Return the urgency of the request's class; 0 is the highest."""
        return URGENCY_BY_CLASS[self.request.request_class]

    def rank(self, ageing_seconds: float, now: float) -> float:
        """Return the urgency after ageing; the lowest value goes first.

        Each ``ageing_seconds`` in the queue raise a request by one class.
        """
        return self.urgency - (now - self.queued_at) / ageing_seconds


@define
class RequestQueue:
    """Order requests by class with ageing, then by workspace.

    Each workspace has a FIFO subqueue in each class.
    """

    ageing_seconds: float
    _queued_by_id: dict[str, QueuedRequest] = field(factory=dict)
    _subqueues: dict[RequestClass, dict[str, deque[QueuedRequest]]] = field(
        factory=dict
    )

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._queued_by_id

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._queued_by_id.values()))

    def push(self, request: SlotRequest, now: float) -> None:
        """Append a request to its workspace's subqueue."""
        queued = QueuedRequest(request, now)
        self._queued_by_id[request.request_id] = queued
        subqueues = self._subqueues.setdefault(request.request_class, {})
        subqueues.setdefault(request.workspace, deque()).append(queued)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request, or return None if it isn't queued."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return None
        subqueues = self._subqueues[queued.request.request_class]
        subqueue = subqueues[queued.request.workspace]
        subqueue.remove(queued)
        if not subqueue:
            del subqueues[queued.request.workspace]
        return queued

    def heads_in_order(
        self, in_use_by_workspace: Mapping[str, int], now: float
    ) -> list[QueuedRequest]:
        """Return the head of each subqueue in the order of service.

        Classes are ordered by the rank of their oldest request. Within a
        class, the workspace with the fewest slots in use goes first,
        regardless of how long the others have waited.
        """
        heads: list[QueuedRequest] = []
        for request_class in self._classes_by_age(now):
            subqueues = self._subqueues[request_class]
            heads.extend(
                sorted(
                    (subqueue[0] for subqueue in subqueues.values()),
                    key=lambda queued: (
                        in_use_by_workspace.get(queued.request.workspace, 0),
                        queued.queued_at,
                    ),
                )
            )
        return heads

    def _classes_by_age(self, now: float) -> list[RequestClass]:
        ranks = {
            request_class: min(
                subqueue[0].rank(self.ageing_seconds, now)
                for subqueue in subqueues.values()
            )
            for request_class, subqueues in self._subqueues.items()
            if subqueues
        }
        return sorted(ranks, key=ranks.__getitem__)

    def ahead_of(self, request: SlotRequest) -> int:
        """Return the number of queued requests that are at least as urgent."""
        urgency = URGENCY_BY_CLASS[request.request_class]
        return sum(
            len(subqueue)
            for request_class, subqueues in self._subqueues.items()
            if URGENCY_BY_CLASS[request_class] <= urgency
            for subqueue in subqueues.values()
        )

    def has_subqueue(self, request: SlotRequest) -> bool:
        """Return whether the request's subqueue is not empty."""
        return self.subqueue_length(request) > 0

    def least_urgent(self) -> QueuedRequest | None:
        """Return the request to shed first, or None if the queue is empty.

        It is the last one in the longest subqueue of the least urgent class
        that has queued requests.
        """
        for request_class in reversed(RequestClass):
            subqueues = self._subqueues.get(request_class)
            if subqueues:
                return max(subqueues.values(), key=len)[-1]
        return None

    def subqueue_length(self, request: SlotRequest) -> int:
        """Return the length of the request's subqueue."""
        subqueues = self._subqueues.get(request.request_class, {})
        return len(subqueues.get(request.workspace, ()))
