"""Describe the upstreams that are listed in the store."""

import enum

from attrs import frozen

from teaselpond_model.contracts import Address


class EngineState(enum.Enum):
    """Tell whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Engine:
    """Hold what an upstream says of itself.

    ``cold_seconds`` is how much longer it bears little load, as of its entry.
    ``born_ms`` is the Unix time of its start and 0 where it is not told.
    """

    engine_id: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    state: EngineState
    cold_seconds: float
    born_ms: int
