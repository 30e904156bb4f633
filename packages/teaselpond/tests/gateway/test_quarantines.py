"""Test that quarantined requests outlive the processes that saw them."""

import asyncio
import time

from attrs import define, field

from teaselpond.gateway.poison import POISON_SECONDS, PoisonTracker
from teaselpond.gateway.quarantines import QuarantineKeeper
from teaselpond.gateway.rows import Page, Row
from teaselpond.gateway.suspects import MIN_ENDS_BY_SCOPE
from teaselpond.gateway.tables import Table
from teaselpond.gateway.traits import Scope, Trait
from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.exchanges import SilentJournal
from teaselpond_standins.testing.gateways import make_engine

SUSPECT = Trait(b"suspect.", Scope.REQUEST)


@define(eq=False)
class MemoryStore:
    """Keep the rows of the quarantines in memory."""

    values_by_key: dict[str, bytes] = field(factory=dict)
    is_down: bool = False

    async def read(self, table: Table, start: str = "") -> Page:
        """Return all rows."""
        self._check(table)
        rows = (Row(key, value, 1) for key, value in self.values_by_key.items())
        return Page(tuple(rows), 1, 0.0, False)

    async def put(self, table: Table, key: str, value: bytes) -> None:
        """Write one row."""
        self._check(table)
        self.values_by_key[key] = value

    async def remove(self, table: Table, key: str) -> None:
        """Remove one row."""
        self._check(table)
        del self.values_by_key[key]

    def _check(self, table: Table) -> None:
        assert table is Table.QUARANTINES
        if self.is_down:
            raise StoreUnavailable("down", step="test")


class QuarantineKeeperTests(AsyncTestCase):
    """Write quarantines to the store, and read them at a start."""

    def setUp(self) -> None:
        super().setUp()
        self.store = MemoryStore()
        self.tracker = PoisonTracker()

    def run_keeper(self, tracker: PoisonTracker, *, is_first_start: bool) -> None:
        """Run the keeper of a process until the test ends."""
        keeper = QuarantineKeeper(
            self.store,
            tracker,
            SilentJournal("", 0),
            lambda: 1000.0,
            is_first_start,
        )
        task = asyncio.create_task(keeper.run())
        self.addCleanup(task.cancel)

    async def test_quarantine_outlives_all_processes(self) -> None:
        """A process that hears no peer reads it, also after an outage."""
        self.store.is_down = True
        self.run_keeper(self.tracker, is_first_start=True)
        for number in range(MIN_ENDS_BY_SCOPE[Scope.REQUEST]):
            engine = make_engine(f"e{number}")
            self.tracker.record_own((SUSPECT,), engine, 1000.0, 1000.0)
        started = PoisonTracker()
        self.run_keeper(started, is_first_start=False)
        await asyncio.sleep(0)
        self.store.is_down = False
        await self.wait_until(lambda: self.store.values_by_key)
        late = PoisonTracker()
        self.run_keeper(late, is_first_start=False)
        await self.wait_until(lambda: late.is_poisonous((SUSPECT,), 1000.0))
        self.assertTrue(self.tracker.record_answer((SUSPECT,), 1001.0))
        await self.wait_until(lambda: not self.store.values_by_key)

    async def test_probation_outlives_all_processes(self) -> None:
        """A process that hears no peer sends such requests one at a time."""
        path = Trait(b"the path", Scope.PATH)
        self.run_keeper(self.tracker, is_first_start=True)
        for number in range(MIN_ENDS_BY_SCOPE[Scope.PATH]):
            engine = make_engine(f"e{number}")
            at = 990.0 + number
            self.tracker.record_own((path,), engine, at, at + 0.1)
        await self.wait_until(lambda: self.store.values_by_key)
        started = PoisonTracker()
        self.run_keeper(started, is_first_start=False)
        await self.wait_until(lambda: started.probation.holds((path,)))
        self.assertTrue(started.try_on_probation((path,), 1001.0))
        self.assertFalse(started.try_on_probation((path,), 1001.0))
        engine = make_engine("e9")
        self.assertEqual([path], started.record_own((path,), engine, 1001.0, 1001.1))
        late = PoisonTracker()
        self.run_keeper(late, is_first_start=False)
        await self.wait_until(lambda: late.is_poisonous((path,), 1002.0))

    async def test_answer_ends_a_stored_probation(self) -> None:
        """The row is removed by the host that gets the answer."""
        path = Trait(b"the path", Scope.PATH)
        value = f"{int(time.time())} {Scope.PATH.value}".encode()
        self.store.values_by_key = {path.fingerprint.hex(): value}
        self.run_keeper(self.tracker, is_first_start=False)
        await self.wait_until(lambda: self.tracker.probation.holds((path,)))
        self.tracker.record_answer((path,), 1001.0)
        await self.wait_until(lambda: not self.store.values_by_key)

    async def test_old_and_malformed_rows_are_removed(self) -> None:
        """They quarantine nothing and do not stay for ever."""
        third = Trait(b"a third.", Scope.REQUEST)
        old = str(int(time.time() - POISON_SECONDS) - 1).encode()
        now = str(int(time.time())).encode()
        self.store.values_by_key = {
            SUSPECT.fingerprint.hex(): old,
            "not hexadecimal": now,
            "aa": now,
            b"another.".hex(): b"no time",
            b"a scope!".hex(): now + b" 99",
            b"a scope?".hex(): now + b" 1 1",
            third.fingerprint.hex(): now,
        }
        self.run_keeper(self.tracker, is_first_start=False)
        kept = {third.fingerprint.hex()}
        await self.wait_until(lambda: set(self.store.values_by_key) == kept)
        self.assertTrue(self.tracker.is_poisonous((third,), 1000.0))
        self.assertFalse(self.tracker.is_poisonous((SUSPECT,), 1000.0))
