"""Check leases and their fencing tokens under faults of the store."""

import asyncio
import random

import testtools

from teaselpond.leases import (
    ENDED_VERSION,
    Lease,
    LeaseManager,
    LeaseObserver,
    LeaseSettings,
    lease_key,
)
from teaselpond_model.contracts import Check, Delete, Put
from teaselpond_model.exceptions import (
    ImproperlyConfigured,
    LeaseLost,
    StoreUnavailable,
    TransactionConflict,
)
from teaselpond_standins.platform import MemoryTable, PlatformFaultKind
from teaselpond_standins.testing import AsyncTestCase

REFUSE, DROP = PlatformFaultKind.REFUSE, PlatformFaultKind.DROP
LOSE, STALE = PlatformFaultKind.LOSE_ANSWER, PlatformFaultKind.STALE
READ, WRITE = "table.get", "table.transact"
KEY = lease_key("d1")
SETTINGS = LeaseSettings(store_timeout_seconds=0.05)


class LeaseTestCase(AsyncTestCase):
    """Provide a table and managers of leases in it."""

    def setUp(self) -> None:
        super().setUp()
        self.table = MemoryTable()
        self.fences: list[int] = []

    def manager(self, incarnation: str = "a", daemon_id: str = "d1") -> LeaseManager:
        """Return the lease manager of one process."""
        manager = LeaseManager(
            self.table,
            daemon_id,
            incarnation,
            settings=SETTINGS,
            jitter=lambda: 0.5,
        )
        manager.held.subscribe(lambda lease: lease and self.fences.append(lease.fence))
        return manager


class ManagerTests(LeaseTestCase):
    """Check how a lease is acquired, renewed, lost and released."""

    async def test_fault_table(self) -> None:
        """Keep or reacquire the lease when store operations fail.

        The lease is acquired at 0 s, and the faults hit the steps at 0.5, 3
        and 6 s. The columns: the faults, until when the lease is valid as
        known at 6 s, and the number of fencing tokens used by 20 s.
        """
        held = SETTINGS.held_seconds
        for faults, held_until, fences in (
            ((), 6 + held, 1),
            (((REFUSE, WRITE, 2),), 6 + held, 1),
            (((REFUSE, "*", 9),), held, 2),
            (((DROP, WRITE, 1),), 6 + held, 1),
            (((LOSE, WRITE, 1),), 6 + held, 1),
            (((LOSE, WRITE, 1), (REFUSE, READ, 1)), 6 + held, 1),
            (((LOSE, WRITE, 1), (STALE, READ, 1)), 6 + held, 1),
            (((LOSE, WRITE, 2),), 6 + held, 1),
            (((LOSE, WRITE, 3),), 3 + held, 1),
            (((DROP, WRITE, 3),), held, 2),
            (((PlatformFaultKind.SLOW, WRITE, 3),), held, 2),
            (((PlatformFaultKind.SLOW_ANSWER, WRITE, 1),), 6 + held, 1),
        ):
            with self.subTest(faults=faults):
                self.table, self.fences = MemoryTable(), []
                manager = self.manager()
                self.assertTrue(await manager.step(0.0))
                self.table.freeze_replica()
                for kind, operation, count in faults:
                    self.table.faults.add(kind, operation, count=count, seconds=0.2)
                for now in (0.5, 3.0, 6.0):
                    await manager.step(now)
                lease = manager.lease(6.0)
                self.assertIsNotNone(lease)
                self.assertEqual(held_until, lease.held_until)
                self.table.faults.clear()
                for now in (9.0, 12.0, 15.0, 20.0):
                    await manager.step(now)
                self.assertTrue(manager.lease(20.0).is_held(20.0))
                self.assertEqual(fences, len(set(self.fences)), self.fences)
                self.assertEqual(sorted(set(self.fences)), self.fences)

    async def test_acquisition_whose_answer_is_lost(self) -> None:
        """Count the lease's validity from when the write was sent."""
        self.table.faults.add(LOSE, WRITE, count=1)
        manager = self.manager()
        self.assertFalse(await manager.step(0.0))
        self.assertIsNone(manager.lease(0.5))
        self.table.faults.add(REFUSE, WRITE, count=1)
        self.assertFalse(await manager.step(1.0))
        self.assertEqual(SETTINGS.held_seconds, manager.lease(1.0).held_until)
        self.assertEqual(1, manager.lease(1.0).fence)

    async def test_a_holder_that_was_paused_may_not_act(self) -> None:
        """Expire by the holder's own clock; reacquire with a higher token."""
        manager = self.manager()
        await manager.step(0.0)
        manager.assert_held(8.0)
        with testtools.ExpectedException(LeaseLost):
            manager.assert_held(8.0, for_seconds=1.0)
        for now in (SETTINGS.held_seconds, 60.0):
            with testtools.ExpectedException(LeaseLost):
                manager.assert_held(now)
        self.assertIs(None, manager.held.value)
        await manager.step(60.0)
        self.assertEqual([1, 2], self.fences)
        manager.assert_held(60.0)

    async def test_second_process_acquires_the_lease(self) -> None:
        """Lose the lease to a later process of the same daemon id."""
        old, new = self.manager("a"), self.manager("b")
        await old.step(0.0)
        await new.step(1.0)
        self.assertFalse(await old.step(2.0))
        await old.step(2.1)
        self.assertEqual([1, 2], self.fences[:2])
        self.assertEqual(sorted(self.fences), self.fences)

    async def test_a_removed_lease_is_not_renewed(self) -> None:
        """Acquire a new fencing token after others deleted the lease."""
        manager = self.manager()
        await manager.step(0.0)
        await self.table.transact((), (Delete(KEY),))
        for now in (3.0, 6.0, 10.0, 10.5):
            await manager.step(now)
        self.assertEqual([1, 3], self.fences)

    async def test_release(self) -> None:
        """Delete the record, and ignore an unavailable store."""
        manager = self.manager()
        await manager.step(0.0)
        await manager.release()
        self.assertIsNone(await self.table.get(KEY))
        await manager.step(1.0)
        self.table.faults.add(DROP)
        await manager.release()
        self.assertIsNone(manager.lease(1.0))

    async def test_run_renews_until_cancelled(self) -> None:
        """Acquire the lease, renew it in time and delete it when cancelled."""
        settings = LeaseSettings(duration_seconds=0.4, renew_seconds=0.05)
        manager = LeaseManager(self.table, "d1", "a", settings=settings)
        lost, held = asyncio.Event(), asyncio.Event()
        manager.held.subscribe(
            lambda lease: held.set() if lease else held.is_set() and lost.set()
        )
        task = asyncio.create_task(manager.run())
        await asyncio.wait_for(held.wait(), 10)
        fence = manager.held.value.fence
        async with asyncio.timeout(10):
            for version in range(fence + 1, fence + 5):
                await self._wait_for_version(version)
        self.assertEqual(fence, manager.held.value.fence)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertTrue(lost.is_set())
        self.assertIsNone(await self.table.get(KEY))

    async def _wait_for_version(self, version: int) -> None:
        entry = await self.table.get(KEY)
        while entry is None or entry.version < version:
            await asyncio.sleep(0.01)
            entry = await self.table.get(KEY)

    def test_invalid_settings_are_refused(self) -> None:
        """Refuse a renewal that comes too late and an invalid clock drift."""
        for values in (
            {"renew_seconds": 5.0},
            {"drift_ratio": 0.5},
            {"drift_ratio": -0.1},
        ):
            with testtools.ExpectedException(ImproperlyConfigured):
                LeaseSettings(**values)


