"""Provide the platform's formats and calls to the gateway as one object."""

from collections.abc import Mapping

import aiohttp

from teaselpond_model.contracts import Address

from ..gateway.changes import Change
from ..gateway.rows import Row
from ..gateway.settings import GatewaySettings
from ..gateway.tables import Table
from . import caches, directory, entries, headers, rollouts, settings, store


class PlatformAdapter:
    """Implement ``Adapter`` for the platform."""

    headers = headers
    directory = directory
    caches = caches
    rollouts = rollouts

    def load_settings(self, environment: Mapping[str, str]) -> GatewaySettings:
        """Read the settings file; raise ImproperlyConfigured."""
        return settings.load_settings(environment)

    def settings_modified_at(self, environment: Mapping[str, str]) -> float:
        """Return when the settings file was last modified."""
        return settings.settings_modified_at(environment)

    def decode_change(self, table: Table, row: Row) -> Change:
        """Decode a row of the store."""
        return entries.decode_change(table, row)

    def open_store(
        self, session: aiohttp.ClientSession, address: Address, timeout_seconds: float
    ) -> store.RowStore:
        """Return a client of the store at an address."""
        return store.open_store(session, address, timeout_seconds)
