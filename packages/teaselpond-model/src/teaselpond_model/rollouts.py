"""Decide which engines of a model may change at a time."""

import math
from collections.abc import Mapping
from typing import Any

from attrs import Factory, evolve, frozen

ROLLOUT_PREFIX = "orders/rollouts/"
FAILURES_TO_STOP = 2


@frozen
class ModelCapacity:
    """Hold a model's engines that may take work, and what is in use.

    ``slots_by_engine`` holds the whole fleet's; ``requests`` are those that
    run or wait.
    """

    slots_by_engine: Mapping[str, int]
    requests: int = 0


@frozen
class RolloutLimits:
    """Bound how many engines change, and what must stay beside them."""

    concurrency: int
    floor_ratio: float


@frozen
class Rollout:
    """Hold which engines change, and which have failed to.

    It is one record of the table service for each model, moved by
    compare-and-set, so that all owners together keep its limits.
    """

    target: str
    changing: frozenset[str] = frozenset()
    reasons_by_failed_engine: Mapping[str, str] = Factory(dict)

    @property
    def is_stopped(self) -> bool:
        """Tell whether too many engines have failed."""
        return len(self.reasons_by_failed_engine) >= FAILURES_TO_STOP

    def has_failed(self, engine_id: str) -> bool:
        """Tell whether an engine's change has failed."""
        return engine_id in self.reasons_by_failed_engine

    def tracks(self, engine_id: str) -> bool:
        """Tell whether an engine has a place or has failed."""
        return engine_id in self.changing or self.has_failed(engine_id)

    def with_target(self, target: str) -> "Rollout":
        """Return the rollout to a target; another one starts afresh.

        Engines that still change keep their places.
        """
        if target == self.target:
            return self
        return Rollout(target, self.changing)

    def may_start(
        self, engine_id: str, capacity: ModelCapacity, limits: RolloutLimits
    ) -> bool:
        """Tell whether an engine may begin to change now."""
        if engine_id in self.changing:
            return True
        if self.is_stopped or self.has_failed(engine_id):
            return False
        slots = capacity.slots_by_engine
        if engine_id not in slots:
            # It takes no work, so that its change costs no capacity.
            return True
        changing = self.changing & slots.keys()
        if len(changing) >= limits.concurrency:
            return False
        left = sum(
            count
            for other, count in slots.items()
            if other != engine_id and other not in changing
        )
        if left < capacity.requests:
            return False
        if not changing:
            # One at a time is always allowed while the others bear the load.
            return True
        return left >= math.ceil(limits.floor_ratio * sum(slots.values()))

    def begin(self, engine_id: str) -> "Rollout":
        """Give an engine its place."""
        return evolve(self, changing=self.changing | {engine_id})

    def finish(self, engine_id: str) -> "Rollout":
        """Free the place of an engine that is as wished."""
        failed = dict(self.reasons_by_failed_engine)
        failed.pop(engine_id, None)
        return Rollout(self.target, self.changing - {engine_id}, failed)

    def fail(self, engine_id: str, reason: str) -> "Rollout":
        """Free an engine's place and remember why its change failed."""
        failed = {**self.reasons_by_failed_engine, engine_id: reason}
        return evolve(self.finish(engine_id), reasons_by_failed_engine=failed)

    def without_failures(self) -> "Rollout":
        """Let the engines that have failed be tried again."""
        return evolve(self, reasons_by_failed_engine={})

    def without_removed(self, engine_ids: frozenset[str]) -> "Rollout":
        """Free the places of engines that are no longer configured."""
        return evolve(self, changing=self.changing & engine_ids)

    def to_value(self) -> dict[str, Any]:
        """Convert to a JSON value."""
        return {
            "target": self.target,
            "changing": sorted(self.changing),
            "failed": dict(self.reasons_by_failed_engine),
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Rollout":
        """Read a JSON value; raise KeyError when a member is missing."""
        return cls(value["target"], frozenset(value["changing"]), value["failed"])


def rollout_key(model: str) -> str:
    """Return the table key of a model's rollout."""
    return f"{ROLLOUT_PREFIX}{model}"
