"""Test that the gateway survives a store that returns from an older copy."""

import asyncio

import testtools

from teaselpond.gateway.applying import StoreApplier
from teaselpond.gateway.changes import EngineListed, EngineMissing
from teaselpond.gateway.departures import REMINDED_SECONDS
from teaselpond.gateway.engines import EngineState
from teaselpond.gateway.journal import Journal
from teaselpond.gateway.routing_state import ENTRY_RETURN_SECONDS, RoutingState
from teaselpond.gateway.rowcache import RowCache
from teaselpond.gateway.rows import Page, Row
from teaselpond.gateway.tables import Table
from teaselpond.platform.entries import decode_change
from teaselpond_standins.platform.operator import wire_configuration
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.exchanges import SilentJournal
from teaselpond_standins.testing.gateways import GatewayFleet, make_engine


def make_page(*rows: Row, version: int, era: int, seconds: float = 50.0) -> Page:
    """Return a page of the store."""
    return Page(rows, version, seconds, False, era)


class RestoredCacheTests(testtools.TestCase):
    """Merge rows of a store whose versions went back."""

    def setUp(self) -> None:
        super().setUp()
        self.cache = RowCache()
        rows = (Row("a", b"lost", 41), Row("b", b"kept", 30), Row("c", b"new", 40))
        self.cache.merge_page(make_page(*rows, version=41, era=1), True)
        rows = (Row("a", b"old", 20), Row("b", b"kept", 30))
        self.restored = make_page(*rows, version=35, era=2)

    def test_restored_rows_replace_newer_ones(self) -> None:
        """Rows of the copy replace those with higher versions."""
        changed = self.cache.merge_page(self.restored, True)
        self.assertEqual([Row("a", b"old", 20), Row("c", None, 35)], changed)
        self.assertEqual(
            (2, 35, 35),
            (self.cache.era, self.cache.version, self.cache.newest_row_version),
        )

    def test_version_given_out_again(self) -> None:
        """A row with the same version but other content is a change."""
        self.cache.merge_page(self.restored, True)
        row = Row("a", b"again", 41)
        changed = self.cache.merge_page(make_page(row, version=41, era=2), False)
        self.assertEqual([row], changed)

    def test_rows_of_an_earlier_era(self) -> None:
        """Late rows of the earlier era change nothing."""
        self.cache.merge_page(self.restored, True)
        late = make_page(Row("a", b"late", 42), version=42, era=1)
        self.assertEqual([], self.cache.merge_page(late, False))
        self.assertEqual([], self.cache.merge_changes(35, late))
        self.assertEqual((2, 35), (self.cache.era, self.cache.version))

    def test_changes_of_a_new_era(self) -> None:
        """Changes alone do not begin an era; the whole table is needed."""
        changes = make_page(Row("a", b"x", 36), version=36, era=2)
        self.assertEqual([], self.cache.merge_changes(35, changes))
        self.assertEqual((1, 41), (self.cache.era, self.cache.version))


