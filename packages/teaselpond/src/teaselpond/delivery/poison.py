"""Find requests that crash engines, and keep them away from engines."""

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
TELL_SECONDS = 1.0
SAME_DEATH_SECONDS = 3.0
MAX_DEATHS = 1000
MAX_FINGERPRINTS = 10_000


@frozen
class EngineDeath:
    """Name the end of an engine's process; the incarnation may be empty."""

    engine_id: str
    incarnation: str


@define
class _SeenDeath:
    at: float
    zone: str
    engine_id: str
    incarnation: str
    death_id: str
    fingerprints: set[str] = field(factory=set)


@frozen
class Suspicion:
    """Hold the engine deaths at which a request was running.

    Times are wall-clock seconds; ``quarantined_until`` is 0 for a request
    that is only suspected.
    """

    fingerprint: str
    workspace: str
    death_ids: frozenset[str]
    last_death_at: float
    quarantined_until: float = 0.0

    def merged(self, other: "Suspicion") -> "Suspicion":
        """Return what both know together."""
        return evolve(
            self,
            death_ids=self.death_ids | other.death_ids,
            last_death_at=max(self.last_death_at, other.last_death_at),
            quarantined_until=max(self.quarantined_until, other.quarantined_until),
        )

    def judged(self) -> "Suspicion":
        """Return this with its quarantine, if enough engines died."""
        if len(self.death_ids) < QUARANTINE_DEATHS:
            return self
        until = self.last_death_at + QUARANTINE_SECONDS
        return evolve(self, quarantined_until=max(self.quarantined_until, until))

    def expired(self, now: float) -> bool:
        """Tell whether nothing follows from this any more."""
        if self.quarantined_until:
            return now >= self.quarantined_until
        return now >= self.last_death_at + SUSPECT_SECONDS


