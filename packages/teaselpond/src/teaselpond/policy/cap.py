"""Bound each engine's load by a multiple of the mean load."""

import math

from attrs import define, field, frozen

from .messages import LoadSum


@frozen
class FleetLoad:
    """Hold a model's load over all engines that may take work."""

    in_flight: int = 0
    slots: int = 0
    engines: int = 0
    ejected: int = 0


def load_cap(load: FleetLoad, slots: int, multiple: float, floor: int) -> int:
    """Return the most requests that an engine of so many slots may hold.

    The mean is the model's work in flight, with the request to be admitted,
    for each slot of the engines that may take work. The engine's share of it
    times the multiple is rounded up, and is at least the floor. With one
    engine, its own slots are the only bound.
    """
    if load.engines <= 1 or load.slots <= 0:
        return slots
    share = (load.in_flight + 1) * slots / load.slots
    return min(slots, max(floor, math.ceil(multiple * share)))


@frozen
class HeardSum:
    """Hold another owner's sum and when it came."""

    load_sum: LoadSum
    heard_at: float


@define
class SumTable:
    """Keep the latest sums of the other owners of one model."""

    stale_seconds: float
    _heard: dict[tuple[str, str], HeardSum] = field(factory=dict)

    def observe(self, load_sum: LoadSum, now: float) -> None:
        """Take a sum, unless a newer one of its owner is known."""
        key = (load_sum.owner_id, load_sum.zone)
        known = self._heard.get(key)
        if known and known.load_sum.version > load_sum.version:
            return
        self._heard[key] = HeardSum(load_sum, now)

    def forget(self, owner_id: str) -> None:
        """Drop the sums of a daemon that is gone or started anew."""
        for key in [key for key in self._heard if key[0] == owner_id]:
            del self._heard[key]

    def fresh(self, now: float) -> list[LoadSum]:
        """Return the sums that are not too old to count."""
        return [
            heard.load_sum
            for heard in self._heard.values()
            if now - heard.heard_at <= self.stale_seconds
        ]

    def total(self, now: float) -> FleetLoad:
        """Return the other owners' load in sum."""
        in_flight = slots = engines = ejected = 0
        for load_sum in self.fresh(now):
            in_flight += load_sum.in_flight
            slots += load_sum.slots
            engines += load_sum.engines
            ejected += load_sum.ejected
        return FleetLoad(in_flight, slots, engines, ejected)
