"""Check commits of the configuration, with faults and races."""

import asyncio
from unittest import mock

import testtools

from teaselpond_model.configuration import (
    AdminState,
    ConfigurationConflict,
    DocumentInvalid,
    EntryKey,
    HistoryLost,
    read_toml,
)
from teaselpond_model.configuration.exceptions import CommitUnsettled, DocumentError
from teaselpond_model.configuration.proposals import (
    ConflictScope,
    DocumentProposal,
    Edit,
    Proposal,
    RollbackProposal,
    StateProposal,
)
from teaselpond_model.configuration.store import (
    Author,
    Commit,
    CommitResult,
    ConfigurationStore,
)
from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_standins.platform import MemoryTable, PlatformFaultKind
from teaselpond_standins.testing import AsyncTestCase

DOCUMENT = """
[zones.innsbruck]
region = "tyrol"
[zones.lienz]
region = "tyrol"
[capacity.pools.fitting]
model = "fitting"
hosts = ["e1", "e2"]
[models.fitting]
version = "3"
[workspaces.axams]
models = ["fitting"]
"""
IN, OUT = AdminState.IN, AdminState.OUT


async def no_sleep(seconds: float) -> None:
    """Yield to the event loop with_workspace_model waiting."""
    await asyncio.sleep(0)


def document(*changes: tuple[str, str]):
    """Return the document with some text replaced."""
    text = DOCUMENT
    for old, new in changes:
        assert old in text
        text = text.replace(old, new)
    return read_toml(text).document


class ConfigurationStoreTestCase(AsyncTestCase):
    """Provide operators that share one table."""

    def setUp(self) -> None:
        super().setUp()
        self.table = MemoryTable()
        self.count = 0

    def operator(self) -> ConfigurationStore:
        """Return a configuration store on the shared table."""
        return ConfigurationStore(self.table, sleep=no_sleep, jitter=lambda: 0.5)

    async def commit(
        self, proposal: Proposal, *, force: bool = False, base=None, store=None
    ) -> CommitResult:
        """Commit a proposal made on the basis of a replica."""
        store = store or self.operator()
        base = base or await store.load()
        edit = await store.edit(proposal, base)
        self.count += 1
        author = Author(f"operator-{self.count}", "why")
        commit = Commit(edit, author, f"apply-{self.count}", 100.0, force=force)
        return await store.commit(commit, base)

    async def commit_first_version(self) -> None:
        """Commit the first version."""
        await self.commit(DocumentProposal(document(), 0))

    async def accepted_document(self):
        """Return the document of the accepted version."""
        return (await self.operator().load()).document


