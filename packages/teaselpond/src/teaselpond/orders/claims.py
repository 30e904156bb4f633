"""Ensure that only one daemon at a time sends orders to an engine."""

import time
from collections.abc import Callable, Mapping
from typing import Any

from attrs import frozen

from teaselpond_model.contracts import (
    ABSENT_VERSION,
    Check,
    Delete,
    Put,
    TableEntry,
    TableService,
)
from teaselpond_model.exceptions import TeaselpondError, TransactionConflict

from ..leases import (
    ENDED_VERSION,
    Lease,
    LeaseObserver,
    LeaseRecord,
    LeaseSettings,
    lease_key,
    stored_fence,
)
from .desired_states import DesiredState

CLAIM_PREFIX = "orders/claims/"


class ClaimPending(TeaselpondError):
    """Report that an earlier holder may still send orders to the engine."""


class FenceTooLow(TeaselpondError):
    """Report that a lease with a higher fencing token is needed."""


@frozen
class ClaimRecord:
    """Identify the daemon that may send orders, and the lease it holds."""

    daemon_id: str
    incarnation: str
    fence: int

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value to store."""
        return {
            "daemon_id": self.daemon_id,
            "incarnation": self.incarnation,
            "fence": self.fence,
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "ClaimRecord":
        """Parse a stored JSON value; raise KeyError for a missing member."""
        return cls(value["daemon_id"], value["incarnation"], value["fence"])


def claim_key(engine_id: str) -> str:
    """Return the table key of an engine's claim."""
    return f"{CLAIM_PREFIX}{engine_id}"


class EngineClaims:
    """Claim engines under this daemon's lease before sending orders.

    A claim is written right before an order, not for each owned engine.
    Engines that need no change cause no load on the table service.
    """

    def __init__(
        self,
        table: TableService,
        daemon_id: str,
        incarnation: str,
        lease_settings: LeaseSettings,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.table = table
        self.daemon_id = daemon_id
        self.incarnation = incarnation
        self.lease_settings = lease_settings
        self.clock = clock
        self.lease_observer = LeaseObserver(lease_settings.drift_ratio)
        self.claimed_engines: set[str] = set()

    async def claim(
        self, desired: DesiredState, lease: Lease, order_seconds: float
    ) -> None:
        """Acquire or confirm the claim on an engine in one transaction.

        Raise ClaimPending if an earlier holder may still send orders,
        FenceTooLow if its fencing token is higher than the lease's, and
        StoreUnavailable or TransactionConflict.
        """
        key = claim_key(desired.engine_id)
        entry = await self.table.get(key)
        checks = [
            Check(key, ABSENT_VERSION if entry is None else entry.version),
            Check(lease_key(self.daemon_id), lease.entry_version),
        ]
        writes: list[Put | Delete] = []
        existing = None if entry is None else ClaimRecord.from_value(entry.value)
        own = ClaimRecord(self.daemon_id, self.incarnation, lease.fence)
        if existing is not None and existing.incarnation != self.incarnation:
            if desired.checks_fence:
                self._check_fence(existing, lease)
            else:
                expiry_checks = await self._check_expired(existing, order_seconds)
                checks.extend(expiry_checks)
                writes.extend(
                    Delete(check.key) for check in expiry_checks if check.version
                )
        if existing != own:
            writes.append(Put(key, own.to_value()))
        # Confirm a claim that is already held too, because the read above may
        # be stale.
        await self.table.transact(tuple(checks), tuple(writes))
        self.claimed_engines.add(desired.engine_id)
        if existing is not None:
            self.lease_observer.remove(
                f"{lease_key(existing.daemon_id)}@{existing.fence}"
            )

    def _check_fence(self, existing: ClaimRecord, lease: Lease) -> None:
        if existing.fence > lease.fence:
            raise FenceTooLow(
                f"{existing.daemon_id} has claimed the engine with fencing token "
                f"{existing.fence}, the lease has only {lease.fence}",
                step="claim an engine",
            )

    async def _check_expired(
        self, existing: ClaimRecord, order_seconds: float
    ) -> tuple[Check, ...]:
        """Return checks that fail if the earlier holder has renewed its lease.

        Raise ClaimPending until the lease has expired and the timeout of an
        order that was sent just before has passed.
        """
        key = lease_key(existing.daemon_id)
        entry = await self.table.get(key)
        observation_key = f"{key}@{existing.fence}"
        checks = (Check(key, ABSENT_VERSION if entry is None else entry.version),)
        if entry is None and not self.lease_observer.has_observed(observation_key):
            # The read may come from a replica that is older than the lease.
            await self.table.transact(checks, ())
        # Take the time after the read: the entry may have been written while
        # the read was in flight.
        now = self.clock()
        if entry is None or stored_fence(entry) > existing.fence:
            self.lease_observer.observe(observation_key, ENDED_VERSION, now)
        else:
            self.lease_observer.observe(observation_key, entry.version, now)
        seconds = self._lease_duration_seconds(entry) + order_seconds
        if not self.lease_observer.has_expired(observation_key, seconds, now):
            raise ClaimPending(
                f"{existing.daemon_id} may still send orders until its lease has been "
                f"unchanged for {seconds:.1f} s",
                step="claim an engine",
                peer=existing.daemon_id,
            )
        if entry is not None and stored_fence(entry) > existing.fence:
            return ()
        return checks

    def _lease_duration_seconds(self, entry: TableEntry | None) -> float:
        duration_seconds = self.lease_settings.duration_seconds
        if entry is None:
            return duration_seconds
        return max(
            duration_seconds, LeaseRecord.from_value(entry.value).duration_seconds
        )

    async def release(self, engine_id: str) -> None:
        """Delete this process's claim on an engine, if it still holds it.

        Call this only while no order is in flight. Raise StoreUnavailable.
        """
        key = claim_key(engine_id)
        entry = await self.table.get(key)
        if entry is not None:
            existing = ClaimRecord.from_value(entry.value)
            if existing.incarnation == self.incarnation:
                check = Check(key, entry.version)
                try:
                    await self.table.transact((check,), (Delete(key),))
                except TransactionConflict:
                    pass
        self.claimed_engines.discard(engine_id)
