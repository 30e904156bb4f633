"""Describe upstreams as listed in the store.

The names of the gateway call every upstream an engine, whether or not it runs
a model.
"""

import enum
import functools
import zlib

from attrs import frozen

from teaselpond_model.contracts import Address


class EngineState(enum.Enum):
    """Define whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Engine:
    """Describe an upstream by its entry in the store.

    ``cold_seconds`` is how much longer it can take only little load, as of
    the writing of its entry. ``born_ms`` is the Unix time of its start in
    milliseconds, 0 if unknown. ``version`` is that of its software, empty if
    unknown.
    """

    engine_id: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    state: EngineState
    cold_seconds: float
    born_ms: int
    version: str = ""


@functools.lru_cache(maxsize=8192)
def engine_key(engine_id: str) -> int:
    """Return a number of 32 bits that identifies an upstream to peers."""
    return zlib.crc32(engine_id.encode())
