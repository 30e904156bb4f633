"""Prove that an accepted configuration spreads and never reverts."""

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
    """Check that no fault takes a daemon back to an older version."""

    async def test_fault_table(self) -> None:
        """Meet each fault at version 3, after 1 and 2, and come out right.

        The columns: fresh daemon or not, fault of the reads, whether the
        peer that is at version 3 can be reached, and the version expected.
        """
        for fresh, kind, peer, expected in (
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
            with self.subTest(fresh=fresh, kind=kind, peer=peer):
                self.table, self.applied = MemoryTable(), 0
                fleet = Fleet(self.table, 2)
                await self.advance()
                self.table.hold_replica()
                await self.advance()
                for keeper in fleet.keepers_by_id.values():
                    await keeper.poll(0.0)
                if not peer:
                    fleet.cut.add(frozenset(fleet.keepers_by_id))
                await self.advance()
                await fleet.keepers_by_id["d0"].poll(0.0)
                keeper = fleet.start("d1") if fresh else fleet.keepers_by_id["d1"]
                if kind is not None:
                    self.table.faults.add(kind, READS)
                seen: list[int] = []
                keeper.in_force.subscribe(
                    lambda value, seen=seen: seen.append(value.version if value else 0)
                )
                for now in (0.0, -50.0, 1e9):
                    await keeper.poll(now)
                    if not keeper.is_ready:
                        await keeper.ask_peers()
                    await keeper.catch_up()
                self.assertEqual([3, expected], fleet.versions())
                self.assertEqual(sorted(seen), seen)
                self.table.faults.clear()
                await keeper.poll(0.0)
                self.assertEqual([3, 3], fleet.versions())

    async def test_a_fresh_daemon_takes_the_highest_of_its_peers(self) -> None:
        """Ask every peer while the store is away."""
        fleet = Fleet(self.table, 3)
        for keeper in fleet.keepers_by_id.values():
            await self.advance()
            await keeper.poll(0.0)
        self.assertEqual([1, 2, 3], fleet.versions())
        self.table.faults.add(REFUSE)
        fresh = fleet.start("d9")
        await fresh.poll(0.0)
        self.assertFalse(fresh.is_ready)
        await fresh.ask_peers()
        self.assertEqual([1, 2, 3, 3], fleet.versions())

    async def test_an_unconfirmed_peer_confirms_nobody(self) -> None:
        """Don't let two fresh daemons make a stale read good."""
        await self.advance()
        self.table.hold_replica()
        await self.advance()
        self.table.faults.add(STALE, READS)
        fleet = Fleet(self.table, 2)
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
        for keeper in fleet.keepers_by_id.values():
            await keeper.ask_peers()
        self.assertEqual([0, 0], fleet.versions())

    async def test_random_histories(self) -> None:
        """Mix commits, faults, cuts and restarts; versions only grow."""
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
                self.table.hold_replica()
            elif action == 3:
                fleet.cut ^= {frozenset((daemon_id, rng.choice(list(highest))))}
            elif action == 4 and rng.random() < 0.3:
                # A fresh daemon may meet a peer that lags the one it was.
                fleet.start(daemon_id)
                highest[daemon_id] = 0
            elif action == 5:
                await keeper.ask_peers()
            elif action == 6:
                # A delta may arrive long after it was sent.
                delayed.append(keeper.replica.changed_after(0))
                keeper.adopt(rng.choice(delayed), Replica(), "peer")
            else:
                await keeper.poll(rng.uniform(-1e6, 1e6))
                await keeper.catch_up()
            versions = dict(zip(highest, fleet.versions(), strict=True))
            for peer_id, version in versions.items():
                self.assertGreaterEqual(version, highest[peer_id], peer_id)
            highest = versions
        self.table.faults.clear()
        fleet.cut.clear()
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
        self.assertEqual([self.applied] * 4, fleet.versions())


class SpreadTests(KeeperTestCase):
    """Check how a version comes to every daemon."""

    async def test_one_poll_brings_it_to_linked_daemons(self) -> None:
        """Spread a version by the links while only one daemon polls."""
        await self.advance()
        fleet = Fleet(self.table, 5)
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
        # A chain of links: each daemon is linked to the next one only.
        ids = list(fleet.keepers_by_id)
        fleet.cut = {
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

    async def test_the_tasks_follow_store_and_peers(self) -> None:
        """Run two daemons whole; the second never sees the store."""
        fleet = Fleet(self.table, 1)
        blind = fleet.start("d1")
        blind.table = MemoryTable()
        blind.table.faults.add(REFUSE)
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

    async def test_hung_store(self) -> None:
        """Go on with the peers when the store never answers."""
        await self.advance()
        fleet = Fleet(self.table, 2)
        await fleet.keepers_by_id["d0"].poll(0.0)
        keeper = fleet.start("d1")
        keeper.settings = KeeperSettings(store_timeout_seconds=0.01)
        self.table.faults.add(PlatformFaultKind.SLOW, seconds=30)
        await keeper.poll(0.0)
        self.assertIsNone(keeper.store_answered_at)
        await keeper.ask_peers()
        self.assertEqual([1, 1], fleet.versions())


class DeltaTests(KeeperTestCase):
    """Check deltas that are old, torn, unreadable or unheard of."""

    async def test_torn_reads_are_refused_and_mended(self) -> None:
        """Refuse entries that don't match their head, and go on after."""
        await self.advance()
        counts: list[str] = []
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        keeper.count = counts.append
        await keeper.poll(0.0)
        head = TableEntry("config/head", keeper.replica.head.to_value(), 99)
        entry = TableEntry("config/entry/zones/imst", {"region": "tyrol"}, 99)
        for entries in ((head, entry), (TableEntry(head.key, {}, 99),)):
            self.assertFalse(keeper.adopt(entries, keeper.replica, "store"))
        self.assertFalse(keeper.adopt((entry,), keeper.replica, "store"))
        self.assertEqual(1, keeper.in_force.value.version)
        self.assertEqual(2, counts.count("configuration.delta_refused"))
        await self.advance()
        await keeper.poll(0.0)
        self.assertEqual(2, keeper.in_force.value.version)

    async def test_deletions_travel(self) -> None:
        """Remove an entry on a daemon that only hears of it by a peer."""
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
        """Keep what is in force when an old delta comes again."""
        await self.advance()
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        await keeper.poll(0.0)
        old = keeper.replica.changed_after(0)
        await self.advance()
        await keeper.poll(0.0)
        for known in (Replica(), keeper.replica):
            self.assertFalse(keeper.adopt(old, known, "peer"))
        self.assertEqual(2, keeper.in_force.value.version)

    async def test_a_failing_listener_stops_nothing(self) -> None:
        """Go on when a listener raises."""
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        keeper.in_force.subscribe(lambda value: 1 / 0 if value else None)
        for _ in range(2):
            await self.advance()
            await keeper.poll(0.0)
        self.assertEqual(2, keeper.in_force.value.version)

    async def test_a_wiped_table_takes_nothing_away(self) -> None:
        """Keep the document when the platform loses or replaces its own."""
        await self.advance()
        keeper = Fleet(self.table, 1).keepers_by_id["d0"]
        await keeper.poll(0.0)
        writes = [Delete(e.key) for e in keeper.replica.changed_after(0)]
        await self.table.transact((), (*writes, Put("other/key", 1)))
        await keeper.poll(0.0)
        keeper.table = MemoryTable()
        await keeper.poll(0.0)
        self.assertEqual(1, keeper.in_force.value.version)
