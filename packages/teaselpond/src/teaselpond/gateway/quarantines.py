"""Keep quarantined traits in the store, for when all hosts restart at once.

Running hosts remind one another of them. The store is written when a
quarantine begins or ends, and read once at the start of a process.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from attrs import define

from teaselpond_model.exceptions import StoreUnavailable

from .journal import Journal
from .poison import POISON_SECONDS, PoisonTracker, QuarantineChange
from .rows import Page, Row
from .tables import Table
from .traits import FINGERPRINT_BYTES, Scope, Trait

# How soon a change is written, and a call to the store is repeated.
INTERVAL_SECONDS = 0.5


class QuarantineStore(Protocol):
    """Read and write the table of quarantined traits of requests."""

    async def read(self, table: Table, start: str = "") -> Page:
        """Return a page of rows; raise StoreUnavailable."""

    async def put(self, table: Table, key: str, value: bytes) -> None:
        """Write one row; raise StoreUnavailable."""

    async def remove(self, table: Table, key: str) -> None:
        """Remove one row; raise StoreUnavailable."""


@define(eq=False)
class QuarantineKeeper:
    """Read the quarantines of before the start, and write this host's own.

    A row's key is the trait's fingerprint in hexadecimal, its value the Unix
    time at which the quarantine began, in seconds.
    """

    store: QuarantineStore
    poison: PoisonTracker
    journal: Journal
    clock: Callable[[], float]
    is_first_start: bool
    _has_read: bool = False

    async def run(self) -> None:
        """Read the table, then write changes until cancelled."""
        while True:
            try:
                if not self._has_read and not self.is_first_start:
                    await self._read()
                self._has_read = True
                await self._write_changes()
            except StoreUnavailable:
                # The followers log that the store does not answer.
                pass
            await asyncio.sleep(INTERVAL_SECONDS)

    async def _read(self) -> None:
        page = await self.store.read(Table.QUARANTINES)
        now = self.clock()
        outdated = []
        for row in page.rows:
            age = _age_of(row, time.time())
            if age is None or age >= POISON_SECONDS:
                outdated.append(row.key)
                continue
            # Requests with the trait are refused whatever its scope is.
            trait = Trait(bytes.fromhex(row.key), Scope.REQUEST)
            if self.poison.quarantine(trait, now - age, now):
                self.journal.write(
                    "request-quarantined",
                    now,
                    fingerprint=row.key,
                    source="store",
                )
        for key in outdated:
            await self.store.remove(Table.QUARANTINES, key)

    async def _write_changes(self) -> None:
        while self.poison.own_changes:
            await self._write(self.poison.own_changes[0])
            self.poison.own_changes.popleft()

    async def _write(self, change: QuarantineChange) -> None:
        key = change.trait.fingerprint.hex()
        if change.is_quarantined:
            value = str(int(time.time())).encode()
            await self.store.put(Table.QUARANTINES, key, value)
        else:
            await self.store.remove(Table.QUARANTINES, key)


def _age_of(row: Row, unix_now: float) -> float | None:
    """Return how long ago a quarantine began, None if the row is malformed."""
    try:
        if len(bytes.fromhex(row.key)) != FINGERPRINT_BYTES:
            return None
        return max(0.0, unix_now - int(row.value or b""))
    except ValueError:
        return None
