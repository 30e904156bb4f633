"""Describe the platform's transactional table service."""

from typing import Any, Protocol

from attrs import frozen

ABSENT_VERSION = 0


@frozen
class TableEntry:
    """Hold one key's value and the table version that wrote it.

    A value of None marks a deleted key.
    """

    key: str
    value: Any
    version: int


@frozen
class Check:
    """Demand that a key still stands at a version (0: the key is absent)."""

    key: str
    version: int


@frozen
class Put:
    """Write a JSON value at a key."""

    key: str
    value: Any


@frozen
class Delete:
    """Remove a key, leaving a tombstone that scans still show."""

    key: str


@frozen
class ScanPage:
    """Hold the entries of a scan and the table version it was taken at."""

    entries: tuple[TableEntry, ...]
    version: int


class TableService(Protocol):
    """Keep keys under transactions; versions grow by one a transaction."""

    async def get(self, key: str) -> TableEntry | None:
        """Return the live entry at a key; raise StoreUnavailable."""

    async def scan(self, prefix: str, after_version: int = 0) -> ScanPage:
        """Return the entries under a prefix that changed after a version.

        Tombstones are among them. Raise StoreUnavailable.
        """

    async def transact(
        self, checks: tuple[Check, ...], writes: tuple[Put | Delete, ...]
    ) -> int:
        """Apply all writes if all checks hold, and return the new version.

        Raise TransactionConflict, StoreUnavailable (nothing was written) or
        StoreOutcomeUnknown (it may have been).
        """
