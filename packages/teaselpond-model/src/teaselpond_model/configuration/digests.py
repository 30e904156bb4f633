"""Compute digests of sections.

A section's digest is the sum of its entries' digests, so changing one entry
doesn't require hashing the others.
"""

import hashlib
import json
from typing import Any

DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


def canonical_json(value: Any) -> str:
    """Return a JSON text that is the same for equal values."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def entry_digest(section: str, item_id: str, value: Any) -> int:
    """Return the digest of one entry as an integer."""
    text = canonical_json([section, item_id, value])
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def add_entry_digest(section_digest: int, digest: int) -> int:
    """Return a section's digest with an entry's digest added."""
    return (section_digest + digest) % DIGEST_MODULUS


def remove_entry_digest(section_digest: int, digest: int) -> int:
    """Return a section's digest with an entry's digest removed."""
    return (section_digest - digest) % DIGEST_MODULUS
