"""Hash strings to integers, with the same result in every process."""

import hashlib
import struct

HASH_BITS = 64
POINTS_PER_DIGEST = 8
SEPARATOR = "\x1f"


def hash64(*parts: str) -> int:
    """Return a 64-bit hash of a sequence of strings."""
    data = SEPARATOR.join(parts).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def hash_points(name: str, count: int) -> list[int]:
    """Return ``count`` 64-bit hash ring points derived from a name."""
    points: list[int] = []
    block = 0
    while len(points) < count:
        digest = hashlib.blake2b(f"{name}{SEPARATOR}{block}".encode()).digest()
        points.extend(struct.unpack(f">{POINTS_PER_DIGEST}Q", digest))
        block += 1
    return points[:count]
