"""Keep a transactional table in memory."""

from bisect import bisect_right
from typing import Any

from attrs import define, field

from teaselpond_model.contracts import (
    ABSENT_VERSION,
    Check,
    Delete,
    Put,
    ScanPage,
    TableEntry,
)
from teaselpond_model.exceptions import TransactionConflict

from .faults import PlatformFault, PlatformFaultKind, PlatformFaults


@define
class MemoryTable:
    """Implement TableService in memory, with injectable faults."""

    faults: PlatformFaults = field(factory=PlatformFaults)
    _version: int = 0
    _history_by_key: dict[str, list[TableEntry]] = field(factory=dict)
    _replica_version: int = 0

    @property
    def version(self) -> int:
        """Return the version of the last transaction."""
        return self._version

    def freeze_replica(self) -> None:
        """Make reads with a STALE fault see the table as it is now."""
        self._replica_version = self._version

    async def get(self, key: str) -> TableEntry | None:
        """Return the entry at a key, or None if it is absent or deleted.

        Raise StoreUnavailable.
        """
        fault = await self.faults.before_call("table.get", key)
        entry = self._entry_at(key, self._readable_version(fault))
        await self.faults.after_call("table.get", fault)
        return entry if entry is not None and entry.value is not None else None

    async def scan(self, prefix: str, after_version: int = 0) -> ScanPage:
        """Return the entries under a prefix that changed after a version.

        Deleted entries are included, with None as their value. Raise
        StoreUnavailable.
        """
        fault = await self.faults.before_call("table.scan", prefix)
        page = self._scan_at(prefix, after_version, self._readable_version(fault))
        await self.faults.after_call("table.scan", fault)
        return page

    async def transact(
        self, checks: tuple[Check, ...], writes: tuple[Put | Delete, ...]
    ) -> int:
        """Apply all writes if all checks match, and return the new version.

        Raise TransactionConflict, StoreUnavailable (nothing was written) or
        StoreOutcomeUnknown (the writes may have been applied).
        """
        operation = "table.transact"
        keys = [check.key for check in checks] + [write.key for write in writes]
        fault = await self.faults.before_call(operation, *keys)
        conflicts = tuple(
            check.key for check in checks if not self._is_satisfied(check)
        )
        if conflicts:
            await self.faults.after_call(operation, fault)
            raise TransactionConflict(conflicts, step=operation, peer="standin")
        version = self._apply(writes)
        await self.faults.after_call(operation, fault)
        return version

    def _readable_version(self, fault: PlatformFault | None) -> int:
        if fault is not None and fault.kind is PlatformFaultKind.STALE:
            return self._replica_version
        return self._version

    def _entry_at(self, key: str, version: int) -> TableEntry | None:
        history = self._history_by_key.get(key, [])
        index = bisect_right(history, version, key=lambda entry: entry.version)
        return history[index - 1] if index else None

    def _scan_at(self, prefix: str, after_version: int, version: int) -> ScanPage:
        if after_version >= version:
            return ScanPage((), version)
        found = (
            self._entry_at(key, version)
            for key in self._history_by_key
            if key.startswith(prefix)
        )
        changed = [entry for entry in found if entry and entry.version > after_version]
        changed.sort(key=lambda entry: entry.key)
        return ScanPage(tuple(changed), version)

    def _is_satisfied(self, check: Check) -> bool:
        entry = self._entry_at(check.key, self._version)
        if entry is None or entry.value is None:
            return check.version == ABSENT_VERSION
        return check.version == entry.version

    def _apply(self, writes: tuple[Put | Delete, ...]) -> int:
        self._version += 1
        for write in writes:
            value: Any = write.value if isinstance(write, Put) else None
            entry = TableEntry(write.key, value, self._version)
            self._history_by_key.setdefault(write.key, []).append(entry)
        return self._version
