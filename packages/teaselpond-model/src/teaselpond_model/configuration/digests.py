"""Digest sections so that one change costs one hash."""

import hashlib
import json
from typing import Any

DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


def canonical_json(value: Any) -> str:
    """Return the one JSON text of equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def entry_digest(section: str, item_id: str, value: Any) -> int:
    """Return the digest of one entry as a number."""
    text = canonical_json([section, item_id, value])
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def add_entry_digest(total: int, digest: int) -> int:
    """Add an entry to a section's digest."""
    return (total + digest) % DIGEST_MODULUS


def remove_entry_digest(total: int, digest: int) -> int:
    """Take an entry out of a section's digest."""
    return (total - digest) % DIGEST_MODULUS
