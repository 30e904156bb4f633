"""Test outages that are ordered while the table service is unavailable."""

import asyncio
import random

from teaselpond.configuration import ConfigurationKeeper, parse_outage
from teaselpond_model.configuration import (
    AdminState,
    DocumentError,
    DocumentInvalid,
    Outage,
    read_toml,
)
from teaselpond_model.configuration.outages import (
    WITHDRAWN,
    commit_outage,
    with_resolutions,
)
from teaselpond_model.configuration.proposals import DocumentProposal, StateProposal
from teaselpond_model.configuration.store import Author, Commit, ConfigurationStore
from teaselpond_standins.platform import MemoryTable, PlatformFaultKind

from .fleets import DOCUMENT, Fleet, KeeperTestCase

REFUSE, LOSE = PlatformFaultKind.REFUSE, PlatformFaultKind.LOSE_ANSWER
OUTAGE = Outage("o1", "zones", "lienz", "operator", "flood")


class OutageTests(KeeperTestCase):
    """Test outages from the order until a version resolves them."""

    async def start_fleet(self, size: int = 3) -> Fleet:
        """Return a fleet at the first version, whose store is unavailable."""
        await self.advance()
        fleet = Fleet(self.table, size)
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
        self.table.faults.add(REFUSE)
        return fleet

    def zones_out(self, fleet: Fleet) -> list[bool]:
        """Return for each daemon whether the zone is out."""
        return [
            keeper.is_ready
            and not keeper.in_force.value.document.is_zone_in_service("lienz")
            for keeper in fleet.keepers_by_id.values()
        ]

    async def heal(self, fleet: Fleet) -> None:
        """Restore the store and the links, and poll twice on every daemon."""
        self.table.faults.clear()
        fleet.cut_links.clear()
        for _ in range(2):
            await asyncio.gather(
                *(self.poll(keeper) for keeper in fleet.keepers_by_id.values())
            )

    async def poll(self, keeper: ConfigurationKeeper) -> None:
        """Run one interval of a daemon's tasks."""
        answered = await keeper.poll(0.0)
        if not keeper.is_ready:
            await keeper.pull_from_peers()
        if answered:
            await keeper.write_outages(0.0)
        await keeper.catch_up()

    async def test_outage_spreads_and_is_stored_once(self) -> None:
        """Apply an outage on all daemons and new ones; store one version."""
        fleet = await self.start_fleet()
        fleet.cut_links = {frozenset(("d0", "d2"))}
        fleet.keepers_by_id["d0"].start_outage(OUTAGE)
        self.assertEqual([True] * 3, self.zones_out(fleet))
        self.assertEqual([1, 1, 1], fleet.versions())
        await self.poll(fleet.start("d3"))
        self.assertEqual([True] * 4, self.zones_out(fleet))
        await self.heal(fleet)
        self.assertEqual([2] * 4, fleet.versions())
        self.assertEqual([True] * 4, self.zones_out(fleet))
        record, _ = await ConfigurationStore(self.table).history(0, 2)
        self.assertEqual(("operator", "flood"), (record.who, record.note))
        for keeper in fleet.keepers_by_id.values():
            self.assertEqual((), keeper.in_force.value.outages)
        # A resolved outage that still arrives has no effect.
        fleet.keepers_by_id["d1"].add_outages((OUTAGE,))
        self.assertEqual((), fleet.keepers_by_id["d1"].in_force.value.outages)
        await self.commit(StateProposal("zones", "lienz", AdminState.IN))
        await self.heal(fleet)
        self.assertEqual([False] * 4, self.zones_out(fleet))
        self.assertEqual([3] * 4, fleet.versions())
        # A later document keeps the entry that resolves the outage.
        other = DOCUMENT.replace('"tyrol"', '"north"')
        await self.commit(DocumentProposal(read_toml(other).document, 3))
        replica = await ConfigurationStore(self.table).load()
        self.assertEqual("written", replica.entries_by_key[OUTAGE.key].value["result"])

    async def test_two_daemons_store_one_version(self) -> None:
        """Return the version that another daemon stored at the same time."""
        await self.advance()
        store = ConfigurationStore(self.table)
        seen = await store.load()
        for _ in range(2):
            written = await commit_outage(store, OUTAGE, seen, 0.0)
            self.assertEqual(2, written.version)
        self.assertEqual(2, (await store.load()).head.version)

    async def test_faults_of_store(self) -> None:
        """Store exactly one version despite each fault of the store."""
        for faults in (
            ((LOSE, "table.transact", 1),),
            ((LOSE, "table.transact", 3),),
            ((REFUSE, "table.transact", 2),),
            ((PlatformFaultKind.DROP, "table.transact", 2),),
            ((LOSE, "table.transact", 1), (REFUSE, "table.*", 5)),
        ):
            with self.subTest(faults=faults):
                self.table, self.applied = MemoryTable(), 0
                fleet = await self.start_fleet()
                fleet.keepers_by_id["d0"].start_outage(OUTAGE)
                self.table.faults.clear()
                for kind, operation, count in faults:
                    self.table.faults.add(kind, operation, count=count)
                for keeper in fleet.keepers_by_id.values():
                    await self.poll(keeper)
                await self.heal(fleet)
                self.assertEqual([2] * 3, fleet.versions())
                self.assertEqual([True] * 3, self.zones_out(fleet))

    async def test_concurrent_version_does_not_revert_outage(self) -> None:
        """Keep the zone out under versions that do not contain the outage."""
        fleet = await self.start_fleet()
        fleet.keepers_by_id["d0"].start_outage(OUTAGE)
        self.table.faults.clear()
        await self.commit(StateProposal("zones", "innsbruck", AdminState.IN))
        await self.commit(StateProposal("zones", "lienz", AdminState.IN))
        other = DOCUMENT.replace('"tyrol"', '"north"')
        await self.commit(DocumentProposal(read_toml(other).document, 1))
        for keeper in fleet.keepers_by_id.values():
            await keeper.poll(0.0)
            self.assertEqual([True] * 3, self.zones_out(fleet))
        await self.heal(fleet)
        self.assertEqual([True] * 3, self.zones_out(fleet))
        self.assertEqual([3] * 3, fleet.versions())

    async def test_operator_withdraws_outage(self) -> None:
        """Take the zone back in by a version that resolves the outage."""
        fleet = await self.start_fleet()
        fleet.keepers_by_id["d0"].start_outage(OUTAGE)
        self.table.faults.clear()
        store = ConfigurationStore(self.table)
        replica = await store.load()
        proposal = StateProposal("zones", "lienz", AdminState.IN)
        edit = await store.edit(proposal, replica)
        edit = with_resolutions(edit, (OUTAGE,), WITHDRAWN)
        await store.commit(Commit(edit, Author("operator"), "in", 0.0), replica)
        await self.heal(fleet)
        self.assertEqual([False] * 3, self.zones_out(fleet))
        self.assertEqual([2] * 3, fleet.versions())

    async def test_outage_of_removed_zone_is_resolved(self) -> None:
        """Stop retrying to store an outage whose zone was removed."""
        fleet = await self.start_fleet()
        fleet.keepers_by_id["d0"].start_outage(OUTAGE)
        self.table.faults.clear()
        fewer = DOCUMENT.replace('[zones.lienz]\nregion = "tyrol"\n', "")
        await self.commit(DocumentProposal(read_toml(fewer).document, 1))
        await self.heal(fleet)
        self.assertEqual([3] * 3, fleet.versions())
        for keeper in fleet.keepers_by_id.values():
            self.assertEqual((), keeper.in_force.value.outages)

    async def test_invalid_outages_are_refused(self) -> None:
        """Refuse unknown zones, and the last zone unless it is forced."""
        fleet = await self.start_fleet()
        keeper = fleet.keepers_by_id["d0"]
        unknown = Outage("o2", "zones", "ghost", "operator")
        self.assertRaises(DocumentError, keeper.start_outage, unknown)
        keeper.start_outage(OUTAGE)
        last = Outage("o3", "zones", "innsbruck", "operator")
        self.assertRaises(DocumentInvalid, keeper.start_outage, last)
        keeper.start_outage(last, force=True)
        keeper.start_outage(Outage("o4", "hosts", "e1", "operator"))
        document = fleet.keepers_by_id["d2"].in_force.value.document
        self.assertFalse(document.is_zone_in_service("innsbruck"))
        self.assertIn("e1", document.hosts_by_id)
        for value in (None, [], {}, {"outage_id": "x"}, self._value(section="x")):
            self.assertRaises(ValueError, parse_outage, value)
        self.assertEqual(OUTAGE, parse_outage(self._value()))

    def _value(self, **changes: str) -> dict[str, str]:
        value = {
            "outage_id": "o1",
            "section": "zones",
            "item_id": "lienz",
            "who": "operator",
            "note": "flood",
        }
        return {**value, **changes}

    async def test_random_histories(self) -> None:
        """Combine outages, cuts, faults and restarts; none is lost."""
        for seed in range(25):
            with self.subTest(seed=seed):
                self.table, self.applied = MemoryTable(), 0
                await self._run_history(random.Random(seed))

    async def _run_history(self, rng: random.Random) -> None:
        fleet = await self.start_fleet(4)
        ids = sorted(fleet.keepers_by_id)
        out_ids: set[str] = set()
        for step in range(80):
            daemon_id = rng.choice(ids)
            keeper = fleet.keepers_by_id[daemon_id]
            action = rng.randrange(6)
            if action == 0:
                fleet.cut_links ^= {frozenset((daemon_id, rng.choice(ids)))}
            elif action == 1 and step > 20 and keeper.is_ready:
                keeper.add_outages((OUTAGE,))
            elif action == 2:
                self.table.faults.clear()
                kind = rng.choice((REFUSE, LOSE))
                self.table.faults.add(kind, count=rng.randrange(1, 9))
            elif action == 3 and daemon_id not in out_ids:
                fleet.start(daemon_id)
            else:
                await self.poll(keeper)
            is_out_by_id = dict(zip(ids, self.zones_out(fleet), strict=True))
            for peer_id in out_ids:
                self.assertTrue(is_out_by_id[peer_id], peer_id)
            out_ids |= {peer_id for peer_id, out in is_out_by_id.items() if out}
        await self.heal(fleet)
        await self.heal(fleet)
        if out_ids:
            self.assertEqual([True] * 4, self.zones_out(fleet))
            self.assertEqual([2] * 4, fleet.versions())
