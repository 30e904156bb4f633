"""Keep refused traits in the store, for when all hosts restart at once.

Running hosts remind one another of them. The store is written when a
quarantine or a probation begins or ends, and read once at the start of a
process.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from attrs import define, field, frozen

from teaselpond_model.exceptions import StoreUnavailable

from .journal import Journal
from .poison import POISON_SECONDS, PoisonTracker, Standing, StandingChange
from .rows import Page, Row
from .tables import Table
from .traits import FINGERPRINT_BYTES, Scope, Trait

# How soon a call to the store is repeated.
INTERVAL_SECONDS = 0.5


class QuarantineStore(Protocol):
    """Read and write the table of quarantined traits of requests."""

    async def read(self, table: Table, start: str = "") -> Page:
        """Return a page of rows; raise StoreUnavailable."""

    async def put(self, table: Table, key: str, value: bytes) -> None:
        """Write one row; raise StoreUnavailable."""

    async def remove(self, table: Table, key: str) -> None:
        """Remove one row; raise StoreUnavailable."""


@frozen
class StoredTrait:
    """Hold what a row says: how a trait is served, and since when.

    ``began_at`` is a Unix time. The scope of a quarantined trait is not
    stored: requests with it are refused whatever its scope is.
    """

    trait: Trait
    standing: Standing
    began_at: int

    @classmethod
    def of(cls, row: Row) -> "StoredTrait":
        """Read a row; raise ValueError if it is malformed."""
        fingerprint = bytes.fromhex(row.key)
        if len(fingerprint) != FINGERPRINT_BYTES:
            raise ValueError(f"fingerprint of {len(fingerprint)} bytes")
        began_at, *scopes = (int(number) for number in (row.value or b"").split())
        if not scopes:
            trait = Trait(fingerprint, Scope.REQUEST)
            return cls(trait, Standing.QUARANTINED, began_at)
        (scope,) = scopes
        return cls(Trait(fingerprint, Scope(scope)), Standing.ON_PROBATION, began_at)


@define(eq=False)
class QuarantineKeeper:
    """Read the refused traits of before the start, and write this host's own.

    A row's key is the trait's fingerprint in hexadecimal, its value the Unix
    time at which the quarantine began, in seconds. For a probation, the number
    of the trait's scope follows.
    """

    store: QuarantineStore
    poison: PoisonTracker
    journal: Journal
    clock: Callable[[], float]
    is_first_start: bool
    _has_read: bool = False
    _has_changes: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.poison.keep = self._has_changes.set

    async def run(self) -> None:
        """Read the table, then write changes until cancelled."""
        while True:
            try:
                if not self._has_read and not self.is_first_start:
                    await self._read()
                self._has_read = True
                await self._write_changes()
                await self._has_changes.wait()
                self._has_changes.clear()
            except StoreUnavailable:
                # The followers log that the store does not answer.
                await asyncio.sleep(INTERVAL_SECONDS)

    async def _read(self) -> None:
        page = await self.store.read(Table.QUARANTINES)
        now = self.clock()
        outdated = []
        for row in page.rows:
            try:
                stored = StoredTrait.of(row)
            except ValueError:
                outdated.append(row.key)
                continue
            age = max(0.0, time.time() - stored.began_at)
            if age >= POISON_SECONDS:
                outdated.append(row.key)
                continue
            self._restore(stored, now - age, now)
        for key in outdated:
            await self.store.remove(Table.QUARANTINES, key)

    def _restore(self, stored: StoredTrait, began_at: float, now: float) -> None:
        is_quarantined = stored.standing is Standing.QUARANTINED
        begin = (
            self.poison.quarantine if is_quarantined else self.poison.put_on_probation
        )
        if begin(stored.trait, began_at, now):
            self.journal.write(
                "request-quarantined" if is_quarantined else "request-on-probation",
                now,
                fingerprint=stored.trait.fingerprint.hex(),
                source="store",
            )

    async def _write_changes(self) -> None:
        while self.poison.own_changes:
            await self._write(self.poison.own_changes[0])
            self.poison.own_changes.popleft()

    async def _write(self, change: StandingChange) -> None:
        key = change.trait.fingerprint.hex()
        began_at = int(time.time())
        match change.standing:
            case Standing.QUARANTINED:
                value = str(began_at)
            case Standing.ON_PROBATION:
                value = f"{began_at} {change.trait.scope.value}"
            case Standing.SERVED:
                await self.store.remove(Table.QUARANTINES, key)
                return
        await self.store.put(Table.QUARANTINES, key, value.encode())
