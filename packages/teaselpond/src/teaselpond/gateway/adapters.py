"""Say what the gateway needs from the platform it runs on."""

from collections.abc import Mapping
from typing import Protocol

import aiohttp

from teaselpond_model.contracts import Address

from .changes import Change
from .codec import CacheCodec, DirectoryCodec, HeaderCodec
from .following import StoreReader
from .rows import Row
from .settings import GatewaySettings
from .tables import Table


class Store(StoreReader, Protocol):
    """Read, follow and write tables of the store."""

    async def put(self, table: Table, key: str, value: bytes) -> None:
        """Write one row; raise StoreUnavailable."""

    async def remove(self, table: Table, key: str) -> None:
        """Remove one row; raise StoreUnavailable."""


class Adapter(Protocol):
    """Speak the platform's language."""

    headers: HeaderCodec
    directory: DirectoryCodec
    caches: CacheCodec

    def load_settings(self, environment: Mapping[str, str]) -> GatewaySettings:
        """Read the settings file; raise ImproperlyConfigured."""

    def settings_modified_at(self, environment: Mapping[str, str]) -> float:
        """Return what changes with the settings file."""

    def decode_change(self, table: Table, row: Row) -> Change:
        """Return what a row of the store says."""

    def open_store(
        self, session: aiohttp.ClientSession, address: Address, timeout_seconds: float
    ) -> Store:
        """Return a client of the store."""
