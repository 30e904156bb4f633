"""Summarize sets of facts in digests that show where two sets differ.

A digest has invertible Bloom filters of several sizes, updated whenever a
fact changes. The difference of two filters can be decoded when it is small
enough for their size.
"""

import hashlib
import struct
from array import array

from attrs import define, field, frozen

FINGERPRINT_BYTES = 8
HASH_COUNT = 3
CELL_COUNTS = (48, 480)
_CELL = struct.Struct(">QIi")
_MASK = (1 << 64) - 1
_CHECKSUM_FACTOR = 0x9E3779B97F4A7C15


def fingerprint(name: str, rank: tuple[int, int, bytes]) -> int:
    """Return a 64-bit hash of one version of one fact."""
    epoch, number, content = rank
    hasher = hashlib.blake2b(
        struct.pack(">QQ", epoch, number), digest_size=FINGERPRINT_BYTES
    )
    hasher.update(name.encode())
    hasher.update(b"\0")
    hasher.update(content)
    return int.from_bytes(hasher.digest())


def name_fingerprint(name: str) -> int:
    """Return a 64-bit hash of a fact's name."""
    content = hashlib.blake2b(name.encode(), digest_size=FINGERPRINT_BYTES)
    return int.from_bytes(content.digest())


def pack_fingerprints(fingerprints: list[int]) -> bytes:
    """Encode fingerprints as consecutive 64-bit integers."""
    return struct.pack(f">{len(fingerprints)}Q", *fingerprints)


def unpack_fingerprints(content: bytes) -> list[int]:
    """Decode what ``pack_fingerprints`` returned; ignore a truncated end."""
    count = len(content) // FINGERPRINT_BYTES
    return list(struct.unpack_from(f">{count}Q", content))


@frozen
class Difference:
    """Hold the fingerprints that only one of two sets contains."""

    only_local: frozenset[int]
    only_remote: frozenset[int]


def _checksum_of(value: int) -> int:
    # Not linear under XOR: the XOR of several fingerprints in one cell does
    # not match the XOR of their checksums.
    return (value * _CHECKSUM_FACTOR & _MASK) >> 32


@define
class InvertibleFilter:
    """Hold a set of fingerprints as an invertible Bloom filter.

    Fingerprints are uniformly distributed, so their own bits choose the
    cells, one in each third of the table.
    """

    cell_count: int
    _values: array = field(init=False)
    _checksums: array = field(init=False)
    _counts: array = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._values = array("Q", bytes(8 * self.cell_count))
        self._checksums = array("L", [0] * self.cell_count)
        self._counts = array("l", [0] * self.cell_count)

    def add(self, value: int, delta: int = 1) -> None:
        """Add a fingerprint, or remove it with a ``delta`` of -1."""
        checksum = _checksum_of(value)
        for cell in self._cell_indexes_of(value):
            self._values[cell] ^= value
            self._checksums[cell] ^= checksum
            self._counts[cell] += delta

    def pack(self) -> bytes:
        """Encode the cells as bytes."""
        rows = zip(self._values, self._checksums, self._counts, strict=True)
        return b"".join(_CELL.pack(*row) for row in rows)

    def difference(self, packed: bytes) -> Difference | None:
        """Decode the difference from a packed filter of the same size.

        Return None when the difference is too large for this size, or when
        the packed filter is invalid.
        """
        remainder = self._subtract(packed)
        if remainder is None:
            return None
        found: dict[int, set[int]] = {1: set(), -1: set()}
        queue = list(range(self.cell_count))
        while queue:
            cell = queue.pop()
            value, count = remainder._values[cell], remainder._counts[cell]
            if count not in found or remainder._checksums[cell] != _checksum_of(value):
                continue
            if value in found[count]:
                # No set produces such cells: the peer sent invalid bytes.
                return None
            found[count].add(value)
            remainder.add(value, -count)
            queue += remainder._cell_indexes_of(value)
        if any(remainder._counts) or any(remainder._values):
            return None
        return Difference(frozenset(found[1]), frozenset(found[-1]))

    def _subtract(self, packed: bytes) -> "InvertibleFilter | None":
        if len(packed) != self.cell_count * _CELL.size:
            return None
        remainder = InvertibleFilter(self.cell_count)
        for cell, (value, checksum, count) in enumerate(_CELL.iter_unpack(packed)):
            remainder._values[cell] = self._values[cell] ^ value
            remainder._checksums[cell] = self._checksums[cell] ^ checksum
            remainder._counts[cell] = self._counts[cell] - count
        return remainder

    def _cell_indexes_of(self, value: int) -> tuple[int, int, int]:
        part = self.cell_count // HASH_COUNT
        return (
            (value & 0x1FFFFF) % part,
            part + ((value >> 21) & 0x1FFFFF) % part,
            2 * part + ((value >> 42) & 0x1FFFFF) % part,
        )


@define
class FactDigest:
    """Maintain filters of every size and a checksum of the whole set."""

    filters: tuple[InvertibleFilter, ...] = field(
        factory=lambda: tuple(map(InvertibleFilter, CELL_COUNTS))
    )
    _sum: int = 0
    _count: int = 0

    def add(self, value: int, delta: int = 1) -> None:
        """Add a fingerprint, or remove it with a ``delta`` of -1."""
        self._sum = (self._sum + delta * value) & _MASK
        self._count += delta
        for each in self.filters:
            each.add(value, delta)

    def root(self) -> bytes:
        """Return a 16-byte checksum of the set; equal sets have equal ones."""
        return struct.pack(">QQ", self._sum, self._count)