class RestoredApplierTests(testtools.TestCase):
    """Apply the state of a restored store."""

    def setUp(self) -> None:
        super().setUp()
        self.routing_state = RoutingState()
        journal: Journal = SilentJournal("", 0)
        self.applier = StoreApplier(self.routing_state, journal, decode)
        self.configure("1", version=10, era=1, now=10.0)

    def configure(self, value: str, *, version: int, era: int, now: float) -> None:
        """Apply a whole operator's table that evacuates a zone, or none."""
        rows = (Row(f"evacuate/{value}", b"{}", version),) if value else ()
        page = make_page(*rows, version=version, era=era, seconds=now)
        self.applier.apply(Table.OPERATOR, page, True, now, now)

    def test_lost_evacuation_is_kept_for_a_time(self) -> None:
        """The operator evacuates the zone again, which takes some time."""
        self.configure("", version=5, era=2, now=20.0)
        self.assertEqual({"1"}, self.routing_state.evacuated_zones)
        self.routing_state.expire(20.1 + ENTRY_RETURN_SECONDS)
        self.assertEqual(set(), self.routing_state.evacuated_zones)

    def test_evacuation_written_again(self) -> None:
        """An evacuation that is written again stays."""
        self.configure("", version=5, era=2, now=20.0)
        self.configure("1", version=6, era=2, now=20.5)
        self.routing_state.expire(20.1 + ENTRY_RETURN_SECONDS)
        self.assertEqual({"1"}, self.routing_state.evacuated_zones)

    def test_confirmation_does_not_get_younger(self) -> None:
        """A confirmation of the old era ages on in the new one."""
        self.assertEqual(2.0, self.routing_state.freshness.age(12.0))
        page = make_page(version=5, era=2, seconds=5000.0)
        self.applier.apply(Table.ENGINES, page, True, 12.0, 12.0)
        self.assertEqual(3.0, self.routing_state.freshness.age(13.0))

    def list_engine(self, state: EngineState, *, version: int, era: int) -> None:
        """Apply a whole engines' table with one engine."""
        row = Row("e1", state.value.encode(), version)
        page = make_page(row, version=version, era=era, seconds=11.0)
        self.applier.apply(Table.ENGINES, page, True, 11.0, 11.0)

    def test_draining_engine_stays_draining(self) -> None:
        """An old entry does not make a leaving engine ready again."""
        self.list_engine(EngineState.DRAINING, version=11, era=1)
        self.list_engine(EngineState.READY, version=9, era=2)
        record = self.routing_state.engines_by_id["e1"]
        self.assertEqual(EngineState.DRAINING, record.engine.state)

    def test_departed_engine_stays_away(self) -> None:
        """An old entry does not bring back an engine that has left."""
        self.list_engine(EngineState.READY, version=11, era=1)
        gone = make_page(Row("e1", None, 12), version=12, era=1, seconds=11.5)
        self.applier.apply(Table.ENGINES, gone, False, 11.5, 11.5)
        self.list_engine(EngineState.READY, version=9, era=2)
        self.assertEqual({}, self.routing_state.engines_by_id)
        again = make_page(Row("e1", b"ready", 13), version=13, era=2, seconds=12.0)
        self.applier.apply(Table.ENGINES, again, False, 12.0, 12.0)
        self.assertIn("e1", self.routing_state.engines_by_id)

    def test_missing_engine_may_return(self) -> None:
        """An engine that the copy lacks is kept until it is listed again."""
        self.list_engine(EngineState.READY, version=11, era=1)
        page = make_page(version=9, era=2, seconds=12.0)
        self.applier.apply(Table.ENGINES, page, True, 12.0, 12.0)
        self.assertIn("e1", self.routing_state.engines_by_id)
        self.routing_state.expire(12.1 + ENTRY_RETURN_SECONDS)
        self.assertEqual({}, self.routing_state.engines_by_id)


def decode(table: Table, row: Row):
    """Decode an operator's row, or an engine's, whose value is its state."""
    if table is Table.OPERATOR:
        return decode_change(table, row)
    if row.value is None:
        return EngineMissing(row.key)
    return EngineListed(make_engine(row.key, state=EngineState(row.value.decode())))


class StartedHostTests(testtools.TestCase):
    """Start a host after an upstream has left, and restore the store."""

    def setUp(self) -> None:
        super().setUp()
        self.running = self.make_applier()
        self.started = self.make_applier()
        self.read(self.running, Row("e1", b"ready", 10), version=10, now=10.0)

    def make_applier(self) -> StoreApplier:
        """Return the applier of a process that knows nothing."""
        return StoreApplier(RoutingState(), SilentJournal("", 0), decode)

    def read(
        self,
        applier: StoreApplier,
        *rows: Row,
        version: int,
        now: float,
        era: int = 1,
        is_whole: bool = True,
    ) -> None:
        """Let a host read rows of the engines' table."""
        page = make_page(*rows, version=version, era=era, seconds=now)
        applier.apply(Table.ENGINES, page, is_whole, now, now)

    def remind(self, now: float) -> None:
        """Send a heartbeat of the running host to the started one."""
        packed = self.running.routing_state.departures.pack_reminders(now)
        state = self.started.routing_state
        state.merge_departures(b"", packed, self.running.era, now)

    def is_used(self, applier: StoreApplier) -> bool:
        """Return whether a host sends calls to the upstream."""
        record = applier.routing_state.engines_by_id.get("e1")
        return record is not None and record.engine.state is EngineState.READY

    def remove(self, now: float) -> None:
        """Remove the upstream's entry while only one host runs."""
        removed = Row("e1", None, 11)
        self.read(self.running, removed, version=11, now=now, is_whole=False)

    def restore(self, applier: StoreApplier, now: float) -> None:
        """Let a host read a copy in which the upstream is ready."""
        self.read(applier, Row("e1", b"ready", 10), version=10, now=now, era=2)

    def test_reminded_of_draining_upstream(self) -> None:
        """The peer's word holds against the older entry, now or later."""
        draining = Row("e1", b"draining", 11)
        self.read(self.running, draining, version=11, now=11.0)
        self.restore(self.started, 12.0)
        self.assertTrue(self.is_used(self.started))
        self.remind(12.2)
        self.assertFalse(self.is_used(self.started))
        self.restore(self.started, 13.0)
        self.assertFalse(self.is_used(self.started))

    def test_reminded_of_removal_before_restore(self) -> None:
        """A host that never saw the entry does not take it for a new one."""
        self.remove(11.0)
        self.read(self.started, version=11, now=11.1)
        self.remind(11.5)
        self.restore(self.started, 12.0)
        self.assertFalse(self.is_used(self.started))

    def test_reminded_of_removal_after_restore(self) -> None:
        """A host that started after the restore learns which entry is old."""
        self.remove(11.0)
        self.restore(self.running, 12.0)
        self.restore(self.started, 12.1)
        self.remind(12.3)
        self.assertFalse(self.is_used(self.started))

    def test_entry_that_is_written_again(self) -> None:
        """An upstream that lives writes its entry anew, and is used."""
        self.remove(11.0)
        self.restore(self.running, 12.0)
        self.restore(self.started, 12.1)
        self.remind(12.3)
        again = Row("e1", b"ready", 14)
        for applier in (self.running, self.started):
            self.read(applier, again, version=14, now=13.0, era=2, is_whole=False)
            self.remind(13.2)
            self.assertTrue(self.is_used(applier))

    def test_removed_upstream_that_returned_before_the_restore(self) -> None:
        """An entry that lapsed and was written again is not outdated."""
        self.remove(11.0)
        self.remind(11.1)
        returned = Row("e1", b"ready", 12)
        for applier in (self.running, self.started):
            self.read(applier, returned, version=12, now=11.5)
        for applier in (self.running, self.started):
            self.read(applier, returned, version=12, now=12.0, era=2)
            self.remind(12.2)
            self.assertTrue(self.is_used(applier))

    def test_reminders_end(self) -> None:
        """Two hosts that remind each other soon stop."""
        self.remove(11.0)
        self.remind(11.1)
        self.remind(40.0)
        for applier in (self.running, self.started):
            departures = applier.routing_state.departures
            self.assertEqual(b"", departures.pack_reminders(11.1 + REMINDED_SECONDS))


