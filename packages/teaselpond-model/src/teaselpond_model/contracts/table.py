"""Describe the platform's transactional table service."""

from typing import Any, Protocol

from attrs import frozen

# The version at which a check expects the key to be absent.
ABSENT_VERSION = 0


@frozen
class TableEntry:
    """Hold a key's value and the table version that wrote it.

    A value of None marks a deleted key.
    """

    key: str
    value: Any
    version: int


@frozen
class Check:
    """Require that a key has a version (0: the key is absent)."""

    key: str
    version: int


@frozen
class Put:
    """Write a JSON value at a key."""

    key: str
    value: Any


@frozen
class Delete:
    """Delete a key, leaving a tombstone that scans return."""

    key: str


@frozen
class ScanPage:
    """Hold the entries of a scan and the table version of its snapshot."""

    entries: tuple[TableEntry, ...]
    version: int


class TableService(Protocol):
    """Store keys with transactions; each increments the table's version."""

    async def get(self, key: str) -> TableEntry | None:
        """Return a key's entry, or None if absent; raise StoreUnavailable."""

    async def scan(self, prefix: str, after_version: int = 0) -> ScanPage:
        """Return the entries under a prefix that changed after a version.

        Tombstones are included. Raise StoreUnavailable.
        """

    async def transact(
        self, checks: tuple[Check, ...], writes: tuple[Put | Delete, ...]
    ) -> int:
        """Apply all writes if all checks pass, and return the new version.

        Raise TransactionConflict, StoreUnavailable (nothing was written) or
        StoreOutcomeUnknown (it may have been).
        """
