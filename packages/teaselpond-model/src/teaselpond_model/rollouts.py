"""Decide which engines of a model may be changed at the same time."""

import math
from collections.abc import Mapping
from typing import Any

from attrs import Factory, evolve, frozen

ROLLOUT_PREFIX = "orders/rollouts/"
FAILURES_TO_STOP = 2


@frozen
class ModelCapacity:
    """Hold the slots of a model's engines and its number of requests.

    ``slots_by_engine`` holds every engine of the fleet that may take work;
    ``requests`` counts running and waiting requests.
    """

    slots_by_engine: Mapping[str, int]
    requests: int = 0


@frozen
class RolloutLimits:
    """Limit how many engines change at once and the capacity that must stay.

    ``concurrency`` is a number of engines and ``floor_ratio`` the share of the
    slots that must stay in service.
    """

    concurrency: int
    floor_ratio: float


@frozen
class Rollout:
    """Hold which engines are being changed and which changes have failed.

    The table service keeps one record for each model. It is updated by
    compare-and-set, which enforces the limits across all owners.
    """

    target: str
    changing: frozenset[str] = frozenset()
    reasons_by_failed_engine: Mapping[str, str] = Factory(dict)

    @property
    def is_stopped(self) -> bool:
        """Return whether the rollout has stopped because engines failed."""
        return len(self.reasons_by_failed_engine) >= FAILURES_TO_STOP

    def has_failed(self, engine_id: str) -> bool:
        """Return whether an engine's change has failed."""
        return engine_id in self.reasons_by_failed_engine

    def tracks(self, engine_id: str) -> bool:
        """Return whether an engine is being changed or has failed."""
        return engine_id in self.changing or self.has_failed(engine_id)

    def with_target(self, target: str) -> "Rollout":
        """Return the rollout to a target, without failures if it is new.

        Engines that are still being changed stay listed.
        """
        if target == self.target:
            return self
        return Rollout(target, self.changing)

    def may_start(
        self, engine_id: str, capacity: ModelCapacity, limits: RolloutLimits
    ) -> bool:
        """Return whether an engine's change may start now."""
        if engine_id in self.changing:
            return True
        if self.is_stopped or self.has_failed(engine_id):
            return False
        slots = capacity.slots_by_engine
        if engine_id not in slots:
            # The engine takes no work, so its change costs no capacity.
            return True
        changing = self.changing & slots.keys()
        if len(changing) >= limits.concurrency:
            return False
        slots_left = sum(
            engine_slots
            for other, engine_slots in slots.items()
            if other != engine_id and other not in changing
        )
        if slots_left < capacity.requests:
            return False
        if not changing:
            # One change at a time is allowed even below the floor, if the
            # other engines have a slot for every request.
            return True
        return slots_left >= math.ceil(limits.floor_ratio * sum(slots.values()))

    def begin(self, engine_id: str) -> "Rollout":
        """Return the rollout with an engine's change started."""
        return evolve(self, changing=self.changing | {engine_id})

    def finish(self, engine_id: str) -> "Rollout":
        """Return the rollout with an engine's change completed."""
        failed = dict(self.reasons_by_failed_engine)
        failed.pop(engine_id, None)
        return Rollout(self.target, self.changing - {engine_id}, failed)

    def fail(self, engine_id: str, reason: str) -> "Rollout":
        """Return the rollout with an engine's change failed for a reason."""
        failed = {**self.reasons_by_failed_engine, engine_id: reason}
        return evolve(self.finish(engine_id), reasons_by_failed_engine=failed)

    def without_failures(self) -> "Rollout":
        """Return the rollout without failures, which allows new attempts."""
        return evolve(self, reasons_by_failed_engine={})

    def without_removed(self, configured_ids: frozenset[str]) -> "Rollout":
        """Return the rollout without changes of engines not configured."""
        return evolve(self, changing=self.changing & configured_ids)

    def to_value(self) -> dict[str, Any]:
        """Convert to a JSON value."""
        return {
            "target": self.target,
            "changing": sorted(self.changing),
            "failed": dict(self.reasons_by_failed_engine),
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Rollout":
        """Build from a JSON value; raise KeyError when a member is missing."""
        return cls(value["target"], frozenset(value["changing"]), value["failed"])


def rollout_key(model: str) -> str:
    """Return the table key of a model's rollout."""
    return f"{ROLLOUT_PREFIX}{model}"
