"""Summarise a set of facts so that two daemons find where they differ."""

import hashlib
import struct
from array import array

from attrs import define, field

BUCKET_COUNT = 256
FINGERPRINT_BYTES = 8


def fingerprint(name: str, rank: tuple[int, int, bytes]) -> int:
    """Return 64 bits that stand for one version of one fact."""
    epoch, number, content = rank
    head = struct.pack(">QQ", epoch, number)
    hasher = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES)
    hasher.update(name.encode())
    hasher.update(b"\0")
    hasher.update(content)
    return int.from_bytes(hasher.digest())


def name_fingerprint(name: str) -> int:
    """Return 64 bits that stand for a fact's name."""
    content = hashlib.blake2b(name.encode(), digest_size=FINGERPRINT_BYTES)
    return int.from_bytes(content.digest())


def bucket_of(name: str) -> int:
    """Return the bucket in which a name is summarised."""
    return name_fingerprint(name) % BUCKET_COUNT


def pack_fingerprints(fingerprints: list[int]) -> bytes:
    """Write fingerprints one after the other."""
    return struct.pack(f">{len(fingerprints)}Q", *fingerprints)


def unpack_fingerprints(content: bytes) -> list[int]:
    """Read what ``pack_fingerprints`` wrote; a cut last one is dropped."""
    count = len(content) // FINGERPRINT_BYTES
    return list(struct.unpack_from(f">{count}Q", content))


@define
class BucketDigest:
    """Hold the exclusive or of the fingerprints in each bucket."""

    _buckets: array = field(factory=lambda: array("Q", bytes(8 * BUCKET_COUNT)))

    def toggle(self, name: str, value: int) -> None:
        """Add a fingerprint, or take it out again."""
        self._buckets[bucket_of(name)] ^= value

    def root(self) -> bytes:
        """Return a digest of all buckets."""
        return hashlib.blake2b(self.pack(), digest_size=FINGERPRINT_BYTES).digest()

    def pack(self) -> bytes:
        """Return the buckets, one after the other."""
        return pack_fingerprints(list(self._buckets))

    def differing(self, packed: bytes) -> frozenset[int]:
        """Return the buckets in which another digest differs."""
        others = unpack_fingerprints(packed)
        return frozenset(
            number
            for number, (own, other) in enumerate(
                zip(self._buckets, others, strict=False)
            )
            if own != other
        )
