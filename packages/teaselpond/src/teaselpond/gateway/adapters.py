"""Define the interface between the gateway and its platform."""

from collections.abc import Mapping
from typing import Protocol

import aiohttp

from teaselpond_model.contracts import Address

from .changes import Change
from .codec import CacheCodec, DirectoryCodec, HeaderCodec
from .following import StoreReader
from .rollouts.status_keeper import StatusCodec
from .rows import Page, Row
from .settings import GatewaySettings
from .tables import Table


class Store(StoreReader, Protocol):
    """Read, watch and write the tables of the platform's store."""

    async def put(self, table: Table, key: str, value: bytes) -> None:
        """Write one row; raise StoreUnavailable if the store fails."""

    async def put_if(
        self, table: Table, key: str, value: bytes, expected_version: int
    ) -> Page | None:
        """Write one row that has a version; return the rows if it differs."""

    async def remove(self, table: Table, key: str) -> None:
        """Remove one row; raise StoreUnavailable if the store fails."""


class Adapter(Protocol):
    """Translate between the gateway and one platform's formats."""

    headers: HeaderCodec
    directory: DirectoryCodec
    caches: CacheCodec
    rollouts: StatusCodec

    def load_settings(self, environment: Mapping[str, str]) -> GatewaySettings:
        """Read the settings file; raise ImproperlyConfigured."""

    def settings_modified_at(self, environment: Mapping[str, str]) -> float:
        """Return a value that changes whenever the settings file does."""

    def decode_change(self, table: Table, row: Row) -> Change:
        """Decode a row of a table into the change it makes."""

    def open_store(
        self, session: aiohttp.ClientSession, address: Address, timeout_seconds: float
    ) -> Store:
        """Return a client of the store."""
