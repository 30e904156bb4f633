"""Translate the call that resolves the gateway's addresses for callers."""

import json
from collections.abc import Iterable, Mapping

from teaselpond_model.contracts import Address

RESOLVE_PATH = "/v1/resolve"
READY_PATH = "/v1/readyz"


def decode_caller_zone(query: Mapping[str, str]) -> str:
    """Return the caller's availability zone, empty if it names none."""
    return query.get("Zone", "")


def encode_addresses(addresses: Iterable[Address], lifetime_seconds: float) -> bytes:
    """Encode the addresses that a caller may connect to, and their TTL."""
    texts = [str(address) for address in addresses]
    return json.dumps({"Addresses": texts, "TtlS": lifetime_seconds}).encode()