class CommitTests(ConfigurationStoreTestCase):
    """Check commits one after another."""

    async def test_versions_follow_each_other(self) -> None:
        """Check versions, an empty commit and the history."""
        await self.commit_first_version()
        again = await self.commit(DocumentProposal(document(), 1))
        self.assertEqual((1, ()), (again.version, again.changes))
        newer = document(('"3"', '"4"'), ("[zones.lienz]", "[zones.imst]"))
        second = await self.commit(DocumentProposal(newer, 1), force=True)
        self.assertEqual(2, second.version)
        self.assertEqual(newer, await self.accepted_document())
        records = await self.operator().history(0, 2)
        self.assertEqual([2, 1], [record.version for record in records])
        self.assertEqual(("operator-3", "why"), (records[0].who, records[0].note))
        self.assertEqual(("zones", "models"), records[0].sections)

    async def test_rollback_is_a_new_version(self) -> None:
        """Check that a rollback commits an earlier content again."""
        await self.commit_first_version()
        for state in (OUT, IN, OUT):
            await self.commit(StateProposal("zones", "lienz", state))
        await self.commit(StateProposal("hosts", "e1", OUT))
        back = await self.commit(RollbackProposal(1))
        self.assertEqual(6, back.version)
        self.assertEqual(document(), await self.accepted_document())
        for version in (0, 7, -1):
            proposal = DocumentProposal(document(), version)
            if version == 0:
                continue
            with testtools.ExpectedException(HistoryLost):
                await self.commit(proposal)

    async def test_service_states(self) -> None:
        """Check taking zones and hosts out of service and back in."""
        await self.commit_first_version()
        await self.commit(StateProposal("zones", "lienz", OUT))
        await self.commit(StateProposal("hosts", "e9", OUT))
        accepted = await self.accepted_document()
        self.assertIs(OUT, accepted.zones_by_id["lienz"].state)
        self.assertFalse(accepted.is_host_in_service("e9", "innsbruck"))
        await self.commit(StateProposal("hosts", "e9", IN))
        self.assertTrue(
            (await self.accepted_document()).is_host_in_service("e9", "innsbruck")
        )
        with testtools.ExpectedException(DocumentError):
            await self.commit(StateProposal("zones", "ghost", OUT))

    async def test_unknown_keys_are_kept(self) -> None:
        """Check that a commit keeps the keys that a newer program added."""
        await self.commit_first_version()
        store = self.operator()
        base = await store.load()
        newer = {k: {**v, "added_later": 1} for k, v in base.values_by_key().items()}
        edit = Edit(1, base.values_by_key(), newer, ConflictScope.SECTION)
        await store.commit(Commit(edit, Author("newer"), "newer", 0.0), base)
        result = await self.commit(DocumentProposal(document(('"3"', '"4"')), 2))
        self.assertEqual(["models"], [c.key.section for c in result.changes])
        values = (await store.load()).values_by_key()
        self.assertEqual(1, values[EntryKey("zones", "lienz")]["added_later"])

    async def test_the_history_is_bounded(self) -> None:
        """Check that old records are deleted and their versions refused."""
        await self.commit_first_version()
        with mock.patch(f"{ConfigurationStore.__module__}.HISTORY_VERSIONS", 3):
            for state in (OUT, IN, OUT, IN):
                await self.commit(StateProposal("zones", "lienz", state))
        records = await self.operator().history(0, 5)
        self.assertEqual([5, 4, 3], [record.version for record in records])
        await self.commit(RollbackProposal(2))
        with testtools.ExpectedException(HistoryLost):
            await self.commit(RollbackProposal(1))

    async def test_refused_changes_write_nothing(self) -> None:
        """Check that invalid and unforced dangerous changes are refused."""
        await self.commit_first_version()
        version = self.table.version
        invalid = DocumentProposal(document(("[models.fitting]", "[models.x]")), 1)
        out = document(('"tyrol"', '"tyrol"\nstate = "out"'))
        for proposal, force in (
            (invalid, False),
            (invalid, True),
            (DocumentProposal(out, 1), False),
        ):
            with testtools.ExpectedException(DocumentInvalid):
                await self.commit(proposal, force=force)
        self.assertEqual(version, self.table.version)
        await self.commit(DocumentProposal(out, 1), force=True)
        self.assertEqual(out, await self.accepted_document())

    async def test_an_invalid_merge_is_refused(self) -> None:
        """Check that the result of merging two valid edits is checked."""
        await self.commit_first_version()
        with_pool = document(
            (
                "[models.fitting]",
                '[capacity.pools.two]\nmodel = "two"\nhosts = ["e3"]\n'
                '[models.two]\nversion = "1"\n[models.fitting]',
            )
        )
        await self.commit(DocumentProposal(with_pool, 1))
        with_workspace_model = document(
            (
                "[models.fitting]",
                '[capacity.pools.two]\nmodel = "two"\nhosts = ["e3"]\n'
                '[models.two]\nversion = "1"\n[models.fitting]',
            ),
            ('["fitting"]', '["fitting", "two"]'),
        )
        await self.commit(DocumentProposal(document(), 2), force=True)
        with testtools.ExpectedException(DocumentInvalid):
            await self.commit(DocumentProposal(with_workspace_model, 2))


