"""Describe the reports and the orders of a model engine."""

import enum

from attrs import frozen


@frozen
class LoadReport:
    """Hold the load that an engine reports about itself, which may be stale.

    ``incarnation`` changes at each start of the engine; ``sequence`` grows
    with each report of one incarnation. ``age`` is in seconds. ``fence`` is
    the highest fencing number that the engine has accepted.
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
    """Define what can happen to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@frozen
class CacheEvent:
    """Report that an engine stored or evicted a prefix, or cleared its cache.

    ``prefix`` is the prefix's chain hash in hexadecimal and ``tokens`` its
    length from the start of the prompt.
    """

    sequence: int
    kind: CacheEventKind
    prefix: str = ""
    tokens: int = 0


@frozen
class CacheEventPage:
    """Hold the cache events after a sequence number; some may be missing."""

    incarnation: str
    events: tuple[CacheEvent, ...]
    last_sequence: int


class OrderKind(enum.Enum):
    """Define what an engine can be ordered to do."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"


@frozen
class EngineOrder:
    """Order an engine to change, with the lease holder's fencing number."""

    kind: OrderKind
    fence: int
    model: str = ""
    model_version: str = ""
    adapter: str = ""
    role: str = ""
