"""Summarise a set of facts so that two daemons find where they differ.

Invertible Bloom filters, kept up to date as facts change, in a few sizes:
the difference of two can be read when it is small enough for their size.
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
_CHECK_FACTOR = 0x9E3779B97F4A7C15


def fingerprint(name: str, rank: tuple[int, int, bytes]) -> int:
    """Return 64 bits that stand for one version of one fact."""
    epoch, number, content = rank
    hasher = hashlib.blake2b(
        struct.pack(">QQ", epoch, number), digest_size=FINGERPRINT_BYTES
    )
    hasher.update(name.encode())
    hasher.update(b"\0")
    hasher.update(content)
    return int.from_bytes(hasher.digest())


def name_fingerprint(name: str) -> int:
    """Return 64 bits that stand for a fact's name."""
    content = hashlib.blake2b(name.encode(), digest_size=FINGERPRINT_BYTES)
    return int.from_bytes(content.digest())


def pack_fingerprints(fingerprints: list[int]) -> bytes:
    """Write fingerprints one after the other."""
    return struct.pack(f">{len(fingerprints)}Q", *fingerprints)


def unpack_fingerprints(content: bytes) -> list[int]:
    """Read what ``pack_fingerprints`` wrote; a cut last one is dropped."""
    count = len(content) // FINGERPRINT_BYTES
    return list(struct.unpack_from(f">{count}Q", content))


@frozen
class Difference:
    """Hold the fingerprints that only one of two sets has."""

    only_local: frozenset[int]
    only_remote: frozenset[int]


def _check_of(value: int) -> int:
    # Not linear under exclusive or, so that a mixture does not pass.
    return (value * _CHECK_FACTOR & _MASK) >> 32


@define
class InvertibleFilter:
    """Hold a set of fingerprints in cells that can be read back.

    Fingerprints are uniform, so that their own bits choose the cells, one
    in each third of the table.
    """

    cell_count: int
    _values: array = field(init=False)
    _checks: array = field(init=False)
    _counts: array = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._values = array("Q", bytes(8 * self.cell_count))
        self._checks = array("L", [0] * self.cell_count)
        self._counts = array("l", [0] * self.cell_count)

    def add(self, value: int, times: int = 1) -> None:
        """Add a fingerprint, or take it out by a ``times`` of -1."""
        check = _check_of(value)
        for cell in self._cells_of(value):
            self._values[cell] ^= value
            self._checks[cell] ^= check
            self._counts[cell] += times

    def pack(self) -> bytes:
        """Return the cells, one after the other."""
        rows = zip(self._values, self._checks, self._counts, strict=True)
        return b"".join(_CELL.pack(*row) for row in rows)

    def difference(self, packed: bytes) -> Difference | None:
        """Read the difference from another filter of the same size.

        Return None when it is too large for this size, or not readable.
        """
        rest = self._minus(packed)
        if rest is None:
            return None
        found: dict[int, set[int]] = {1: set(), -1: set()}
        queue = list(range(self.cell_count))
        while queue:
            cell = queue.pop()
            value, count = rest._values[cell], rest._counts[cell]
            if count not in found or rest._checks[cell] != _check_of(value):
                continue
            if value in found[count]:
                # Cells that no set can give: bytes from a broken peer.
                return None
            found[count].add(value)
            rest.add(value, -count)
            queue += rest._cells_of(value)
        if any(rest._counts) or any(rest._values):
            return None
        return Difference(frozenset(found[1]), frozenset(found[-1]))

    def _minus(self, packed: bytes) -> "InvertibleFilter | None":
        if len(packed) != self.cell_count * _CELL.size:
            return None
        rest = InvertibleFilter(self.cell_count)
        for cell, (value, check, count) in enumerate(_CELL.iter_unpack(packed)):
            rest._values[cell] = self._values[cell] ^ value
            rest._checks[cell] = self._checks[cell] ^ check
            rest._counts[cell] = self._counts[cell] - count
        return rest

    def _cells_of(self, value: int) -> tuple[int, int, int]:
        part = self.cell_count // HASH_COUNT
        return (
            (value & 0x1FFFFF) % part,
            part + ((value >> 21) & 0x1FFFFF) % part,
            2 * part + ((value >> 42) & 0x1FFFFF) % part,
        )


@define
class FactDigest:
    """Keep the filters of every size, and a root over the whole set."""

    filters: tuple[InvertibleFilter, ...] = field(
        factory=lambda: tuple(map(InvertibleFilter, CELL_COUNTS))
    )
    _sum: int = 0
    _count: int = 0

    def add(self, value: int, times: int = 1) -> None:
        """Add a fingerprint, or take it out by a ``times`` of -1."""
        self._sum = (self._sum + times * value) & _MASK
        self._count += times
        for each in self.filters:
            each.add(value, times)

    def root(self) -> bytes:
        """Return 16 bytes that are equal when the sets are."""
        return struct.pack(">QQ", self._sum, self._count)
