"""Load, commit and roll back configuration in the table service."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from functools import singledispatchmethod
from typing import Any

from attrs import frozen

from ..contracts import Check, Delete, Put, TableService
from ..exceptions import (
    StoreOutcomeUnknown,
    StoreUnavailable,
    TransactionConflict,
)
from .checks import check_document
from .dangers import CapacityInUse, check_change
from .entries import CONFIGURATION_PREFIX, HEAD_KEY, Change, EntryKey, apply_values
from .exceptions import CommitUnsettled, HistoryLost
from .history import HISTORY_VERSIONS, HistoryRecord, history_key, undo
from .proposals import (
    ConflictScope,
    DocumentProposal,
    Edit,
    Proposal,
    RollbackProposal,
    StateProposal,
    document_edit,
    values_with_state,
)
from .replica import Replica, next_head

COMMIT_ATTEMPTS = 20
BACKOFF_SECONDS = 0.05
BACKOFF_LIMIT_SECONDS = 2.0
HISTORY_READ_CONCURRENCY = 32

Sleep = Callable[[float], Awaitable[None]]


@frozen
class Author:
    """Name who changes the configuration and why."""

    who: str
    note: str = ""


@frozen
class Commit:
    """Hold an edit to commit and its author.

    ``apply_id`` identifies the commit in the history. ``now`` is a Unix time
    in seconds. ``force`` accepts dangerous changes.
    """

    edit: Edit
    author: Author
    apply_id: str
    now: float
    in_use: CapacityInUse = CapacityInUse()
    force: bool = False


@frozen
class CommitResult:
    """Hold the version that includes an edit and the changes it made.

    ``changes`` is empty when the edit changed nothing.
    """

    version: int
    changes: tuple[Change, ...]


class ConfigurationStore:
    """Read and change the configuration stored in the table service."""

    def __init__(
        self,
        table: TableService,
        *,
        sleep: Sleep = asyncio.sleep,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self.table = table
        self.sleep = sleep
        self.jitter = jitter

    async def load(self, known: Replica | None = None) -> Replica:
        """Return the accepted version; raise StoreUnavailable.

        Only entries newer than the known replica are read.
        """
        known = known or Replica()
        page = await self.table.scan(CONFIGURATION_PREFIX, known.table_version)
        return known.with_entries(page.entries)

    async def history(self, after: int, up_to: int) -> tuple[HistoryRecord, ...]:
        """Return the records of a range of versions, newest first.

        The range begins after the version ``after`` and includes ``up_to``.
        Records that are no longer stored are left out.
        """
        records: list[HistoryRecord] = []
        versions = range(up_to, max(after, up_to - HISTORY_VERSIONS), -1)
        for start in range(0, len(versions), HISTORY_READ_CONCURRENCY):
            batch = versions[start : start + HISTORY_READ_CONCURRENCY]
            reads = [self.table.get(history_key(version)) for version in batch]
            entries = await asyncio.gather(*reads)
            stored = [entry for entry in entries if entry is not None]
            records.extend(HistoryRecord.from_value(entry.value) for entry in stored)
            if len(stored) < len(batch):
                break
        return tuple(records)

    async def values_at(self, replica: Replica, version: int) -> Mapping[EntryKey, Any]:
        """Return the values of an earlier version; raise HistoryLost."""
        head = replica.head.version
        if not 0 <= version <= head:
            raise HistoryLost(f"there is no version {version}; the last is {head}")
        records = await self.history(version, head)
        if len(records) != head - version:
            raise HistoryLost(f"the history doesn't reach back to version {version}")
        return undo(replica.values_by_key(), records)

    @singledispatchmethod
    async def edit(self, proposal: Proposal, replica: Replica) -> Edit:
        """Return the edit of a proposal made on the basis of a replica.

        Raise DocumentError, HistoryLost or StoreUnavailable.
        """
        raise TypeError(f"expected a proposal, got {proposal!r}")

    @edit.register
    async def _(self, proposal: DocumentProposal, replica: Replica) -> Edit:
        base = await self.values_at(replica, proposal.base_version)
        return document_edit(proposal, base)

    @edit.register
    async def _(self, proposal: StateProposal, replica: Replica) -> Edit:
        base = replica.values_by_key()
        wanted = values_with_state(proposal, base)
        return Edit(replica.head.version, base, wanted, ConflictScope.ENTRY)

    @edit.register
    async def _(self, proposal: RollbackProposal, replica: Replica) -> Edit:
        wanted = await self.values_at(replica, proposal.version)
        base = replica.values_by_key()
        return Edit(replica.head.version, base, wanted, ConflictScope.SECTION)

    async def commit(self, commit: Commit, replica: Replica) -> CommitResult:
        """Commit an edit as the next version in one transaction.

        Raise DocumentInvalid, ConfigurationConflict, StoreUnavailable
        (nothing was written) or CommitUnsettled (the store became unavailable
        before it could be asked whether a write was applied).
        """
        may_be_written = False
        for attempt in range(COMMIT_ATTEMPTS):
            values = replica.values_by_key()
            changes = commit.edit.rebase(values, replica.head.version)
            if not changes:
                return CommitResult(replica.head.version, ())
            check_commit(commit, replica, changes)
            try:
                return await self._write(commit, replica, changes)
            except TransactionConflict:
                pass
            except StoreOutcomeUnknown:
                may_be_written = True
            except StoreUnavailable:
                if not may_be_written:
                    raise
            await self._back_off(attempt)
            replica, result = await self._find_committed(
                commit, replica, may_be_written
            )
            if result is not None:
                return result
        if may_be_written:
            raise CommitUnsettled(commit.apply_id)
        raise StoreUnavailable(
            "too many conflicts with other commits", step="commit the configuration"
        )

    async def _write(
        self, commit: Commit, replica: Replica, changes: tuple[Change, ...]
    ) -> CommitResult:
        values = {change.key: change.after for change in changes}
        author = commit.author
        head = next_head(replica, values, commit.apply_id, author.who, commit.now)
        record = HistoryRecord(
            head.version, head.apply_id, head.who, head.when, author.note, changes
        )
        writes: list[Put | Delete] = [
            Put(HEAD_KEY, head.to_value()),
            Put(history_key(head.version), record.to_value()),
        ]
        for key, value in values.items():
            writes.append(Delete(str(key)) if value is None else Put(str(key), value))
        if head.version > HISTORY_VERSIONS:
            writes.append(Delete(history_key(head.version - HISTORY_VERSIONS)))
        checks = (Check(HEAD_KEY, replica.table_version),)
        await self.table.transact(checks, tuple(writes))
        return CommitResult(head.version, changes)

    async def _find_committed(
        self, commit: Commit, replica: Replica, may_be_written: bool
    ) -> tuple[Replica, CommitResult | None]:
        # A write whose answer was lost may still be applied. The next attempt
        # checks the same head, so only one of the two is applied; after the
        # conflict the commit finds the applied one here by its apply id. If
        # several daemons commit one outage at the same time, all but the
        # first find it here as well.
        for attempt in range(COMMIT_ATTEMPTS):
            try:
                newer = await self.load(replica)
                records = await self.history(replica.head.version, newer.head.version)
            except StoreUnavailable:
                if not may_be_written:
                    raise
                await self._back_off(attempt)
                continue
            for record in records:
                if record.apply_id == commit.apply_id:
                    return newer, CommitResult(record.version, record.changes)
            return newer, None
        raise CommitUnsettled(commit.apply_id)

    async def _back_off(self, attempt: int) -> None:
        delay = min(BACKOFF_SECONDS * 2**attempt, BACKOFF_LIMIT_SECONDS)
        await self.sleep(delay * (0.5 + self.jitter() / 2))


def check_commit(commit: Commit, replica: Replica, changes: tuple[Change, ...]) -> None:
    """Check the complete document that results from a commit's changes.

    Raise DocumentInvalid.
    """
    before = replica.document
    after = apply_values(before, {change.key: change.after for change in changes})
    check_document(after)
    if not commit.force:
        check_change(before, after, commit.in_use)
