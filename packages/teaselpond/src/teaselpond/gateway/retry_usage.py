"""Describe the retries that a host's process sent in the last window.

Hosts tell their peers, so that a process which starts again can learn what
its previous process has used of the fleet's budgets, and so that the others
know of a host that is gone.
"""

import struct
import zlib
from collections.abc import Iterator

from attrs import frozen

# A window is told in this many slots of equal length.
SLOTS = 5
# The key of a service, then the requests and the retries of each slot.
USAGE = struct.Struct(f"<I{2 * SLOTS}H")
MAX_COUNT = 0xFFFF


@frozen
class RetryUsage:
    """Hold a process's requests and retries of one service by slot.

    Slots are counted back from ``as_of``, a time of the boot clock.
    """

    as_of: float
    slot_seconds: float
    requests: tuple[int, ...]
    retries: tuple[int, ...]

    @classmethod
    def unused(cls, as_of: float, window_seconds: float) -> "RetryUsage":
        """Return the usage of a process without requests."""
        empty = (0,) * SLOTS
        return cls(as_of, window_seconds / SLOTS, empty, empty)

    def request_count(self, now: float) -> int:
        """Return how many requests count in the window that ends now."""
        return sum(self.requests[: self._slots_left(now)])

    def retry_count(self, now: float) -> int:
        """Return how many retries count in the window that ends now."""
        return sum(self.retries[: self._slots_left(now)])

    def _slots_left(self, now: float) -> int:
        # A slot counts until its newest entries are as old as the window.
        passed = max(0, int((now - self.as_of) / self.slot_seconds))
        return max(0, SLOTS - passed)

    def slots_at(self, now: float) -> tuple[list[int], list[int]]:
        """Return the requests and retries by slot, counted back from now."""
        left = self._slots_left(now)
        empty = [0] * (SLOTS - left)
        return empty + list(self.requests[:left]), empty + list(self.retries[:left])

    def with_retries(self, retries: int, at: float) -> "RetryUsage":
        """Return this usage with more retries at a later time."""
        requests, (newest, *older) = self.slots_at(at)
        return RetryUsage(
            at, self.slot_seconds, tuple(requests), (newest + retries, *older)
        )


@frozen
class FormerUsage:
    """Answer a process that asks for the usage of its host's previous one.

    ``incarnation`` is that of the process that asks. ``age_seconds`` is how
    long ago the previous process was heard, None if there was none.
    """

    incarnation: int
    age_seconds: float | None
    usages: bytes


def service_key(service: str) -> int:
    """Return a number of 32 bits that identifies a service to peers."""
    return zlib.crc32(service.encode())


def pack_usage(key: int, requests: list[int], retries: list[int]) -> bytes:
    """Encode the requests and retries of one service."""
    return USAGE.pack(key, *(min(MAX_COUNT, count) for count in requests + retries))


def unpack_usages(
    packed: bytes, as_of: float, window_seconds: float
) -> Iterator[tuple[int, RetryUsage]]:
    """Decode a process's usage by the key of the service."""
    for key, *counts in USAGE.iter_unpack(packed):
        requests, retries = tuple(counts[:SLOTS]), tuple(counts[SLOTS:])
        yield key, RetryUsage(as_of, window_seconds / SLOTS, requests, retries)
