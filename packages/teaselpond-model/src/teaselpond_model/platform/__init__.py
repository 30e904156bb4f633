"""Provide the HTTP clients of the platform."""

from ..store_calls import DEFAULT_TIMEOUT_SECONDS, PlatformConnection
from .converters import make_converter
from .hosts import HttpHostDirectory
from .objects import HttpObjectStore
from .platform import Platform
from .table import HttpTableService
from .weights import HttpWeightStore

__all__ = [
    "DEFAULT_TIMEOUT_SECONDS",
    "HttpHostDirectory",
    "HttpObjectStore",
    "HttpTableService",
    "HttpWeightStore",
    "Platform",
    "PlatformConnection",
    "make_converter",
]
