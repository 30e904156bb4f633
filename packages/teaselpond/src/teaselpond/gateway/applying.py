"""Apply rows of the platform's store to this host's routing state."""

import asyncio
import functools
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from attrs import define, field

from .changes import (
    Change,
    ConfigurationWritten,
    EngineListed,
    EngineMissing,
    EntryIgnored,
    EntryUnreadable,
    RolloutOrdered,
    RolloutWithdrawn,
    ZoneEvacuated,
    ZoneReturned,
)
from .engines import Engine, EngineState
from .journal import Journal
from .rollouts.tracker import Rollouts
from .routing_state import RoutingState
from .rowcache import UNKNOWN_VERSION, RowCache
from .rows import Page, Row
from .tables import FOLLOWED_TABLES, Table


@define(eq=False)
class StoreApplier:
    """Apply rows of the store to the routing state, and log each change.

    ``completed`` is set once every followed table is known. ``restores``
    counts the returns of the store from an older copy.
    ``newest_configuration_row`` holds the configuration in force, also if a
    restored store has lost it.
    """

    routing_state: RoutingState
    journal: Journal
    decode: Callable[[Table, Row], Change]
    caches_by_table: dict[Table, RowCache] = field(init=False)
    completed: asyncio.Event = field(factory=asyncio.Event)
    era: int = 0
    restores: int = 0
    newest_configuration_row: Row | None = None
    rollouts: Rollouts = field(factory=Rollouts)
    _unreadable_keys: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.caches_by_table = {table: RowCache() for table in FOLLOWED_TABLES}

    def apply(
        self, table: Table, page: Page, is_whole: bool, asked_at: float, now: float
    ) -> list[Row]:
        """Apply a response of the store; return the rows that changed.

        A response for the operator's table confirms the configuration as of
        its ``store_seconds``. ``asked_at`` is when it was requested. Ignore
        responses of an earlier era of the store.
        """
        if page.era < self.era:
            return []
        cache = self.caches_by_table[table]
        is_restored = page.era > cache.era and cache.version != UNKNOWN_VERSION
        if page.era > self.era:
            self._start_era(page, now)
        self.record_store_answer(page.store_seconds, now)
        rows = cache.merge_page(page, is_whole)
        if cache.era != page.era:
            return []
        is_readable = self._apply_rows(
            table, rows, now, is_whole=is_whole, is_restored=is_restored
        )
        self.routing_state.freshness.update_offset(asked_at, page.store_seconds)
        if table is Table.OPERATOR and is_readable:
            self.routing_state.freshness.confirm(page.store_seconds)
        if UNKNOWN_VERSION not in self.versions():
            self.completed.set()
        return rows

    def apply_changes(self, table: Table, after: int, page: Page, now: float) -> int:
        """Apply changes sent by a peer; return the number of changed rows.

        Changes of another era than the known one are ignored.
        """
        if page.era != self.era:
            return 0
        self.record_store_answer(page.store_seconds, now)
        rows = self.caches_by_table[table].merge_changes(after, page)
        self._apply_rows(table, rows, now)
        return len(rows)

    def apply_configuration_row(self, row: Row, now: float) -> None:
        """Apply the newest configuration that a peer has, if it is newer.

        The store may have lost it in a restore.
        """
        apply_change(self.decode(Table.OPERATOR, row), self, now, row=row)

    def _start_era(self, page: Page, now: float) -> None:
        """Begin a new era of the store, unless it is the first one known."""
        if any(version != UNKNOWN_VERSION for version in self.versions()):
            self.restores += 1
            self.routing_state.freshness.start_era()
            self.routing_state.outages.record_restore(page.store_seconds)
            self.log_change(
                "store-restored",
                now,
                era=page.era,
                was_era=self.era,
                version=page.version,
                was_versions=list(self.versions()),
            )
        self.era = page.era
        self.routing_state.departures.start_era(page.era)

    def record_store_answer(self, store_seconds: float, now: float) -> None:
        """Record that the store responded to some host at a time of its clock.

        Must be called before the rows of the response are applied: entries
        may have expired during an outage, and a missing one then does not
        mean that its engine stopped.
        """
        outage_seconds = self.routing_state.outages.record_answer(store_seconds)
        if outage_seconds is not None:
            self.log_change(
                "store-returned", now, away_seconds=round(outage_seconds, 3)
            )

    def merge_confirmation(
        self, store_seconds: float, row_versions: Sequence[int]
    ) -> None:
        """Confirm the configuration as of a peer's confirmation.

        Ignored unless this host knows the peer's newest operator row.
        """
        if self.caches_by_table[Table.OPERATOR].version >= row_versions[0]:
            self.routing_state.freshness.confirm(store_seconds)

    def row_versions(self) -> tuple[int, ...]:
        """Return the version of the newest row of each followed table."""
        return tuple(
            self.caches_by_table[table].newest_row_version for table in FOLLOWED_TABLES
        )

    def versions(self) -> tuple[int, ...]:
        """Return the known version of each followed table.

        All changes up to it are known.
        """
        return tuple(self.caches_by_table[table].version for table in FOLLOWED_TABLES)

    def comparable_versions(self) -> tuple[int, ...]:
        """Return the known version of each table in the newest era.

        It is unknown for a table that was not read since.
        """
        caches = (self.caches_by_table[table] for table in FOLLOWED_TABLES)
        return tuple(
            cache.version if cache.era == self.era else UNKNOWN_VERSION
            for cache in caches
        )

    def has_tables_of_one_era(self) -> bool:
        """Return whether all tables are of the newest era of the store."""
        return all(cache.era == self.era for cache in self.caches_by_table.values())

    def _apply_rows(
        self,
        table: Table,
        rows: Iterable[Row],
        now: float,
        *,
        is_whole: bool = False,
        is_restored: bool = False,
    ) -> bool:
        is_readable = True
        for row in rows:
            change = self.decode(table, row)
            is_readable &= not isinstance(change, EntryUnreadable)
            if is_restored and isinstance(change, ZoneReturned):
                # The operator evacuates the zone again.
                self.routing_state.lapse_evacuation(change.availability_zone)
                continue
            if is_restored and isinstance(change, RolloutWithdrawn):
                # The operator may order the roll-out again.
                self.rollouts.withdraw(change.service, now, is_lapsed=True)
                continue
            if isinstance(change, EngineListed) and self._is_outdated(
                change.engine, row.version, now, is_whole=is_whole
            ):
                self.log_change(
                    "entry-outdated",
                    now,
                    engine=change.engine.engine_id,
                    version=row.version,
                )
                continue
            apply_change(change, self, now, row=row)
        return is_readable

    def _is_outdated(
        self, engine: Engine, version: int, now: float, *, is_whole: bool
    ) -> bool:
        """Return whether an entry is older than its process's departure.

        A restored store may list it again in the first read of the table.
        """
        departures = self.routing_state.departures
        if is_whole and departures.was_removed(engine, now):
            departures.record_outdated(engine, version, now)
            return True
        return departures.is_outdated(engine, version)

    def log_change(self, event: str, now: float, **fields: Any) -> None:
        """Log a change of the routing state."""
        self.journal.write(event, now, **fields)

    def log_unreadable(self, change: EntryUnreadable, now: float) -> None:
        """Log an entry that cannot be decoded, once per key."""
        if change.key not in self._unreadable_keys:
            self._unreadable_keys.add(change.key)
            self.log_change(
                "entry-unreadable", now, key=change.key, reason=change.reason
            )


