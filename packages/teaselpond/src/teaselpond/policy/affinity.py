"""Rank a model's engines for a chat by consistent hashing.

A lookup on a hash ring is a binary search, whereas rendezvous hashing computes
one hash for each engine.
"""

from array import array
from bisect import bisect
from collections.abc import Iterable, Iterator

from .hashing import hash64, hash_points
from .profiles import EngineProfile

POINTS_PER_SLOT = 4
MINIMUM_POINTS = 8


class EngineRing:
    """Place one model's engines on a consistent hash ring.

    An engine's number of points is proportional to its slots times its
    weight.
    """

    def __init__(self, engines: Iterable[EngineProfile]) -> None:
        self._engine_ids: list[str] = []
        points: list[tuple[int, int]] = []
        for engine in sorted(engines, key=lambda engine: engine.engine_id):
            index = len(self._engine_ids)
            self._engine_ids.append(engine.engine_id)
            points.extend((point, index) for point in self._points(engine))
        points.sort()
        self._points_sorted = array("Q", (point for point, _ in points))
        self._index_by_position = array("I", (index for _, index in points))

    @staticmethod
    def _points(engine: EngineProfile) -> list[int]:
        count = round(POINTS_PER_SLOT * engine.slots * engine.weight)
        return hash_points(engine.engine_id, max(MINIMUM_POINTS, count))

    def __len__(self) -> int:
        return len(self._engine_ids)

    @property
    def size_bytes(self) -> int:
        """Return the size in bytes of the ring's point arrays."""
        return self._points_sorted.itemsize * len(
            self._points_sorted
        ) + self._index_by_position.itemsize * len(self._index_by_position)

    def ranking(self, workspace: str, chat: str) -> Iterator[str]:
        """Yield each engine id once, starting with the chat's home engine."""
        total = len(self._index_by_position)
        start = bisect(self._points_sorted, hash64(workspace, chat))
        seen: set[int] = set()
        for step in range(total):
            index = self._index_by_position[(start + step) % total]
            if index in seen:
                continue
            seen.add(index)
            yield self._engine_ids[index]
            if len(seen) == len(self._engine_ids):
                return
