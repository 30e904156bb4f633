"""Detect requests that crash engines, and quarantine them."""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import cattrs
from attrs import define, evolve, field, frozen

from teaselpond_model.contracts import Delete, Put, TableService
from teaselpond_model.exceptions import StoreUnavailable, TeaselpondError

from .records import digest_parts

QUARANTINE_PREFIX = "quarantine/"
QUARANTINE_DEATHS = 2
QUARANTINE_SECONDS = 3600.0
SUSPECT_SECONDS = 600.0
ZONE_OUTAGE_DEATHS = 3
ZONE_OUTAGE_WINDOW_SECONDS = 10.0
PUBLISH_TIMEOUT_SECONDS = 1.0
SAME_DEATH_WINDOW_SECONDS = 3.0
MAX_DEATHS = 1000
MAX_FINGERPRINTS = 10_000


@frozen
class EngineDeath:
    """Identify the end of one engine process.

    ``incarnation`` is empty if it is unknown which process ended.
    """

    engine_id: str
    incarnation: str


@define
class _RecordedDeath:
    at: float
    zone: str
    engine_id: str
    incarnation: str
    death_id: str
    fingerprints: set[str] = field(factory=set)


@frozen
class Suspicion:
    """Hold the engine deaths during which a request was running.

    Times are wall-clock seconds. ``quarantined_until`` is 0 for a request
    that is suspected but not quarantined.
    """

    fingerprint: str
    workspace: str
    death_ids: frozenset[str]
    last_death_at: float
    quarantined_until: float = 0.0

    def merged(self, other: "Suspicion") -> "Suspicion":
        """Return the union of two suspicions of the same request."""
        return evolve(
            self,
            death_ids=self.death_ids | other.death_ids,
            last_death_at=max(self.last_death_at, other.last_death_at),
            quarantined_until=max(self.quarantined_until, other.quarantined_until),
        )

    def with_quarantine(self) -> "Suspicion":
        """Return a copy that is quarantined if enough engines died."""
        if len(self.death_ids) < QUARANTINE_DEATHS:
            return self
        until = self.last_death_at + QUARANTINE_SECONDS
        return evolve(self, quarantined_until=max(self.quarantined_until, until))

    def is_expired(self, now: float) -> bool:
        """Return whether the quarantine or suspicion has ended."""
        if self.quarantined_until:
            return now >= self.quarantined_until
        return now >= self.last_death_at + SUSPECT_SECONDS