@functools.singledispatch
def apply_change(
    change: Change, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    """Apply one change to the routing state.

    ``row`` is the one that the change was decoded from.
    """
    raise TypeError(f"expected a Change, got {change!r}")


@apply_change.register
def _(
    change: ConfigurationWritten,
    applier: StoreApplier,
    now: float,
    row: Row | None = None,
) -> None:
    configuration = change.configuration
    is_newer = applier.routing_state.update_configuration(configuration)
    if is_newer:
        applier.newest_configuration_row = row
    applier.log_change(
        "configuration-in-force" if is_newer else "configuration-not-newer",
        now,
        version=configuration.version,
        routes=len(configuration.routes),
        keys=len(configuration.workspaces_by_key),
    )


@apply_change.register
def _(
    change: ZoneEvacuated, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    routing_state = applier.routing_state
    zones = routing_state.evacuated_zones | {change.availability_zone}
    routing_state.update_evacuated_zones(zones, now)
    routing_state.confirm_evacuation(change.availability_zone)
    applier.log_change("zone-evacuated", now, zone=change.availability_zone)


@apply_change.register
def _(
    change: ZoneReturned, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    routing_state = applier.routing_state
    zones = routing_state.evacuated_zones - {change.availability_zone}
    if routing_state.update_evacuated_zones(zones, now):
        applier.log_change("zone-returned", now, zone=change.availability_zone)


@apply_change.register
def _(
    change: EngineListed, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    engine = change.engine
    version = row.version if row is not None else 0
    before = applier.routing_state.update_engine(engine, now, version)
    if before is None or before.engine != engine or before.missing_since is not None:
        applier.log_change(
            "engine-listed",
            now,
            engine=engine.engine_id,
            address=engine.address,
            service=engine.service,
            zone=engine.availability_zone,
            state=engine.state.value,
            cold_seconds=engine.cold_seconds,
            was=before.engine.state.value if before else None,
        )


@apply_change.register
def _(
    change: EngineMissing, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    record = applier.routing_state.engines_by_id.get(change.engine_id)
    if record is None:
        return
    is_removed = applier.routing_state.mark_engine_missing(change.engine_id, now)
    applier.log_change(
        "engine-gone" if is_removed else "engine-lapsed",
        now,
        engine=change.engine_id,
        was_draining=record.engine.state is EngineState.DRAINING,
    )


@apply_change.register
def _(
    change: EntryUnreadable, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    applier.log_unreadable(change, now)
    if change.key in applier.routing_state.engines_by_id:
        apply_change(EngineMissing(change.key), applier, now)


@apply_change.register
def _(
    change: EntryIgnored, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    return


@apply_change.register
def _(
    change: RolloutOrdered, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    applier.rollouts.record_order(
        change.order,
        row.version if row is not None else 0,
        applier.era,
        now,
        unconfirmed_seconds=applier.routing_state.freshness.age(now),
        is_found=not applier.completed.is_set(),
    )


@apply_change.register
def _(
    change: RolloutWithdrawn, applier: StoreApplier, now: float, row: Row | None = None
) -> None:
    applier.rollouts.withdraw(change.service, now, is_lapsed=False)
