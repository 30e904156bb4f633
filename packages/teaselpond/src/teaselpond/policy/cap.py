"""Bound each engine's load by a multiple of the mean load."""

import math

from attrs import define, field, frozen

from .messages import LoadSum

EXPIRY_CHECK_SHARE = 0.2


@frozen
class FleetLoad:
    """Sum a model's load over the engines that accept work.

    ``ejected`` counts the engines that are ejected as outliers; they are not
    part of the other figures.
    """

    in_flight: int = 0
    slots: int = 0
    engines: int = 0
    ejected: int = 0


def load_cap(load: FleetLoad, slots: int, multiple: float, floor: int) -> int:
    """Return the maximum number of requests in flight on an engine.

    The mean load per slot is the model's requests in flight, including the
    one to be admitted, divided by the slots of the engines that accept work.
    The cap is the mean times the engine's ``slots`` times ``multiple``,
    rounded up, at least ``floor`` and at most ``slots``. If the model has only
    one engine, the cap is its number of slots.
    """
    if load.engines <= 1 or load.slots <= 0:
        return slots
    share = (load.in_flight + 1) * slots / load.slots
    return min(slots, max(floor, math.ceil(multiple * share)))


@frozen
class ReceivedSum:
    """Pair another owner's load sum with the time of its arrival."""

    load_sum: LoadSum
    received_at: float


@define
class SumTable:
    """Store the latest load sums of the other owners of one model.

    The total is updated with each received sum, to keep the cost of a
    decision independent of the number of owners.
    """

    stale_seconds: float
    _received_by_owner: dict[str, dict[str, ReceivedSum]] = field(factory=dict)
    _total: FleetLoad = FleetLoad()
    _checked_at: float = float("-inf")

    def observe(self, load_sum: LoadSum, now: float) -> None:
        """Store a load sum unless a newer one of its zone is known."""
        received_by_zone = self._received_by_owner.setdefault(load_sum.owner_id, {})
        known = received_by_zone.get(load_sum.zone)
        if known and known.load_sum.version > load_sum.version:
            return
        if known:
            self._add_to_total(known.load_sum, -1)
        received_by_zone[load_sum.zone] = ReceivedSum(load_sum, now)
        self._add_to_total(load_sum, 1)

    def remove_owner(self, owner_id: str) -> None:
        """Remove the sums of a daemon that left or restarted."""
        for received in self._received_by_owner.pop(owner_id, {}).values():
            self._add_to_total(received.load_sum, -1)

    def of_owner(self, owner_id: str, now: float) -> tuple[LoadSum, ...]:
        """Return an owner's sums that are not older than ``stale_seconds``."""
        return tuple(
            received.load_sum
            for received in self._received_by_owner.get(owner_id, {}).values()
            if now - received.received_at <= self.stale_seconds
        )

    def total(self, now: float) -> FleetLoad:
        """Return the total load of the other owners.

        Stale sums are expired at intervals of a fifth of ``stale_seconds``, so
        the total may include a sum for that long after it became stale.
        """
        if now - self._checked_at > EXPIRY_CHECK_SHARE * self.stale_seconds:
            self._checked_at = now
            self._expire(now)
        return self._total

    def _expire(self, now: float) -> None:
        for owner_id, received_by_zone in list(self._received_by_owner.items()):
            for zone, received in list(received_by_zone.items()):
                if now - received.received_at > self.stale_seconds:
                    del received_by_zone[zone]
                    self._add_to_total(received.load_sum, -1)
            if not received_by_zone:
                del self._received_by_owner[owner_id]

    def _add_to_total(self, load_sum: LoadSum, sign: int) -> None:
        total = self._total
        self._total = FleetLoad(
            total.in_flight + sign * load_sum.in_flight,
            total.slots + sign * load_sum.slots,
            total.engines + sign * load_sum.engines,
            total.ejected + sign * load_sum.ejected,
        )
