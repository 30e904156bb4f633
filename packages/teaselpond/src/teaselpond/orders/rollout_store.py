"""Read and update rollouts in the table service."""

from collections.abc import Callable

from teaselpond_model.contracts import ABSENT_VERSION, Check, Put, TableService
from teaselpond_model.exceptions import TransactionConflict
from teaselpond_model.rollouts import ModelCapacity, Rollout, RolloutLimits, rollout_key

from .desired_states import DesiredState

WRITE_ATTEMPTS = 10


class RolloutStore:
    """Add engines to their model's rollout and remove them from it.

    A rollout's limits bound how many engines change at a time.
    """

    def __init__(self, table: TableService) -> None:
        self.table = table

    async def try_begin(
        self,
        desired: DesiredState,
        capacity: ModelCapacity,
        limits: RolloutLimits,
        engine_ids: frozenset[str],
    ) -> bool:
        """Add an engine to the rollout; return whether the limits allow it.

        Return True also if the engine is already part of it. Raise
        StoreUnavailable, also if the answer to a write is lost; if that write
        took effect, a later call finds the engine added. Raise
        TransactionConflict if all write attempts conflict with those of other
        daemons.
        """

        def begin(rollout: Rollout) -> Rollout | None:
            current = rollout.without_removed(engine_ids)
            if not current.may_start(desired.engine_id, capacity, limits):
                return None
            return current.begin(desired.engine_id)

        return await self._update(desired, begin)

    async def finish(self, desired: DesiredState) -> None:
        """Remove an engine that has changed; raise as ``try_begin``."""
        await self._update(desired, lambda rollout: rollout.finish(desired.engine_id))

    async def fail(self, desired: DesiredState, reason: str) -> None:
        """Remove an engine and record its failure; raise as ``try_begin``."""
        await self._update(
            desired, lambda rollout: rollout.fail(desired.engine_id, reason)
        )

    async def read(self, desired: DesiredState) -> Rollout:
        """Return the rollout to the desired state; raise StoreUnavailable."""
        entry = await self.table.get(rollout_key(desired.model))
        stored = (
            Rollout(desired.target)
            if entry is None
            else Rollout.from_value(entry.value)
        )
        return stored.with_target(desired.target)

    async def _update(
        self, desired: DesiredState, update: Callable[[Rollout], Rollout | None]
    ) -> bool:
        key = rollout_key(desired.model)
        for attempt in range(WRITE_ATTEMPTS):
            entry = await self.table.get(key)
            version = ABSENT_VERSION if entry is None else entry.version
            stored = None if entry is None else Rollout.from_value(entry.value)
            updated = update(
                (stored or Rollout(desired.target)).with_target(desired.target)
            )
            if updated is None:
                return False
            writes = () if updated == stored else (Put(key, updated.to_value()),)
            try:
                # Confirm an unchanged rollout too: the read may be stale.
                await self.table.transact((Check(key, version),), writes)
                return True
            except TransactionConflict:
                if attempt == WRITE_ATTEMPTS - 1:
                    raise
        return False
