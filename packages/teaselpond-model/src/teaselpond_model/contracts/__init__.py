"""Define the interfaces of the external systems that teaselpond calls."""

from .engines import (
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
    EngineOrder,
    LoadReport,
    OrderKind,
)
from .hosts import Address, Host, HostDirectory, HostKind, HostState
from .objects import ObjectStore
from .table import (
    ABSENT_VERSION,
    Check,
    Delete,
    Put,
    ScanPage,
    TableEntry,
    TableService,
)
from .weights import WeightGrant, WeightStore

__all__ = [
    "ABSENT_VERSION",
    "Address",
    "CacheEvent",
    "CacheEventKind",
    "CacheEventPage",
    "Check",
    "Delete",
    "EngineOrder",
    "Host",
    "HostDirectory",
    "HostKind",
    "HostState",
    "LoadReport",
    "ObjectStore",
    "OrderKind",
    "Put",
    "ScanPage",
    "TableEntry",
    "TableService",
    "WeightGrant",
    "WeightStore",
]
