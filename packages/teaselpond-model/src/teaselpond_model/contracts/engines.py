"""Describe what a model engine reports and is told."""

import enum

from attrs import frozen


@frozen
class LoadReport:
    """Hold an engine's own, lagging view of its load.

    ``incarnation`` changes at each start of the engine; ``sequence`` grows
    with each report of one incarnation. ``age`` is in seconds.
    """

    incarnation: str
    sequence: int
    running: int
    waiting: int
    cached_tokens: int
    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    fence: int = 0
    age: float = 0.0


class CacheEventKind(enum.Enum):
    """Name what happened to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@frozen
class CacheEvent:
    """Tell that an engine stored or dropped a prefix.

    ``prefix`` is the prefix's chain hash in hexadecimal and ``tokens`` its
    whole length.
    """

    sequence: int
    kind: CacheEventKind
    prefix: str = ""
    tokens: int = 0


@frozen
class CacheEventPage:
    """Hold the cache events after a sequence number, perhaps with gaps."""

    incarnation: str
    events: tuple[CacheEvent, ...]
    last_sequence: int


class OrderKind(enum.Enum):
    """Name what an engine can be told to do."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"


@frozen
class EngineOrder:
    """Tell an engine to change, under the lease holder's fencing number."""

    kind: OrderKind
    fence: int
    model: str = ""
    model_version: str = ""
    adapter: str = ""
    role: str = ""
