"""Acquire, renew and release this daemon's lease in the table service."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable

from absl import logging
from attrs import evolve
from reactivex.subject import BehaviorSubject

from teaselpond_model.contracts import ABSENT_VERSION, Check, Delete, Put, TableService
from teaselpond_model.exceptions import (
    LeaseLost,
    StoreOutcomeUnknown,
    StoreUnavailable,
    TransactionConflict,
)

from .lease import Lease, LeaseSettings
from .records import LeaseRecord, lease_key, stored_fence

# Share of the renewal interval that is randomized.
JITTER_RATIO = 0.2
# Share of the renewal interval after which a failed step is retried.
RETRY_RATIO = 0.25


class LeaseManager:
    """Maintain the lease of this process.

    ``held`` emits the lease when it is acquired and None when it is lost;
    a renewal emits nothing. The fencing token is the table version of the
    acquiring write, so each lease has a higher token than all earlier ones.
    """

    def __init__(
        self,
        table: TableService,
        daemon_id: str,
        incarnation: str,
        *,
        settings: LeaseSettings | None = None,
        jitter: Callable[[], float] = random.random,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.table = table
        self.daemon_id = daemon_id
        self.key = lease_key(daemon_id)
        self.incarnation = incarnation
        self.settings = settings or LeaseSettings()
        self.jitter = jitter
        self.count = count
        self.held: BehaviorSubject[Lease | None] = BehaviorSubject(None)
        self._lease: Lease | None = None
        self._sent_at_by_write: dict[str, float] = {}
        self._needs_read_back = False
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled, then release it."""
        try:
            while True:
                renewed = await self.step(time.monotonic())
                await asyncio.sleep(self._next_delay_seconds(renewed))
        finally:
            await self.release()

    def _next_delay_seconds(self, renewed: bool) -> float:
        interval_ratio = 1.0 if renewed else RETRY_RATIO
        jitter_factor = 1 + JITTER_RATIO * (self.jitter() - 1)
        return self.settings.renew_seconds * interval_ratio * jitter_factor

    def lease(self, now: float) -> Lease | None:
        """Return the lease if it is valid now, else None."""
        if self._lease is not None and not self._lease.is_held(now):
            self.count("lease.lapsed")
            self._end_lease("it expired before it was renewed")
        return self._lease

    def assert_held(self, now: float, for_seconds: float = 0.0) -> Lease:
        """Return the lease if it stays valid for ``for_seconds``.

        Call this right before an action that needs the lease. Raise LeaseLost
        otherwise.
        """
        lease = self.lease(now)
        if lease is None:
            raise LeaseLost(
                f"{self.daemon_id} holds no lease", step="act under a lease"
            )
        lease.assert_held(now, for_seconds)
        return lease

    async def step(self, now: float) -> bool:
        """Acquire or renew the lease; return whether it is valid afterwards.

        Read the record back first when the outcome of an earlier write is
        unknown. ``now`` is the time right before the call.
        """
        async with self._lock:
            return await self._step(now)

    async def _step(self, now: float) -> bool:
        self.lease(now)
        try:
            async with asyncio.timeout(self.settings.store_timeout_seconds):
                if self._needs_read_back:
                    await self._read_back(now)
                lease = self._lease
                if lease is None:
                    return await self._acquire(now)
                return await self._renew(lease, now)
        except TransactionConflict:
            # The conflicting write may be this process's own, with its answer
            # lost, so the next step reads the record back.
            self.count("lease.conflict")
            self._needs_read_back = True
        except (StoreUnavailable, TimeoutError) as error:
            self._needs_read_back = bool(self._sent_at_by_write)
            self.count("lease.store_unavailable")
            logging.log_every_n_seconds(
                logging.WARNING,
                "lease not renewed, store unavailable: %s",
                10,
                error,
            )
        return False

    async def _read_back(self, now: float) -> None:
        entry = await self.table.get(self.key)
        self._needs_read_back = False
        if entry is None:
            return
        record = LeaseRecord.from_value(entry.value)
        sent_at = self._sent_at_by_write.get(record.write_id)
        if sent_at is not None:
            self._sent_at_by_write.clear()
            self._record_held(stored_fence(entry), entry.version, sent_at, now)
        elif self._lease and entry.version > self._lease.entry_version:
            self._end_lease("another process acquired it")

    async def _acquire(self, now: float) -> bool:
        entry = await self.table.get(self.key)
        version = ABSENT_VERSION if entry is None else entry.version
        record = LeaseRecord(
            self.incarnation, uuid.uuid4().hex, self.settings.duration_seconds
        )
        written_version = await self._write(record, version, now)
        return self._record_held(written_version, written_version, now, now)

    async def _renew(self, lease: Lease, now: float) -> bool:
        record = LeaseRecord(
            self.incarnation,
            uuid.uuid4().hex,
            self.settings.duration_seconds,
            lease.fence,
        )
        written_version = await self._write(record, lease.entry_version, now)
        return self._record_held(lease.fence, written_version, now, now)

    async def _write(self, record: LeaseRecord, version: int, now: float) -> int:
        self._sent_at_by_write[record.write_id] = now
        try:
            written_version = await self.table.transact(
                (Check(self.key, version),), (Put(self.key, record.to_value()),)
            )
        except StoreOutcomeUnknown:
            raise
        except (StoreUnavailable, TransactionConflict):
            # The table service rejected or never received this write.
            self._sent_at_by_write.pop(record.write_id, None)
            raise
        # A write that is still in flight will fail: the version that it checks
        # has been replaced.
        self._sent_at_by_write.clear()
        return written_version

    def _record_held(
        self, fence: int, version: int, sent_at: float, now: float
    ) -> bool:
        held_until = sent_at + self.settings.held_seconds
        lease = Lease(self.daemon_id, fence, version, sent_at, held_until)
        previous = self._lease
        if previous is not None and previous.fence == fence:
            self._lease = evolve(
                lease, held_until=max(previous.held_until, lease.held_until)
            )
            return self._lease.is_held(now)
        if not lease.is_held(now):
            # It expired before the write was confirmed.
            return False
        self._lease = lease
        self.count("lease.acquired")
        logging.info("lease %d acquired", fence)
        self.held.on_next(lease)
        return True

    def _end_lease(self, reason: str) -> None:
        if self._lease is None:
            return
        logging.warning("lease %d lost: %s", self._lease.fence, reason)
        self._lease = None
        # An expired lease must not become valid again by a late answer.
        self._sent_at_by_write.clear()
        self.count("lease.lost")
        self.held.on_next(None)

    async def reacquire(self, now: float) -> None:
        """Acquire a new lease with a higher fencing token than any before.

        ``now`` is the time right before the call.
        """
        async with self._lock:
            self._end_lease("a higher fencing token is needed")
            await self._step(now)

    async def release(self) -> None:
        """Delete the lease, so that others needn't wait until it expires."""
        lease = self._lease
        if lease is None:
            return
        self._end_lease("it is being released")
        checks = (Check(self.key, lease.entry_version),)
        try:
            async with asyncio.timeout(self.settings.store_timeout_seconds):
                await self.table.transact(checks, (Delete(self.key),))
        except (StoreUnavailable, TransactionConflict, TimeoutError) as error:
            logging.info("lease not deleted, it will expire: %s", error)
