"""Translate the call by which callers ask where to connect."""

import json
from collections.abc import Iterable, Mapping

from teaselpond_model.contracts import Address

RESOLVE_PATH = "/v1/resolve"
READY_PATH = "/v1/readyz"


def decode_caller_zone(query: Mapping[str, str]) -> str:
    """Return the availability zone that a caller asks from."""
    return query.get("Zone", "")


def encode_addresses(addresses: Iterable[Address], lifetime_seconds: float) -> bytes:
    """Return the body that names the hosts to connect to."""
    names = [str(address) for address in addresses]
    return json.dumps({"Addresses": names, "TtlS": lifetime_seconds}).encode()
