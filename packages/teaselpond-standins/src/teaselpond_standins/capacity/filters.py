"""Implement set summaries that the daemons don't use.

``reconciliation`` compares them with the digest that the daemons use.
"""

import hashlib
import struct

from attrs import define, field

COUNTING_HASH_COUNT = 4
# A 2-byte local element number with its flag, and a 1-byte count.
COUNTING_CELL_BYTES = 2 + 1


def cell_indexes(element: int, cells: int) -> list[int]:
    """Return an element's cells, one in each equal part of the table."""
    digest = hashlib.blake2b(struct.pack(">Q", element), digest_size=32).digest()
    part_size = cells // COUNTING_HASH_COUNT
    hashes = struct.unpack(f">{COUNTING_HASH_COUNT}Q", digest)
    return [
        number * part_size + value % part_size for number, value in enumerate(hashes)
    ]


@define
class XorBuckets:
    """Keep the exclusive or of the elements in each bucket."""

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
    """Keep the first element of each cell and the number of its elements.

    After "Efficient Multiset Synchronization" by Luo, Guo, Wu, Rottenstreich,
    He, Qin and Luo, for sets in which each element occurs once.
    """

    cells: int
    elements: dict[int, int] = field(factory=dict)
    counts: dict[int, int] = field(factory=dict)

    def add(self, element: int) -> None:
        """Add an element to its cells; a cell keeps its first element."""
        for cell in cell_indexes(element, self.cells):
            self.elements.setdefault(cell, element)
            self.counts[cell] = self.counts.get(cell, 0) + 1

    def elements_missing_in(self, other: "CountingFilter") -> set[int]:
        """Return the elements of cells that are empty in the other filter."""
        return {
            element
            for cell, element in self.elements.items()
            if cell not in other.counts
        }