class QuarantinePeers(Protocol):
    """Send changes to other daemons without waiting for their next refresh."""

    async def send_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Send suspicions to every peer."""

    async def send_lifted(self, fingerprint: str) -> None:
        """Notify every peer that a suspicion was removed."""


@define
class _CountedLock:
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    users: int = 0


def chat_fingerprint(workspace: str, model: str, prompt: bytes) -> str:
    """Return a digest that is equal for repeats of the same request."""
    return digest_parts(workspace, model, prompt)


class Quarantine:
    """Quarantine a request that was running when two engines died.

    Suspicions are shared with other daemons through the table and peers.
    """

    def __init__(
        self,
        table: TableService,
        peers: QuarantinePeers | None = None,
        *,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._peers = peers
        self._wall_clock = wall_clock
        self._suspicions_by_fingerprint: dict[str, Suspicion] = {}
        self._recorded_deaths: deque[_RecordedDeath] = deque(maxlen=MAX_DEATHS)
        self._locks_by_name: dict[str, _CountedLock] = {}
        self._seen_version = 0

    # Queries

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must be refused; ``now`` is wall clock."""
        suspicion = self._find_active(fingerprint, now)
        return suspicion is not None and suspicion.quarantined_until > now

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was running on an engine that died."""
        return self._find_active(fingerprint, now) is not None

    def list_active(self, now: float) -> tuple[Suspicion, ...]:
        """Return the active suspicions, quarantined requests first."""
        found = [
            suspicion
            for fingerprint in tuple(self._suspicions_by_fingerprint)
            if (suspicion := self._find_active(fingerprint, now))
        ]
        found.sort(key=lambda each: (-each.quarantined_until, each.fingerprint))
        return tuple(found)

    @asynccontextmanager
    async def run_exclusively(
        self, fingerprint: str, engine_id: str
    ) -> AsyncIterator[None]:
        """Hold the locks for running a suspect on an engine.

        Of the suspects of one engine, and of those of one engine death, only
        one runs at a time. Otherwise all suspects of a death could run during
        the next death too, and harmless requests would be quarantined.
        """
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        death_id = min(suspicion.death_ids) if suspicion else fingerprint
        # Every suspect acquires the locks in this order, to avoid deadlocks.
        async with self._hold_lock(f"death {death_id}"):
            async with self._hold_lock(f"engine {engine_id}"):
                yield

    @asynccontextmanager
    async def _hold_lock(self, name: str) -> AsyncIterator[None]:
        counted_lock = self._locks_by_name.setdefault(name, _CountedLock())
        counted_lock.users += 1
        try:
            async with counted_lock.lock:
                yield
        finally:
            counted_lock.users -= 1
            if not counted_lock.users:
                del self._locks_by_name[name]

    # Updates

    async def record_death(
        self,
        death: EngineDeath,
        fingerprints: tuple[tuple[str, str], ...],
        *,
        zone: str,
    ) -> None:
        """Suspect the (workspace, fingerprint) pairs that were running.

        Return once the peers and the table have the suspicions, or after
        PUBLISH_TIMEOUT_SECONDS, so a refused caller that retries at another
        daemon is recognised there. A death among many in one zone is
        attributed to a zone outage, and no request is suspected.
        """
        now = self._wall_clock()
        seen = self._find_or_add_death(death, zone, now)
        seen.fingerprints.update(fingerprint for _, fingerprint in fingerprints)
        death_id = seen.death_id
        changed = tuple(
            self._merge(Suspicion(fingerprint, workspace, frozenset({death_id}), now))
            for workspace, fingerprint in fingerprints
            if not self._has_death(fingerprint, death_id)
            and not self._is_zone_outage(fingerprint, zone, now)
        )
        await self._publish(changed)

    def receive(self, suspicion: Suspicion) -> bool:
        """Merge a peer's suspicion; return whether anything changed."""
        known = self._suspicions_by_fingerprint.get(suspicion.fingerprint)
        return self._merge(suspicion) != known

    async def clear(self, fingerprint: str) -> None:
        """Remove a suspicion here, in the table and at the peers.

        Call this when the request has completed or an operator lifts the
        suspicion.
        """
        if self._suspicions_by_fingerprint.pop(fingerprint, None) is None:
            return
        await self._try_with_timeout(self._write_delete(fingerprint))
        if self._peers is not None:
            await self._try_with_timeout(self._peers.send_lifted(fingerprint))

    def receive_lifted(self, fingerprint: str) -> bool:
        """Remove a suspicion that a peer lifted; return whether it existed."""
        return self._suspicions_by_fingerprint.pop(fingerprint, None) is not None

    async def refresh(self) -> None:
        """Merge what changed in the table; raise StoreUnavailable.

        Deaths known here and missing there are written back: two daemons
        that saw one death each may have overwritten each other's record.
        """
        page = await self._table.scan(QUARANTINE_PREFIX, self._seen_version)
        unpublished = []
        for entry in page.entries:
            fingerprint = entry.key.removeprefix(QUARANTINE_PREFIX)
            if entry.value is None:
                self.receive_lifted(fingerprint)
                continue
            stored = cattrs.structure(entry.value, Suspicion)
            known = self._merge(stored)
            if known.death_ids != stored.death_ids:
                unpublished.append(known)
        self._seen_version = max(self._seen_version, page.version)
        await self._publish(tuple(unpublished))

    async def expire(self, now: float) -> int:
        """Remove expired suspicions here and in the table; return how many."""
        expired = [
            fingerprint
            for fingerprint, suspicion in self._suspicions_by_fingerprint.items()
            if suspicion.is_expired(now)
        ]
        for fingerprint in expired:
            del self._suspicions_by_fingerprint[fingerprint]
            await self._try_with_timeout(self._write_delete(fingerprint))
        return len(expired)

    def _find_active(self, fingerprint: str, now: float) -> Suspicion | None:
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None or suspicion.is_expired(now):
            return None
        return suspicion

    def _find_or_add_death(
        self, death: EngineDeath, zone: str, now: float
    ) -> _RecordedDeath:
        """Return the record of a death, adding it unless it was seen before.

        A death without an incarnation matches the engine's latest one.
        """
        for seen in reversed(self._recorded_deaths):
            if (
                seen.engine_id != death.engine_id
                or now - seen.at > SAME_DEATH_WINDOW_SECONDS
            ):
                continue
            if not death.incarnation:
                return seen
            if seen.incarnation in ("", death.incarnation):
                seen.incarnation = death.incarnation
                return seen
        incarnation = death.incarnation or f"at-{now:.3f}"
        death_id = f"{death.engine_id}/{incarnation}"
        seen = _RecordedDeath(now, zone, death.engine_id, death.incarnation, death_id)
        self._recorded_deaths.append(seen)
        return seen

    def _has_death(self, fingerprint: str, death_id: str) -> bool:
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        return suspicion is not None and death_id in suspicion.death_ids

    def _is_zone_outage(self, fingerprint: str, zone: str, now: float) -> bool:
        """Return whether enough other engines of a zone died recently.

        Deaths during which the request itself was running don't count:
        otherwise a request that kills one engine after another would look
        like a zone outage.
        """
        others = [
            seen
            for seen in self._recorded_deaths
            if seen.zone == zone
            and now - seen.at <= ZONE_OUTAGE_WINDOW_SECONDS
            and fingerprint not in seen.fingerprints
        ]
        return len(others) >= ZONE_OUTAGE_DEATHS - 1

    def _merge(self, suspicion: Suspicion) -> Suspicion:
        known = self._suspicions_by_fingerprint.get(suspicion.fingerprint)
        merged = suspicion.merged(known) if known else suspicion
        updated = merged.with_quarantine()
        if known is None and len(self._suspicions_by_fingerprint) >= MAX_FINGERPRINTS:
            oldest = min(
                self._suspicions_by_fingerprint.values(),
                key=lambda each: (each.quarantined_until, each.last_death_at),
            )
            del self._suspicions_by_fingerprint[oldest.fingerprint]
        self._suspicions_by_fingerprint[suspicion.fingerprint] = updated
        return updated

    async def _publish(self, suspicions: tuple[Suspicion, ...]) -> None:
        if not suspicions:
            return
        tasks = [self._try_with_timeout(self._write(suspicions))]
        if self._peers is not None:
            tasks.append(
                self._try_with_timeout(self._peers.send_suspicions(suspicions))
            )
        await asyncio.gather(*tasks)

    async def _write(self, suspicions: tuple[Suspicion, ...]) -> None:
        puts = tuple(
            Put(QUARANTINE_PREFIX + each.fingerprint, _unstructure(each))
            for each in suspicions
        )
        # Written without a version check: if a daemon overwrites deaths that
        # another one recorded, they are merged through the peers or, when
        # the daemons can't reach each other, by the next refresh.
        await self._table.transact((), puts)

    async def _write_delete(self, fingerprint: str) -> None:
        await self._table.transact((), (Delete(QUARANTINE_PREFIX + fingerprint),))

    async def _try_with_timeout(self, awaitable) -> None:
        """Await a publication; ignore timeouts and unavailable services."""
        try:
            async with asyncio.timeout(PUBLISH_TIMEOUT_SECONDS):
                await awaitable
        except (TimeoutError, StoreUnavailable, TeaselpondError):
            # The local record stays; peers and table are reconciled later.
            return


def _unstructure(suspicion: Suspicion) -> dict:
    value = cattrs.unstructure(suspicion)
    value["death_ids"] = sorted(suspicion.death_ids)
    return value