class RaceTests(ConfigurationStoreTestCase):
    """Check operators that commit at the same time."""

    async def test_racing_operators(self) -> None:
        """Check that only overlapping edits conflict, with a diff."""
        model_4, model_5 = document(('"3"', '"4"')), document(('"3"', '"5"'))
        with_comment = document(("[zones.innsbruck]\n", "[zones.innsbruck]\n# \n"))
        with_key = document(
            ("[workspaces.axams]", f'[workspaces.axams]\nkey_digests = ["{"0" * 64}"]')
        )
        zone_out = StateProposal("zones", "lienz", OUT)
        zone_in = StateProposal("zones", "lienz", IN)
        other_out = StateProposal("zones", "innsbruck", OUT)
        host_out = StateProposal("hosts", "e1", OUT)
        region = document(
            ('[zones.lienz]\nregion = "tyrol"', '[zones.lienz]\nregion = "t"')
        )
        for first, second, both_pass in (
            (DocumentProposal(model_4, 1), DocumentProposal(model_5, 1), False),
            (DocumentProposal(model_4, 1), DocumentProposal(model_4, 1), True),
            (DocumentProposal(model_4, 1), DocumentProposal(with_key, 1), True),
            (DocumentProposal(with_comment, 1), zone_out, True),
            (zone_out, DocumentProposal(with_key, 1), True),
            (zone_out, DocumentProposal(region, 1), False),
            (zone_out, host_out, True),
            (zone_out, zone_out, True),
            (zone_out, other_out, True),
            (DocumentProposal(region, 1), zone_out, False),
            (zone_in, zone_out, True),
        ):
            self.table = MemoryTable()
            await self.commit_first_version()
            # Both operators load version 1 before either of them commits.
            base = await self.operator().load()
            results = await asyncio.gather(
                self.commit(first, base=base, force=True),
                self.commit(second, base=base, force=True),
                return_exceptions=True,
            )
            failed = [r for r in results if isinstance(r, Exception)]
            self.assertEqual(both_pass, not failed, (first, second))
            for error in failed:
                self.assertIsInstance(error, ConfigurationConflict)
                self.assertIn("what others changed:\n[", error.diff)
                self.assertIn("what this change wants:\n[", error.diff)

    async def test_many_operators(self) -> None:
        """Check that each of many racing changes gets its own version."""
        await self.commit_first_version()
        base = await self.operator().load()
        await asyncio.gather(
            *(
                self.commit(StateProposal("hosts", f"h{n}", OUT), base=base)
                for n in range(10)
            )
        )
        replica = await self.operator().load()
        self.assertEqual(11, replica.head.version)
        self.assertEqual(10, len(replica.document.hosts_by_id))
        records = await self.operator().history(0, 11)
        self.assertEqual(list(range(11, 0, -1)), [r.version for r in records])


class FaultTests(ConfigurationStoreTestCase):
    """Check commits during faults of the table service."""

    async def test_table_service_faults(self) -> None:
        """Check that a commit is applied once or raises the right error."""
        refuse, lose = PlatformFaultKind.REFUSE, PlatformFaultKind.LOSE_ANSWER
        drop, stale = PlatformFaultKind.DROP, PlatformFaultKind.STALE
        write, read = "table.transact", "table.*[nt]"
        for faults, expected in (
            (((refuse, write, 1),), StoreUnavailable),
            (((drop, write, 1),), 2),
            (((lose, write, 1),), 2),
            (((lose, write, 1), (refuse, read, 3)), 2),
            (((drop, write, 1), (refuse, write, 2)), 2),
            (((lose, write, 1), (stale, "table.scan", 2)), 2),
            (((lose, write, 1), (refuse, "table.scan", 99)), CommitUnsettled),
            (((drop, write, 99),), CommitUnsettled),
        ):
            self.table = MemoryTable()
            await self.commit_first_version()
            base = await self.operator().load()
            self.table.freeze_replica()
            for kind, operation, count in faults:
                self.table.faults.add(kind, operation, count=count)
            zone_out = StateProposal("zones", "lienz", OUT)
            if isinstance(expected, int):
                result = await self.commit(zone_out, base=base)
                self.assertEqual(expected, result.version, faults)
                self.assertEqual(1, len(result.changes), faults)
            else:
                failure = None
                try:
                    await self.commit(zone_out, base=base)
                except expected as error:
                    failure = error
                self.assertIsNotNone(failure, faults)
            self.table.faults.clear()
            versions = [r.version for r in await self.operator().history(0, 9)]
            self.assertEqual(sorted(set(versions), reverse=True), versions)
            self.assertLessEqual(len(versions), 2)

    async def test_lost_answer_and_a_later_version(self) -> None:
        """Check that a commit finds its version below another operator's."""
        await self.commit_first_version()
        base = await self.operator().load()
        self.table.faults.add(PlatformFaultKind.LOSE_ANSWER, "table.transact", count=1)
        store = self.operator()

        async def other_commits(seconds: float) -> None:
            store.sleep = no_sleep
            await self.commit(StateProposal("zones", "lienz", IN))

        store.sleep = other_commits
        zone_out = StateProposal("zones", "lienz", OUT)
        result = await self.commit(zone_out, base=base, store=store)
        self.assertEqual(2, result.version)
        self.assertIs(IN, (await self.accepted_document()).zones_by_id["lienz"].state)
