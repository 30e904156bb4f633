"""Follow a table of the platform's store."""

import asyncio
import math
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

# Wait of a long poll of the operator's table, which confirms an unchanged one.
# When an outage begins, the age of the last confirmation shortens the time for
# which callers' keys still count.
CONFIRM_SECONDS = 0.6
# Wait of a long poll of other tables, whose age limits nothing.
LONG_POLL_SECONDS = 1.5
RETRY_MIN_SECONDS = 0.05
# Longer than the store's slowest responses. Hosts that retried more often
# would use up the fleet's rate of calls in an outage.
RETRY_MAX_SECONDS = 0.5
# A history that is lost again within this time is lost with each request, as
# while the store gives out versions that it does not know itself.
HISTORY_KEPT_SECONDS = 2.0
# How often a host that does not read the store checks whether it must.
IDLE_CHECK_SECONDS = 0.1


class StoreReader(Protocol):
    """Read and follow tables of the store."""

    async def read(self, table: Table, start: str = "") -> Page:
        """Return a table's rows from a key on, up to a page.

        Raise StoreUnavailable.
        """

    async def follow(self, table: Table, after: int, wait_seconds: float) -> Page:
        """Wait for rows that change after a version, and return them.

        Raise StoreUnavailable, or HistoryLost if the store no longer has the
        changes.
        """


@define(eq=False)
class Follower:
    """Follow one table with long polls, and apply each response.

    ``apply`` is called with the response, whether it is the whole table, and
    the times of request and response. ``must_read`` returns whether this host
    reads the table instead of relying on its peers. ``known_version`` returns
    the version up to which all changes are known, ``known_era`` the era of the
    store that gave it out. Times are on the boot clock.
    """

    table: Table
    store: StoreReader
    journal: Journal
    clock: Callable[[], float]
    apply: Callable[[Page, bool, float, float], None]
    must_read: Callable[[], bool]
    known_version: Callable[[], int]
    known_era: Callable[[], int]
    answered_at: float | None = None
    _failing_since: float | None = None
    _is_history_lost: bool = False
    _history_lost_at: float = -math.inf

    @property
    def is_failing(self) -> bool:
        """Return whether the last request to the store failed."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Read and follow the table until cancelled."""
        delay = RETRY_MIN_SECONDS
        while True:
            if self._is_history_lost or self.must_read():
                delay = await self._poll_or_back_off(delay)
            else:
                delay = RETRY_MIN_SECONDS
                await asyncio.sleep(IDLE_CHECK_SECONDS)

    async def _poll_or_back_off(self, delay: float) -> float:
        """Make one request; return the backoff for the next failure."""
        try:
            await self._poll()
        except HistoryLost as error:
            now = self.clock()
            self.journal.write(
                "history-lost", now, table=self.table.value, error=str(error)
            )
            self._is_history_lost = True
            is_lost_again = now - self._history_lost_at < HISTORY_KEPT_SECONDS
            self._history_lost_at = now
            if is_lost_again:
                await asyncio.sleep(RETRY_MAX_SECONDS * random.uniform(0.5, 1.0))
        except StoreUnavailable as error:
            self._record_failure(error, self.clock())
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            return min(RETRY_MAX_SECONDS, delay * 2)
        return RETRY_MIN_SECONDS

    def clear_failure(self) -> None:
        """Clear the failure state, because peers now confirm the table."""
        self._failing_since = None

    def _needs_whole_table(self) -> bool:
        return self._is_history_lost or self.known_version() == UNKNOWN_VERSION

    async def _poll(self) -> None:
        asked_at = self.clock()
        is_whole = self._needs_whole_table()
        if is_whole:
            page = await self._read_whole()
        else:
            # After a failure, confirm at once that the store is back.
            wait_seconds = 0.0 if self.is_failing else self._wait_seconds()
            # Skip the changes that peers have sent meanwhile.
            version = self.known_version()
            page = await self.store.follow(self.table, version, wait_seconds)
        now = self.clock()
        self._record_success(now)
        if not is_whole and page.era != self.known_era():
            # The store was restored: versions after the known one may have
            # been given out again before this request.
            raise HistoryLost(
                f"expected an answer of era {self.known_era()}, got {page.era}",
                step="follow",
            )
        self._is_history_lost = False
        self.answered_at = now
        self.apply(page, is_whole, asked_at, now)

    def _wait_seconds(self) -> float:
        is_confirming = self.table is Table.OPERATOR
        return CONFIRM_SECONDS if is_confirming else LONG_POLL_SECONDS

    async def _read_whole(self) -> Page:
        first = page = await self.store.read(self.table)
        rows: list[Row] = list(page.rows)
        while page.has_more and page.last_key is not None:
            page = await self.store.read(self.table, page.last_key + "\0")
            if page.era != first.era:
                raise HistoryLost(
                    f"the era changed from {first.era} to {page.era} between pages",
                    step="read",
                )
            rows.extend(page.rows)
        # Rows may change between two pages. Following from the first page's
        # version returns these changes again.
        return Page(tuple(rows), first.version, first.store_seconds, False, first.era)

    def _record_failure(self, error: StoreUnavailable, now: float) -> None:
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

    def _record_success(self, now: float) -> None:
        if self._failing_since is None:
            return
        seconds = now - self._failing_since
        self._failing_since = None
        self.journal.write(
            "store-regained", now, table=self.table.value, after_seconds=seconds
        )
