"""Keep the status of roll-outs in the store.

Any host may write a status, on the condition that the row is as it was read,
so one writer succeeds at a time and writing again changes nothing.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from teaselpond_model.exceptions import StoreUnavailable

from ..exceptions import MalformedEntry
from ..journal import Journal
from ..rows import Page, Row
from ..tables import Table
from .orders import RolloutState, RolloutStatus, Stage
from .rollout import Rollout
from .tracker import Rollouts

CHECK_SECONDS = 0.1
RETRY_SECONDS = 0.25
# A host that is no writer reads the status of an ended roll-out this long
# after its end, if no peer reported that it was written, and spread over more
# time in a larger fleet.
OVERDUE_SECONDS = 1.5
OVERDUE_SECONDS_PER_HOST = 0.05
# A host that hears nothing of a roll-out reads its status this often.
READ_SECONDS = 1.0


class StatusStore(Protocol):
    """Read rows, and write one on the condition of its version."""

    async def read(self, table: Table, start: str = "") -> Page:
        """Return a page of rows; raise StoreUnavailable."""

    async def put_if(
        self, table: Table, key: str, value: bytes, expected_version: int
    ) -> Page | None:
        """Write a row that has a version, 0 if it must not exist.

        Return None if it was written, otherwise the rows as they are. Raise
        StoreUnavailable.
        """


class StatusCodec(Protocol):
    """Translate status rows."""

    def status_key(self, service: str) -> str:
        """Return the key of a service's status row."""

    def encode_status(self, status: RolloutStatus) -> bytes:
        """Return the value of a status row."""

    def decode_status(self, value: bytes) -> RolloutStatus:
        """Read the value of a status row; raise MalformedEntry."""


@define(eq=False)
class StatusKeeper:
    """Read and write the status rows of this host's roll-outs.

    ``is_writer`` returns whether this host follows the store for the others,
    ``restores`` how often the store has returned from an older copy.
    """

    store: StatusStore
    codec: StatusCodec
    rollouts: Rollouts
    journal: Journal
    clock: Callable[[], float]
    is_writer: Callable[[], bool]
    restores: Callable[[], int]
    rng: random.Random = field(factory=random.Random)
    _overdue_ratio: float = field(init=False)
    _is_failing: bool = False

    def __attrs_post_init__(self) -> None:
        self._overdue_ratio = self.rng.random()

    async def run(self) -> None:
        """Keep the status of all roll-outs until cancelled."""
        while True:
            for rollout in list(self.rollouts.rollouts_by_service.values()):
                try:
                    await self.keep(rollout)
                    self._is_failing = False
                except StoreUnavailable as error:
                    # The write may have been applied, or may be later.
                    rollout.status_version = None
                    self._log_failure(rollout, error)
                    await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(CHECK_SECONDS)

    async def keep(self, rollout: Rollout) -> None:
        """Make the status row of one roll-out say what this host knows.

        Raise StoreUnavailable.
        """
        now = self.clock()
        if self._must_read(rollout, now):
            await self._read(rollout)
            now = self.clock()
        if rollout.is_found or not (self.is_writer() or self._is_overdue(rollout, now)):
            return
        if rollout.lapsed_at is not None:
            # Whether the order still stands is not known.
            return
        wanted = rollout.wanted_state(now, self.rollouts.host_count())
        is_kept = rollout.status_restores == self.restores()
        if rollout.status is wanted and is_kept:
            return
        if rollout.status_version is None or not is_kept:
            await self._read(rollout)
            wanted = rollout.wanted_state(self.clock(), self.rollouts.host_count())
            if rollout.status is wanted:
                return
        await self._write(rollout, wanted)

    def _must_read(self, rollout: Rollout, now: float) -> bool:
        if now - rollout.status_read_at < READ_SECONDS:
            return False
        if rollout.is_found:
            return True
        is_cut_off = not rollout.is_current(now, self.rollouts.host_count())
        return is_cut_off and rollout.stage < Stage.DONE

    def _is_overdue(self, rollout: Rollout, now: float) -> bool:
        if rollout.stage < Stage.BAD or rollout.is_written:
            return False
        spread = self.rollouts.host_count() * OVERDUE_SECONDS_PER_HOST
        delay = OVERDUE_SECONDS + spread * self._overdue_ratio
        return now - rollout.stage_at >= delay

    async def _read(self, rollout: Rollout) -> None:
        restores = self.restores()
        key = self.codec.status_key(rollout.order.service)
        page = await self.store.read(Table.STATUS, key)
        rollout.status_read_at = self.clock()
        row = next((row for row in page.rows if row.key == key), None)
        self._record_row(rollout, row, restores)

    async def _write(self, rollout: Rollout, state: RolloutState) -> None:
        restores = self.restores()
        key = self.codec.status_key(rollout.order.service)
        status = RolloutStatus(state, rollout.order.to_version)
        expected = rollout.status_version or 0
        page = await self.store.put_if(
            Table.STATUS, key, self.codec.encode_status(status), expected
        )
        now = self.clock()
        self.journal.write(
            "rollout-status-written" if page is None else "rollout-status-differs",
            now,
            service=rollout.order.service,
            to=rollout.order.to_version,
            state=state.value,
            expected_version=expected,
            age_seconds=round(rollout.age(now), 3),
            idle_seconds=round(min(now - rollout.busy_at, 999.0), 3),
        )
        # The version of what was written is read when it is needed again.
        if page is None:
            self.rollouts.record_status(rollout, state, None, restores, now)
            return
        row = next((row for row in page.rows if row.key == key), None)
        if row is None:
            rollout.status_version = None
        else:
            self._record_row(rollout, row, restores)

    def _record_row(self, rollout: Rollout, row: Row | None, restores: int) -> None:
        state = None
        if row is not None and row.value is not None:
            state = self._state_of(rollout, row)
        version = row.version if row is not None and row.value is not None else 0
        now = self.clock()
        self.rollouts.record_status(rollout, state, version, restores, now)

    def _state_of(self, rollout: Rollout, row: Row) -> RolloutState | None:
        """Return the state of a row, None if it is not of this order.

        Versions rise with each write to the store, so a status of an earlier
        order has a lower one than the order.
        """
        if row.version < rollout.status_floor:
            return None
        try:
            status = self.codec.decode_status(row.value)
        except MalformedEntry:
            return None
        if status.to_version != rollout.order.to_version:
            return None
        return status.state

    def _log_failure(self, rollout: Rollout, error: StoreUnavailable) -> None:
        if self._is_failing:
            return
        self._is_failing = True
        self.journal.write(
            "rollout-status-unknown",
            self.clock(),
            service=rollout.order.service,
            to=rollout.order.to_version,
            error=str(error),
        )
