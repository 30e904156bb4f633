"""Test that an accepted configuration spreads and never reverts."""

import asyncio
import random

from teaselpond.configuration import ConfigurationKeeper, KeeperSettings
from teaselpond_model.configuration import AdminState
from teaselpond_model.configuration.proposals import StateProposal
from teaselpond_model.configuration.replica import Replica
from teaselpond_model.contracts import Delete, Put, TableEntry
from teaselpond_standins.platform import MemoryTable, PlatformFaultKind

from .fleets import Fleet, KeeperTestCase

REFUSE, STALE = PlatformFaultKind.REFUSE, PlatformFaultKind.STALE
READS = "table.[gs]*"


class NeverRevertsTests(KeeperTestCase):
    """Test that no fault reverts a daemon to an older version."""

    async def test_faults_of_store_and_links(self) -> None:
        """Inject each fault when version 3 is committed, after 1 and 2.

        The columns are: whether the daemon was restarted, the fault of the
        reads, whether the peer at version 3 is linked, and the expected
        version.
        """
        for restarted, kind, peer_linked, expected in (
            (False, None, True, 3),
            (False, None, False, 3),
            (False, REFUSE, True, 3),
            (False, REFUSE, False, 2),
            (False, STALE, True, 3),
            (False, STALE, False, 2),
            (True, None, True, 3),
            (True, None, False, 3),
            (True, REFUSE, True, 3),
            (True, REFUSE, False, 0),
            (True, STALE, True, 3),
            (True, STALE, False, 0),
        ):
            with self.subTest(restarted=restarted, kind=kind, peer_linked=peer_linked):
                self.table, self.applied = MemoryTable(), 0
                fleet = Fleet(self.table, 2)
                await self.advance()
                self.table.freeze_replica()
                await self.advance()
                for keeper in fleet.keepers_by_id.values():
                    await keeper.poll(0.0)
                if not peer_linked:
                    fleet.cut_links.add(frozenset(fleet.keepers_by_id))
                await self.advance()
                await fleet.keepers_by_id["d0"].poll(0.0)
                keeper = fleet.start("d1") if restarted else fleet.keepers_by_id["d1"]
                if kind is not None:
                    self.table.faults.add(kind, READS)
                seen: list[int] = []
                keeper.in_force.subscribe(
                    lambda value, seen=seen: seen.append(value.version if value else 0)
                )
                for now in (0.0, -50.0, 1e9):
                    await keeper.poll(now)
                    if not keeper.is_ready:
                        await keeper.pull_from_peers()
                    await keeper.catch_up()
                self.assertEqual([3, expected], fleet.versions())
                self.assertEqual(sorted(seen), seen)
                self.table.faults.clear()
                await keeper.poll(0.0)
                self.assertEqual([3, 3], fleet.versions())

    async def test_new_daemon_applies_highest_version_of_its_peers(self) -> None:
        """Pull from every peer while the store is unavailable."""
        fleet = Fleet(self.table, 3)
        for keeper in fleet.keepers_by_id.values():
            await self.advance()
            await keeper.poll(0.0)
        self.assertEqual([1, 2, 3], fleet.versions())
        self.table.faults.add(REFUSE)
        new_keeper = fleet.start("d9")
        await new_keeper.poll(0.0)
        self.assertFalse(new_keeper.is_ready)
        await new_keeper.pull_from_peers()
        self.assertEqual([1, 2, 3, 3], fleet.versions())

    async def test_unconfirmed_peers_do_not_confirm_each_other(self) -> None:
        """Leave a stale read of two new daemons unconfirmed."""
        await self.advance()
        self.table.freeze_replica()
        await self.advance()
        self.table.faults.add(STALE, READS)
        fleet = Fleet(self.table, 2)
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
        for keeper in fleet.keepers_by_id.values():
            await keeper.pull_from_peers()
        self.assertEqual([0, 0], fleet.versions())

    async def test_random_histories(self) -> None:
        """Combine commits, faults, cuts and restarts; no version reverts."""
        for seed in range(30):
            with self.subTest(seed=seed):
                await self._run_history(random.Random(seed))

    async def _run_history(self, rng: random.Random) -> None:
        self.table, self.applied = MemoryTable(), 0
        await self.advance()
        fleet = Fleet(self.table, 4)
        highest = dict.fromkeys(fleet.keepers_by_id, 0)
        delayed = [fleet.keepers_by_id["d0"].replica.changed_after(0)]
        for _ in range(120):
            daemon_id = rng.choice(sorted(highest))
            keeper = fleet.keepers_by_id[daemon_id]
            action = rng.randrange(9)
            if action == 0:
                self.table.faults.clear()
                await self.advance()
            elif action == 1:
                self.table.faults.add(rng.choice((REFUSE, STALE)), READS, count=3)
            elif action == 2:
                self.table.freeze_replica()
            elif action == 3:
                fleet.cut_links ^= {frozenset((daemon_id, rng.choice(list(highest))))}
            elif action == 4 and rng.random() < 0.3:
                # A restarted daemon may find peers with older versions only.
                fleet.start(daemon_id)
                highest[daemon_id] = 0
            elif action == 5:
                await keeper.pull_from_peers()
            elif action == 6:
                # A delta may arrive long after it was sent.
                delayed.append(keeper.replica.changed_after(0))
                keeper.apply_entries(rng.choice(delayed), Replica(), "peer")
            else:
                await keeper.poll(rng.uniform(-1e6, 1e6))
                await keeper.catch_up()
            versions = dict(zip(highest, fleet.versions(), strict=True))
            for peer_id, version in versions.items():
                self.assertGreaterEqual(version, highest[peer_id], peer_id)
            highest = versions
        self.table.faults.clear()
        fleet.cut_links.clear()
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
        self.assertEqual([self.applied] * 4, fleet.versions())