class RestoredFleetTests(AsyncTestCase):
    """Restore the store of running gateways."""

    async def wait_for_versions(self, fleet: GatewayFleet, version: int) -> None:
        """Wait until every gateway has the version in force."""
        for daemon in fleet.daemons:
            state = daemon.host.routing_state
            await self.wait_until(
                lambda state=state: state.configuration.version == version
            )

    async def wait_for_eras(self, fleet: GatewayFleet) -> None:
        """Wait until every gateway has read the store's newest era."""
        era = fleet.platform.rows.era
        for daemon in fleet.daemons:
            caches = daemon.host.applier.caches_by_table.values()
            await self.wait_until(
                lambda caches=caches: all(cache.era == era for cache in caches)
            )

    async def test_lost_configuration(self) -> None:
        """A lost configuration stays in force, and later ones are applied."""
        fleet = await self.enter(GatewayFleet(size=4))
        rows = fleet.platform.rows
        copy = rows.copy()
        workspaces = [{"Name": "w2", "ApiKeys": ["key-2"]}]
        for number in range(5):
            await rows.put_json("op", f"other-{number}", {})
        await rows.put_json("op", "config", wire_configuration(2, Tenants=workspaces))
        await self.wait_for_versions(fleet, 2)
        await rows.restore(copy)
        await self.wait_for_eras(fleet)
        for number in range(4):
            async with fleet.call("/orders/x", number=number) as response:
                self.assertEqual(401, response.status)
        # A host that starts now gets it from its peers.
        fleet.is_first_start = False
        late = await fleet.start_gateway(4)
        await self.wait_until(
            lambda: late.host.routing_state.configuration.version == 2
        )
        await rows.put_json("op", "config", wire_configuration(3, Tenants=workspaces))
        await self.wait_for_versions(fleet, 3)

    async def test_host_without_the_store(self) -> None:
        """A host that reads from peers alone follows them into the new era."""
        fleet = await self.enter(GatewayFleet(size=5))
        rows = fleet.platform.rows
        copy = rows.copy()
        for number in range(9):
            await rows.put_json("op", f"other-{number}", {})
        for _ in range(2):
            await rows.restore(copy)
            await self.wait_for_eras(fleet)
        await rows.put_json("op", "config", wire_configuration(2))
        await self.wait_for_versions(fleet, 2)

    async def test_registration_is_written_again(self) -> None:
        """A host that the copy lacks registers again."""
        fleet = await self.enter(GatewayFleet())
        rows = fleet.platform.rows
        await self.wait_until(lambda: rows.value("members", "g0") is not None)
        await rows.remove("members", "g0")
        copy = rows.copy()
        await rows.restore(copy)
        await self.wait_until(lambda: rows.value("members", "g0") is not None)

    async def test_restore_while_starting(self) -> None:
        """A restore between the reads of a start leaves no rows of before."""
        fleet = await self.enter(GatewayFleet())
        rows = fleet.platform.rows
        copy = rows.copy()
        await rows.put("op", "evacuate/zone-z", b"{}")
        starting = asyncio.create_task(fleet.start_gateway(1))
        await asyncio.sleep(0.11)
        await rows.restore(copy)
        await starting
        await self.wait_for_eras(fleet)
        for daemon in fleet.daemons:
            state = daemon.host.routing_state
            await self.wait_until(lambda state=state: not state.evacuated_zones)