class QuarantinePeers(Protocol):
    """Tell other daemons at once; the table tells them later anyway."""

    async def send_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Send suspicions to every peer."""

    async def send_lifted(self, fingerprint: str) -> None:
        """Send the end of a suspicion to every peer."""


@define
class _CountedLock:
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    users: int = 0


def chat_fingerprint(workspace: str, model: str, prompt: bytes) -> str:
    """Return the digest by which a request is known when it comes again."""
    return digest_parts(workspace, model, prompt)


class Quarantine:
    """Count the engine deaths of each request and refuse it after two."""

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
        self._deaths: deque[_SeenDeath] = deque(maxlen=MAX_DEATHS)
        self._locks_by_name: dict[str, _CountedLock] = {}
        self._seen_version = 0

    # Asking

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request must not run; ``now`` is wall-clock time."""
        suspicion = self._current(fingerprint, now)
        return suspicion is not None and suspicion.quarantined_until > now

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request ran on an engine that died."""
        return self._current(fingerprint, now) is not None

    def list_all(self, now: float) -> tuple[Suspicion, ...]:
        """Return the suspicions that hold, those in quarantine first."""
        found = [
            suspicion
            for fingerprint in tuple(self._suspicions_by_fingerprint)
            if (suspicion := self._current(fingerprint, now))
        ]
        found.sort(key=lambda each: (-each.quarantined_until, each.fingerprint))
        return tuple(found)

    @asynccontextmanager
    async def run_exclusively(
        self, fingerprint: str, engine_id: str
    ) -> AsyncIterator[None]:
        """Let one suspect at a time run, of an engine and of a death.

        Suspects of one death that ran side by side again would share the
        next death too, and the innocent ones would be quarantined.
        """
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        death_id = min(suspicion.death_ids) if suspicion else fingerprint
        # Every suspect takes them in this order, so that none waits for ever.
        async with self._hold_lock(f"death {death_id}"):
            async with self._hold_lock(f"engine {engine_id}"):
                yield

    @asynccontextmanager
    async def _hold_lock(self, name: str) -> AsyncIterator[None]:
        counted = self._locks_by_name.setdefault(name, _CountedLock())
        counted.users += 1
        try:
            async with counted.lock:
                yield
        finally:
            counted.users -= 1
            if not counted.users:
                del self._locks_by_name[name]

    # Learning

    async def record_death(
        self,
        death: EngineDeath,
        fingerprints: tuple[tuple[str, str], ...],
        *,
        zone: str,
    ) -> None:
        """Suspect the (workspace, fingerprint) pairs that were running.

        Return when the peers and the table know, or after a set time, so
        that a caller that is then refused can't outrun the news. A death
        among many in one zone is laid to the zone, not to requests.
        """
        now = self._wall_clock()
        seen = self._note_death(death, zone, now)
        seen.fingerprints.update(fingerprint for _, fingerprint in fingerprints)
        death_id = seen.death_id
        changed = tuple(
            self._learn(Suspicion(fingerprint, workspace, frozenset({death_id}), now))
            for workspace, fingerprint in fingerprints
            if not self._is_known_at(fingerprint, death_id)
            and not self._is_mass_death(fingerprint, zone, now)
        )
        await self._tell(changed)

    def receive(self, suspicion: Suspicion) -> bool:
        """Take in what a peer knows; tell whether it is news to pass on."""
        known = self._suspicions_by_fingerprint.get(suspicion.fingerprint)
        return self._learn(suspicion) != known

    async def clear(self, fingerprint: str) -> None:
        """Drop a suspicion: the request ran to its end, or was lifted."""
        if self._suspicions_by_fingerprint.pop(fingerprint, None) is None:
            return
        await self._bounded(self._write_delete(fingerprint))
        if self._peers is not None:
            await self._bounded(self._peers.send_lifted(fingerprint))

    def receive_lifted(self, fingerprint: str) -> bool:
        """Take in that a suspicion ended; tell whether it is news."""
        return self._suspicions_by_fingerprint.pop(fingerprint, None) is not None

    async def refresh(self) -> None:
        """Take in what changed in the table; raise StoreUnavailable.

        What is known here and missing there is written back: two daemons
        that saw one death each may have overwritten each other's record.
        """
        page = await self._table.scan(QUARANTINE_PREFIX, self._seen_version)
        missing = []
        for entry in page.entries:
            fingerprint = entry.key.removeprefix(QUARANTINE_PREFIX)
            if entry.value is None:
                self.receive_lifted(fingerprint)
                continue
            stored = cattrs.structure(entry.value, Suspicion)
            known = self._learn(stored)
            if known.death_ids != stored.death_ids:
                missing.append(known)
        self._seen_version = max(self._seen_version, page.version)
        await self._tell(tuple(missing))

    async def expire(self, now: float) -> int:
        """Remove what has ended, here and in the table; return how many."""
        ended = [
            fingerprint
            for fingerprint, suspicion in self._suspicions_by_fingerprint.items()
            if suspicion.expired(now)
        ]
        for fingerprint in ended:
            del self._suspicions_by_fingerprint[fingerprint]
            await self._bounded(self._write_delete(fingerprint))
        return len(ended)

    def _current(self, fingerprint: str, now: float) -> Suspicion | None:
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        if suspicion is None or suspicion.expired(now):
            return None
        return suspicion

    def _note_death(self, death: EngineDeath, zone: str, now: float) -> _SeenDeath:
        """Return a death, the same one if it was seen before.

        A death whose incarnation isn't known is the engine's latest one.
        """
        for seen in reversed(self._deaths):
            if seen.engine_id != death.engine_id or now - seen.at > SAME_DEATH_SECONDS:
                continue
            if not death.incarnation:
                return seen
            if seen.incarnation in ("", death.incarnation):
                seen.incarnation = death.incarnation
                return seen
        incarnation = death.incarnation or f"at-{now:.3f}"
        death_id = f"{death.engine_id}/{incarnation}"
        seen = _SeenDeath(now, zone, death.engine_id, death.incarnation, death_id)
        self._deaths.append(seen)
        return seen

    def _is_known_at(self, fingerprint: str, death_id: str) -> bool:
        suspicion = self._suspicions_by_fingerprint.get(fingerprint)
        return suspicion is not None and death_id in suspicion.death_ids

    def _is_mass_death(self, fingerprint: str, zone: str, now: float) -> bool:
        """Tell whether enough other engines of a zone died lately.

        The deaths at which a request ran itself don't excuse it: a request
        that kills one engine after another would make its own excuse.
        """
        others = [
            seen
            for seen in self._deaths
            if seen.zone == zone
            and now - seen.at <= ZONE_OUTAGE_WINDOW_SECONDS
            and fingerprint not in seen.fingerprints
        ]
        return len(others) >= ZONE_OUTAGE_DEATHS - 1

    def _learn(self, suspicion: Suspicion) -> Suspicion:
        known = self._suspicions_by_fingerprint.get(suspicion.fingerprint)
        merged = suspicion.merged(known) if known else suspicion
        judged = merged.judged()
        if known is None and len(self._suspicions_by_fingerprint) >= MAX_FINGERPRINTS:
            oldest = min(
                self._suspicions_by_fingerprint.values(),
                key=lambda each: (each.quarantined_until, each.last_death_at),
            )
            del self._suspicions_by_fingerprint[oldest.fingerprint]
        self._suspicions_by_fingerprint[suspicion.fingerprint] = judged
        return judged

    async def _tell(self, suspicions: tuple[Suspicion, ...]) -> None:
        if not suspicions:
            return
        tasks = [self._bounded(self._write(suspicions))]
        if self._peers is not None:
            tasks.append(self._bounded(self._peers.send_suspicions(suspicions)))
        await asyncio.gather(*tasks)

    async def _write(self, suspicions: tuple[Suspicion, ...]) -> None:
        puts = tuple(
            Put(QUARANTINE_PREFIX + each.fingerprint, _unstructure(each))
            for each in suspicions
        )
        # Unchecked: a daemon that overwrites another's count has merged it
        # before, or will by its peers; two deaths seen by two daemons that
        # can't reach each other are merged by the next refresh.
        await self._table.transact((), puts)

    async def _write_delete(self, fingerprint: str) -> None:
        await self._table.transact((), (Delete(QUARANTINE_PREFIX + fingerprint),))

    async def _bounded(self, awaitable) -> None:
        try:
            async with asyncio.timeout(TELL_SECONDS):
                await awaitable
        except (TimeoutError, StoreUnavailable, TeaselpondError):
            # Peers and table tell each other later; the local record holds.
            return


def _unstructure(suspicion: Suspicion) -> dict:
    value = cattrs.unstructure(suspicion)
    value["death_ids"] = sorted(suspicion.death_ids)
    return value
