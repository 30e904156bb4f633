"""Implement the set summaries that the daemons do not use.

They are here to be compared with the one that the daemons do use.
"""

import hashlib
import struct

from attrs import define, field

COUNTING_HASH_COUNT = 4
# Local number with its mark, and count.
COUNTING_CELL_BYTES = 2 + 1


def positions(element: int, cells: int) -> list[int]:
    """Return distinct cells, one in each part of the table."""
    digest = hashlib.blake2b(struct.pack(">Q", element), digest_size=32).digest()
    part = cells // COUNTING_HASH_COUNT
    words = struct.unpack(f">{COUNTING_HASH_COUNT}Q", digest)
    return [number * part + word % part for number, word in enumerate(words)]


@define
class Buckets:
    """Hold the exclusive or of the elements in each bucket."""

    count: int
    sums: list[int] = field(init=False)
    elements_by_bucket: dict[int, set[int]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.sums = [0] * self.count

    def add(self, element: int) -> None:
        """Add an element to its bucket."""
        bucket = element % self.count
        self.sums[bucket] ^= element
        self.elements_by_bucket.setdefault(bucket, set()).add(element)


@define
class CountingFilter:
    """Hold the first element of each cell and how many were put there.

    After "Efficient Multiset Synchronization" by Luo, Guo, Wu, Rottenstreich,
    He, Qin and Luo, for sets in which each element occurs once.
    """

    cells: int
    elements: dict[int, int] = field(factory=dict)
    counts: dict[int, int] = field(factory=dict)

    def add(self, element: int) -> None:
        """Add an element; the first one of a cell keeps its place."""
        for cell in positions(element, self.cells):
            self.elements.setdefault(cell, element)
            self.counts[cell] = self.counts.get(cell, 0) + 1

    def only_here(self, other: "CountingFilter") -> set[int]:
        """Return the elements that fill a cell which the other has empty."""
        return {
            element
            for cell, element in self.elements.items()
            if cell not in other.counts
        }
