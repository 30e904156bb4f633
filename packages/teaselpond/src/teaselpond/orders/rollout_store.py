"""Keep the rollouts in the table service."""

from collections.abc import Callable

from teaselpond_model.contracts import ABSENT_VERSION, Check, Put, TableService
from teaselpond_model.exceptions import TransactionConflict
from teaselpond_model.rollouts import ModelCapacity, Rollout, RolloutLimits, rollout_key

from .desired_states import DesiredState

WRITE_ATTEMPTS = 10


class RolloutStore:
    """Give engines places in their model's rollout, and free them."""

    def __init__(self, table: TableService) -> None:
        self.table = table

    async def try_begin(
        self,
        desired: DesiredState,
        capacity: ModelCapacity,
        limits: RolloutLimits,
        engine_ids: frozenset[str],
    ) -> bool:
        """Give an engine a place, if the limits allow it.

        A write whose answer is lost raises StoreUnavailable; a place that
        the engine has by it is found by the next call. Raise also
        TransactionConflict when too many daemons write at once.
        """

        def begin(rollout: Rollout) -> Rollout | None:
            current = rollout.without_gone(engine_ids)
            if not current.admits(desired.engine_id, capacity, limits):
                return None
            return current.begin(desired.engine_id)

        return await self._update(desired, begin)

    async def finish(self, desired: DesiredState) -> None:
        """Free an engine's place; raise as ``take``."""
        await self._update(desired, lambda rollout: rollout.finish(desired.engine_id))

    async def fail(self, desired: DesiredState, reason: str) -> None:
        """Free an engine's place and note its failure; raise as ``take``."""
        await self._update(
            desired, lambda rollout: rollout.fail(desired.engine_id, reason)
        )

    async def read(self, desired: DesiredState) -> Rollout:
        """Return the rollout to the wish's target; raise StoreUnavailable."""
        entry = await self.table.get(rollout_key(desired.model))
        stored = (
            Rollout(desired.target)
            if entry is None
            else Rollout.from_value(entry.value)
        )
        return stored.towards(desired.target)

    async def _update(
        self, desired: DesiredState, update: Callable[[Rollout], Rollout | None]
    ) -> bool:
        key = rollout_key(desired.model)
        for attempt in range(WRITE_ATTEMPTS):
            entry = await self.table.get(key)
            version = ABSENT_VERSION if entry is None else entry.version
            stored = None if entry is None else Rollout.from_value(entry.value)
            updated = update(
                (stored or Rollout(desired.target)).towards(desired.target)
            )
            if updated is None:
                return False
            writes = () if updated == stored else (Put(key, updated.to_value()),)
            try:
                # An unchanged rollout is confirmed too: the read may be stale.
                await self.table.transact((Check(key, version),), writes)
                return True
            except TransactionConflict:
                if attempt == WRITE_ATTEMPTS - 1:
                    raise
        return False
