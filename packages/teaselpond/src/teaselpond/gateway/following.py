"""Follow a table of the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from attrs import define

from teaselpond_model.exceptions import StoreUnavailable

from .exceptions import HistoryLost
from .journal import Journal
from .rowcache import UNKNOWN_VERSION
from .rows import Page, Row
from .tables import Table

# A table that does not change is confirmed this often: a third of the bound
# on revoked keys, so that a lost answer does not stop callers.
LONG_POLL_SECONDS = 1.5
RETRY_MIN_SECONDS = 0.05
# Above the store's slowest answers, a host that asks more often than this
# would spend the fleet's rate of calls in an outage.
RETRY_MAX_SECONDS = 0.5
# How often a host that need not read looks whether it must.
IDLE_SECONDS = 0.1


class StoreReader(Protocol):
    """Read and follow tables of the store."""

    async def read(self, table: Table, start: str = "") -> Page:
        """Return a table's rows from a key on; raise StoreUnavailable."""

    async def follow(self, table: Table, after: int, wait_seconds: float) -> Page:
        """Return rows that changed; raise StoreUnavailable or HistoryLost."""


@define(eq=False)
class Follower:
    """Follow one table, and hand on each answer.

    ``apply`` takes the answer, whether it is the whole table, when it was
    asked for and when it came. ``must_read`` tells whether peers leave it to
    this host; ``known_version`` up to which version all changes are known.
    Times are on the boot clock.
    """

    table: Table
    store: StoreReader
    journal: Journal
    clock: Callable[[], float]
    apply: Callable[[Page, bool, float, float], None]
    must_read: Callable[[], bool]
    known_version: Callable[[], int]
    answered_at: float | None = None
    _failing_since: float | None = None
    _is_history_lost: bool = False

    @property
    def is_failing(self) -> bool:
        """Tell whether the store's last answer did not come."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        delay = RETRY_MIN_SECONDS
        while True:
            if self._needs_whole_table() or self.must_read():
                delay = await self._try_step(delay)
            else:
                delay = RETRY_MIN_SECONDS
                await asyncio.sleep(IDLE_SECONDS)

    async def _try_step(self, delay: float) -> float:
        """Ask once; return how long to wait after the next failure."""
        try:
            await self._step()
        except HistoryLost as error:
            self._is_history_lost = True
            self.journal.write(
                "history-lost", self.clock(), table=self.table.value, error=str(error)
            )
        except StoreUnavailable as error:
            self._note_failure(error, self.clock())
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            return min(RETRY_MAX_SECONDS, delay * 2)
        return RETRY_MIN_SECONDS

    def clear_failure(self) -> None:
        """Take that peers tell what the store says."""
        self._failing_since = None

    def _needs_whole_table(self) -> bool:
        return self._is_history_lost or self.known_version() == UNKNOWN_VERSION

    async def _step(self) -> None:
        asked_at = self.clock()
        is_whole = self._needs_whole_table()
        if is_whole:
            page = await self._read_whole()
        else:
            # After a failure the first answer is wanted at once.
            wait = 0.0 if self.is_failing else LONG_POLL_SECONDS
            # What peers told meanwhile need not be asked for.
            version = self.known_version()
            page = await self.store.follow(self.table, version, wait)
        now = self.clock()
        self._note_success(now)
        self._is_history_lost = False
        self.answered_at = now
        self.apply(page, is_whole, asked_at, now)

    async def _read_whole(self) -> Page:
        first = page = await self.store.read(self.table)
        rows: list[Row] = list(page.rows)
        while page.has_more and page.rows:
            page = await self.store.read(self.table, page.rows[-1].key + "\0")
            rows.extend(page.rows)
        # Later pages may be newer; what changed since the first one is asked
        # for again by following from its version.
        return Page(tuple(rows), first.version, first.store_seconds, False)

    def _note_failure(self, error: StoreUnavailable, now: float) -> None:
        if self._failing_since is not None:
            return
        self._failing_since = now
        self.journal.write(
            "store-lost",
            now,
            table=self.table.value,
            error=str(error),
            answered_at=self.answered_at,
        )

    def _note_success(self, now: float) -> None:
        if self._failing_since is None:
            return
        seconds = now - self._failing_since
        self._failing_since = None
        self.journal.write(
            "store-regained", now, table=self.table.value, after_seconds=seconds
        )
