"""Publish each owner's load to every daemon, no more often than useful.

A load sum is published again when it changed by a step, not at a fixed rate:
with 340 owners, one sum a second from each would exceed all other traffic of
the links.
"""

from collections.abc import Callable

from attrs import define, field, frozen, validators
from reactivex.abc import DisposableBase

from ..policy.messages import LoadSum
from .facts import Fact, FactChange, FactStore, FactVersion, Topic, decode_value

LOAD_LIFETIME_SECONDS = 100.0
ESTIMATED_FACT_BYTES = 150
# Share of the interval: a queue that forms is published sooner than a change
# of utilization.
URGENT_INTERVAL_RATIO = 0.25


@frozen
class LoadRow:
    """Hold the load sum of an owner's engines of a model in a zone."""

    model: str
    zone: str
    in_flight: int
    queued: int
    slots: int
    engines: int
    ejected: int = 0

    @property
    def utilization(self) -> float:
        """Return the share of the slots that are in use."""
        return self.in_flight / self.slots if self.slots else 0.0

    @property
    def urgent_state(self) -> tuple[int, int, int, bool]:
        """Return the values whose changes are published sooner."""
        return (self.slots, self.engines, self.ejected, self.queued > 0)


@frozen
class OwnerLoad:
    """Hold all load sums of one owner."""

    rows: tuple[LoadRow, ...]


LOAD_TOPIC = Topic("load", OwnerLoad, LOAD_LIFETIME_SECONDS, is_frequent=True)


@frozen
class LoadSettings:
    """Configure when sums are published again; intervals are in seconds.

    The sums of all owners together may use ``bytes_per_second`` at each
    daemon, so the interval grows with the number of owners.
    """

    utilization_step: float = field(default=0.125, validator=validators.gt(0))
    min_interval_seconds: float = 1.0
    max_interval_seconds: float = 40.0
    bytes_per_second: float = 3000.0

    def interval(self, owner_count: int) -> float:
        """Return the minimum seconds between two publications of an owner."""
        budgeted = owner_count * 2 * ESTIMATED_FACT_BYTES / self.bytes_per_second
        return min(max(self.min_interval_seconds, budgeted), self.max_interval_seconds)


@define
class LoadPublisher:
    """Publish this owner's sums when they changed enough or grow old."""

    store: FactStore
    owner_id: str
    incarnation: int
    settings: LoadSettings = field(factory=LoadSettings)
    _rows_by_place: dict[tuple[str, str], LoadRow] = field(factory=dict)
    _published_at: float = float("-inf")
    _number: int = 0

    def publish_if_due(
        self, sums: tuple[LoadSum, ...], now: float, owner_count: int = 1
    ) -> bool:
        """Publish the current sums if due; return whether they were."""
        rows_by_place = {(each.model, each.zone): _to_row(each) for each in sums}
        interval = self.settings.interval(owner_count)
        if not self._is_due(rows_by_place, now - self._published_at, interval):
            return False
        self._rows_by_place, self._published_at = rows_by_place, now
        self._number += 1
        version = FactVersion(self.incarnation, self._number)
        load = OwnerLoad(tuple(rows_by_place.values()))
        return self.store.publish(LOAD_TOPIC, self.owner_id, load, version, now)

    def _is_due(
        self,
        rows_by_place: dict[tuple[str, str], LoadRow],
        age_seconds: float,
        interval: float,
    ) -> bool:
        if age_seconds >= self.settings.max_interval_seconds:
            return True
        published, rows = self._rows_by_place, rows_by_place
        if published.keys() != rows.keys() or any(
            published[place].urgent_state != row.urgent_state
            for place, row in rows.items()
        ):
            min_seconds = self.settings.min_interval_seconds
            return age_seconds >= max(min_seconds, URGENT_INTERVAL_RATIO * interval)
        return age_seconds >= interval and any(
            abs(published[place].utilization - row.utilization)
            >= self.settings.utilization_step
            for place, row in rows.items()
        )


def decode_load_sums(fact: Fact) -> tuple[LoadSum, ...]:
    """Return the load sums of a load fact; raise MalformedFrame."""
    load: OwnerLoad = decode_value(fact, LOAD_TOPIC)
    return tuple(
        LoadSum(
            model=row.model,
            zone=row.zone,
            owner_id=fact.key,
            in_flight=row.in_flight,
            queued=row.queued,
            slots=row.slots,
            engines=row.engines,
            version=fact.number,
            ejected=row.ejected,
        )
        for row in load.rows
    )


def subscribe_to_load_sums(
    store: FactStore, own_id: str, observe: Callable[[LoadSum], None]
) -> DisposableBase:
    """Call ``observe`` with each load sum that another owner publishes."""

    def observe_change(change: FactChange) -> None:
        if change.fact.key != own_id:
            for load_sum in decode_load_sums(change.fact):
                observe(load_sum)

    return store.observe(LOAD_TOPIC).subscribe(observe_change)


def _to_row(load_sum: LoadSum) -> LoadRow:
    return LoadRow(
        load_sum.model,
        load_sum.zone,
        load_sum.in_flight,
        load_sum.queued,
        load_sum.slots,
        load_sum.engines,
        load_sum.ejected,
    )