class ObserverTests(LeaseTestCase):
    """Check how an observer detects that a lease has expired."""

    async def test_renewed_lease_has_not_expired(self) -> None:
        """Expire only after the duration plus drift since the last renewal."""
        manager, observer = self.manager(), LeaseObserver(SETTINGS.drift_ratio)
        self.assertFalse(observer.has_expired(KEY, 9.0, 100.0))
        for now in (0.0, 3.0, 6.0):
            await manager.step(now)
            observer.observe(KEY, (await self.table.get(KEY)).version, 1000.0 + now)
            self.assertFalse(observer.has_expired(KEY, 9.0, 1000.0 + now))
        end = 1006.0 + SETTINGS.expiry_seconds
        observer.observe(KEY, 1, end - 0.1)
        self.assertFalse(observer.has_expired(KEY, 9.0, end - 0.1))
        self.assertTrue(observer.has_expired(KEY, 9.0, end))
        observer.observe(KEY, ENDED_VERSION, end)
        self.assertFalse(observer.has_expired(KEY, 9.0, end))
        observer.remove(KEY)
        self.assertFalse(observer.has_expired(KEY, 9.0, end + 100))

    async def test_no_lease_is_deleted_while_holder_may_act(self) -> None:
        """Mix pauses, faults and clock drift.

        An observer that deletes an expired lease must not do so while the
        holder, by its own clock, may still act under it.
        """
        deleted_count = 0
        for seed in range(60):
            with self.subTest(seed=seed):
                deleted_count += await self._run_history(random.Random(seed))
        self.assertGreater(deleted_count, 30)

    async def _run_history(self, rng: random.Random) -> int:
        """Return how often the observer deleted the holder's lease.

        Both clocks start at random times and drift by up to the allowed
        ratio.
        """
        self.table, self.fences = MemoryTable(), []
        drift = SETTINGS.drift_ratio
        rates = [rng.choice((1 - drift, 1.0, 1 + drift)) for _ in range(2)]
        starts = [rng.uniform(0, 1e6) for _ in range(2)]
        manager, observer = self.manager(), LeaseObserver(drift)
        true_now, deleted_count, next_step = 0.0, 0, 0.0
        while true_now < 200.0:
            true_now += rng.uniform(0.0, 1.0)
            holder_now, observer_now = (
                start + rate * true_now
                for start, rate in zip(starts, rates, strict=True)
            )
            if rng.random() < 0.1:
                kind = rng.choice((REFUSE, DROP, LOSE, STALE))
                self.table.faults.add(kind, rng.choice((READ, WRITE)), count=1)
            if rng.random() < 0.02:
                next_step = true_now + rng.uniform(5.0, 30.0)
            if rng.random() < 0.05:
                self.table.freeze_replica()
            if true_now >= next_step:
                await manager.step(holder_now)
                next_step = max(next_step, true_now + 1.0)
            deleted_count += await self._delete_if_expired(
                manager, observer, holder_now, observer_now
            )
            self.assertEqual(sorted(set(self.fences)), self.fences)
        return deleted_count

    async def _delete_if_expired(
        self,
        manager: LeaseManager,
        observer: LeaseObserver,
        holder_now: float,
        observer_now: float,
    ) -> bool:
        held: Lease | None = manager._lease
        try:
            entry = await self.table.get(KEY)
        except StoreUnavailable:
            return False
        if entry is None:
            return False
        observer.observe(KEY, entry.version, observer_now)
        if not observer.has_expired(KEY, SETTINGS.duration_seconds, observer_now):
            return False
        try:
            checks = (Check(KEY, entry.version),)
            await self.table.transact(checks, (Delete(KEY), Put("broken", 1)))
        except (StoreUnavailable, TransactionConflict):
            return False
        self.assertFalse(held is not None and held.is_held(holder_now))
        return True
