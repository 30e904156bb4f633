"""Provide the client of the platform's transactional table service."""

from attrs import field, frozen

from ..contracts import Check, Delete, Put, ScanPage, TableEntry
from ..exceptions import TransactionConflict
from ..store_calls import PlatformConnection
from .converters import parse_answer


@frozen
class _TransactAnswer:
    version: int


@frozen
class _ConflictAnswer:
    conflicts: tuple[str, ...]


@frozen
class HttpTableService:
    """Read and write keys of the platform's table service."""

    _connection: PlatformConnection = field(alias="connection")

    async def get(self, key: str) -> TableEntry | None:
        """Return a key's entry, or None if absent; raise StoreUnavailable."""
        step = "table.get"
        answer = await self._connection.read("/table/entry", step, {"key": key})
        if answer.status == 404:
            return None
        try:
            answer.expect_status(200)
            entry = parse_answer(answer, TableEntry)
            if entry.key != key:
                raise ValueError(f"expected the entry of key {key}, got {entry.key}")
            return entry
        except ValueError as error:
            raise self._connection.unavailable(step, error) from error

    async def scan(self, prefix: str, after_version: int = 0) -> ScanPage:
        """Return the entries under a prefix that changed after a version.

        Tombstones are included. Raise StoreUnavailable.
        """
        step = "table.scan"
        params = {"prefix": prefix, "after_version": after_version}
        answer = await self._connection.read("/table/scan", step, params)
        try:
            answer.expect_status(200)
            return parse_answer(answer, ScanPage)
        except ValueError as error:
            raise self._connection.unavailable(step, error) from error

    async def transact(
        self, checks: tuple[Check, ...], writes: tuple[Put | Delete, ...]
    ) -> int:
        """Apply all writes if all checks pass, and return the new version.

        Raise TransactionConflict, StoreUnavailable (nothing was written) or
        StoreOutcomeUnknown (it may have been).
        """
        step = "table.transact"
        body = transaction_body(checks, writes)
        answer = await self._connection.write("POST", "/table/transact", step, body)
        try:
            if answer.status == 409:
                conflicts = parse_answer(answer, _ConflictAnswer).conflicts
                raise TransactionConflict(
                    conflicts, step=step, peer=self._connection.base_url
                )
            answer.expect_status(200)
            return parse_answer(answer, _TransactAnswer).version
        except ValueError as error:
            raise self._connection.outcome_unknown(step, error) from error


def transaction_body(
    checks: tuple[Check, ...], writes: tuple[Put | Delete, ...]
) -> dict[str, list]:
    """Return the JSON body of a transaction."""
    puts = [write for write in writes if isinstance(write, Put)]
    deletes = [write for write in writes if isinstance(write, Delete)]
    return {
        "checks": [{"key": check.key, "version": check.version} for check in checks],
        "puts": [{"key": put.key, "value": put.value} for put in puts],
        "deletes": [delete.key for delete in deletes],
    }
