"""Remove expired records of non-idempotent calls."""

import asyncio
import random
import time
from collections.abc import Callable

from teaselpond_model.contracts import (
    Check,
    Delete,
    ObjectStore,
    TableEntry,
    TableService,
)
from teaselpond_model.exceptions import StoreUnavailable, TransactionConflict

from .records import LEDGER_PREFIX, structure_record

SHARDS = 256
SWEEP_SECONDS = 60.0
DELETES_PER_TRANSACTION = 50
# Added to the retention: the fleet's wall clocks differ by less than this.
CLOCK_DRIFT_SECONDS = 60.0


class LedgerSweeper:
    """Remove expired records from the ledger, one random shard at a time.

    Any number of daemons may sweep concurrently: a record is removed only if
    its version is unchanged since it was read.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        *,
        random_source: random.Random | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._objects = objects
        self._random_source = random_source or random.Random()
        self._wall_clock = wall_clock

    async def run_forever(self, sweep_seconds: float = SWEEP_SECONDS) -> None:
        """Sweep random shards until cancelled, one per ``sweep_seconds``."""
        while True:
            await asyncio.sleep(self._random_source.uniform(0.5, 1.5) * sweep_seconds)
            try:
                await self.sweep(
                    self._random_source.randrange(SHARDS), self._wall_clock()
                )
            except (StoreUnavailable, TransactionConflict):
                # A later sweep removes the remaining records.
                continue

    async def sweep(self, shard: int, now: float) -> int:
        """Remove a shard's expired records and return how many.

        ``now`` is wall-clock time. Raise StoreUnavailable, or
        TransactionConflict if a record changed meanwhile.
        """
        page = await self._table.scan(f"{LEDGER_PREFIX}{shard:02x}/")
        expired = [
            entry
            for entry in page.entries
            if entry.value is not None and _is_expired(entry, now)
        ]
        for start in range(0, len(expired), DELETES_PER_TRANSACTION):
            await self._remove(expired[start : start + DELETES_PER_TRANSACTION])
        return len(expired)

    async def _remove(self, entries: list[TableEntry]) -> None:
        checks = tuple(Check(entry.key, entry.version) for entry in entries)
        deletes = tuple(Delete(entry.key) for entry in entries)
        await self._table.transact(checks, deletes)
        for entry in entries:
            outcome = structure_record(entry.value).outcome
            if outcome is not None and outcome.object_name:
                await self._objects.delete(outcome.object_name)


def _is_expired(entry: TableEntry, now: float) -> bool:
    expires_at = structure_record(entry.value).expires_at
    return now > expires_at + CLOCK_DRIFT_SECONDS