class SpreadTests(KeeperTestCase):
    """Test how a version reaches every daemon."""

    async def test_one_poll_updates_all_linked_daemons(self) -> None:
        """Replicate a version over the links while only one daemon polls."""
        await self.advance()
        fleet = Fleet(self.table, 5)
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
        # Link the daemons in a chain: each one only to the next.
        ids = list(fleet.keepers_by_id)
        fleet.cut_links = {
            frozenset((a, b))
            for i, a in enumerate(ids)
            for j, b in enumerate(ids)
            if abs(i - j) > 1
        }
        await self.advance()
        await fleet.keepers_by_id["d0"].poll(0.0)
        for daemon_id in ids[1:]:
            await fleet.keepers_by_id[daemon_id].catch_up()
        self.assertEqual([2] * 5, fleet.versions())
        # Each of the other daemons pulled one head and one entry.
        self.assertEqual(2 * 4, fleet.pulled_entries)

    async def test_tasks_update_from_store_and_peers(self) -> None:
        """Run the tasks of two daemons; only the first can read the store."""
        fleet = Fleet(self.table, 1)
        without_store = fleet.start("d1")
        without_store.table = MemoryTable()
        without_store.table.faults.add(REFUSE)
        tasks = [asyncio.create_task(k.run()) for k in fleet.keepers_by_id.values()]
        for version in (1, 2, 3):
            await self.advance()
            for keeper in fleet.keepers_by_id.values():
                await self._in_force(keeper, version)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _in_force(self, keeper: ConfigurationKeeper, version: int) -> None:
        reached = asyncio.Event()
        subscription = keeper.in_force.subscribe(
            lambda value: reached.set() if value and value.version == version else None
        )
        await asyncio.wait_for(reached.wait(), 20)
        subscription.dispose()

    async def test_store_that_never_answers(self) -> None:
        """Pull from peers when the store does not answer in time."""
        await self.advance()
        fleet = Fleet(self.table, 2)
        await fleet.keepers_by_id["d0"].poll(0.0)
        keeper = fleet.start("d1")
        keeper.settings = KeeperSettings(store_timeout_seconds=0.01)
        self.table.faults.add(PlatformFaultKind.SLOW, seconds=30)
        await keeper.poll(0.0)
        self.assertIsNone(keeper.store_answered_at)
        await keeper.pull_from_peers()
        self.assertEqual([1, 1], fleet.versions())


class DeltaTests(KeeperTestCase):
    """Test deltas that are old, inconsistent, invalid or repeated."""

    async def test_inconsistent_reads_are_rejected(self) -> None:
        """Reject entries that do not match their head; apply later ones."""
        await self.advance()
        counts: list[str] = []
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        keeper.count = counts.append
        await keeper.poll(0.0)
        head = TableEntry("config/head", keeper.replica.head.to_value(), 99)
        entry = TableEntry("config/entry/zones/imst", {"region": "tyrol"}, 99)
        for entries in ((head, entry), (TableEntry(head.key, {}, 99),)):
            self.assertFalse(keeper.apply_entries(entries, keeper.replica, "store"))
        self.assertFalse(keeper.apply_entries((entry,), keeper.replica, "store"))
        self.assertEqual(1, keeper.in_force.value.version)
        self.assertEqual(2, counts.count("configuration.delta_refused"))
        await self.advance()
        await keeper.poll(0.0)
        self.assertEqual(2, keeper.in_force.value.version)

    async def test_deletions_are_replicated(self) -> None:
        """Remove an entry on a daemon that only pulls from a peer."""
        await self.advance()
        fleet = Fleet(self.table, 2)
        first, second = fleet.keepers_by_id.values()
        await first.poll(0.0)
        await second.poll(0.0)
        await self.commit(StateProposal("hosts", "e1", AdminState.OUT))
        await first.poll(0.0)
        await second.catch_up()
        await self.commit(StateProposal("hosts", "e1", AdminState.IN))
        await first.poll(0.0)
        await second.catch_up()
        self.assertEqual([3, 3], fleet.versions())
        self.assertEqual({}, dict(second.in_force.value.document.hosts_by_id))
        self.assertEqual(first.in_force.value.digest, second.in_force.value.digest)

    async def test_old_and_repeated_deltas_change_nothing(self) -> None:
        """Keep the version in force when an old delta is applied again."""
        await self.advance()
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        await keeper.poll(0.0)
        old = keeper.replica.changed_after(0)
        await self.advance()
        await keeper.poll(0.0)
        for known in (Replica(), keeper.replica):
            self.assertFalse(keeper.apply_entries(old, known, "peer"))
        self.assertEqual(2, keeper.in_force.value.version)

    async def test_failing_listener_does_not_stop_updates(self) -> None:
        """Apply further versions after a listener raised an error."""
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        keeper.in_force.subscribe(lambda value: 1 / 0 if value else None)
        for _ in range(2):
            await self.advance()
            await keeper.poll(0.0)
        self.assertEqual(2, keeper.in_force.value.version)

    async def test_wiped_table_does_not_revert_configuration(self) -> None:
        """Keep the document when the table is emptied or replaced."""
        await self.advance()
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        await keeper.poll(0.0)
        writes = [Delete(e.key) for e in keeper.replica.changed_after(0)]
        await self.table.transact((), (*writes, Put("other/key", 1)))
        await keeper.poll(0.0)
        keeper.table = MemoryTable()
        await keeper.poll(0.0)
        self.assertEqual(1, keeper.in_force.value.version)
