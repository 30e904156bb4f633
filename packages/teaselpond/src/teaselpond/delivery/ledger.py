"""Run non-idempotent service calls at most once."""

import asyncio
import time
import uuid
from collections.abc import Callable

from attrs import evolve, frozen

from teaselpond_model.contracts import ObjectStore, TableEntry, TableService
from teaselpond_model.exceptions import StoreOutcomeUnknown, StoreUnavailable

from ..exceptions import UpstreamBroken, UpstreamSilent, UpstreamUnavailable
from ..upstreams.connections import Answer, UpstreamClient
from .confirm import WriteConflict, Written, write_confirmed
from .outcomes import OutcomeStore, select_recorded_headers
from .records import (
    MAX_KEY_CHARACTERS,
    OUTCOME_RETENTION_SECONDS,
    UNRESOLVED_RETENTION_SECONDS,
    LedgerRecord,
    RecordState,
    ServiceCall,
    ServiceOutcome,
    VersionedRecord,
    call_fingerprint,
    record_key,
    structure_record,
    unstructure,
)
from .verdicts import RefusalCause, Run, RunHistory, refuse

STORE_SECONDS = 5.0
RECORD_SECONDS = 600.0
CLAIM_STALE_SECONDS = 2.0
FOLLOW_SECONDS = 0.1
FOLLOW_LIMIT_SECONDS = 1.0
SEND_DELAY_SECONDS = 60.0
STORE_RETRY_SECONDS = 2.0


@frozen
class LedgerSettings:
    """Hold the ledger's times in seconds.

    ``keep_seconds`` is how long an outcome answers repeats; a call that was
    sent and has no outcome blocks its key for ``keep_unsettled_seconds``.
    """

    outcome_retention_seconds: float = OUTCOME_RETENTION_SECONDS
    unresolved_retention_seconds: float = UNRESOLVED_RETENTION_SECONDS
    store_seconds: float = STORE_SECONDS
    claim_stale_seconds: float = CLAIM_STALE_SECONDS
    send_delay_seconds: float = SEND_DELAY_SECONDS
    record_seconds: float = RECORD_SECONDS


@frozen
class _Follow:
    """Hold what another attempt left at the key (None: nothing)."""

    entry: TableEntry | None


class Ledger:
    """Record each call before it is sent, and its outcome afterwards.

    ``client`` must not reuse connections.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        client: UpstreamClient,
        *,
        daemon: str,
        settings: LedgerSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._client = client
        self._daemon = daemon
        self._settings = settings or LedgerSettings()
        self._outcomes = OutcomeStore(objects)
        self._clock = clock
        self._wall_clock = wall_clock
        self._tasks: set[asyncio.Task] = set()

    async def run(self, call: ServiceCall) -> ServiceOutcome:
        """Return the outcome of a call, from its record if it ran before.

        Raise Refused. A caller that leaves doesn't stop a call once sent.
        """
        if not call.key:
            raise refuse(RefusalCause.KEY_MISSING)
        if len(call.key) > MAX_KEY_CHARACTERS or not call.key.isprintable():
            raise refuse(
                RefusalCause.INPUT_INVALID, "the key is too long or not printable"
            )
        history = RunHistory()
        task = asyncio.create_task(self._run(call, history))
        self._keep(task)
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self._clock())):
                return await asyncio.shield(task)
        except TimeoutError:
            if history.run is not Run.NOT_RUN:
                raise refuse(RefusalCause.DEADLINE_AFTER_SEND) from None
        # Nothing is sent after the deadline, so that this ends at once.
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait until every outcome has been recorded or given up."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    @property
    def running(self) -> int:
        """Return the number of calls whose outcome isn't recorded yet."""
        return len(self._tasks)

    async def _run(self, call: ServiceCall, history: RunHistory) -> ServiceOutcome:
        held = await self._claim(call, record_key(call), 0)
        while True:
            held = await self._follow(call, held)
            if isinstance(held, ServiceOutcome):
                return held
            held = await self._dispatch(call, held)
            if isinstance(held, VersionedRecord):
                history.record_send()
                return await self._send(call, held)

    # Claiming

    async def _follow(
        self, call: ServiceCall, found: VersionedRecord | _Follow
    ) -> VersionedRecord | ServiceOutcome:
        """Wait for another attempt's outcome, or take over its claim."""
        key = record_key(call)
        delay = FOLLOW_SECONDS
        seen_version, seen_at = 0, self._clock()
        while isinstance(found, _Follow):
            entry = found.entry
            if entry is None:
                found = await self._claim(call, key, 0)
                continue
            record = structure_record(entry.value)
            if record.fingerprint != call_fingerprint(call):
                raise refuse(RefusalCause.KEY_REUSED)
            if record.state is RecordState.DONE:
                return await self._recorded(record)
            if record.state is RecordState.RELEASED:
                found = await self._claim(call, key, entry.version)
                continue
            if entry.version != seen_version:
                seen_version, seen_at = entry.version, self._clock()
            stale = self._clock() - seen_at >= self._settings.claim_stale_seconds
            if record.state is RecordState.CLAIMED and stale:
                found = await self._claim(call, key, entry.version)
                continue
            if self._clock() + delay >= call.deadline:
                raise _still_held(record)
            await asyncio.sleep(delay)
            delay = min(delay * 2, FOLLOW_LIMIT_SECONDS)
            found = _Follow(await self._read(key, record))
        return found

    async def _claim(
        self, call: ServiceCall, key: str, expected_version: int
    ) -> VersionedRecord | _Follow:
        record = LedgerRecord(
            RecordState.CLAIMED,
            uuid.uuid4().hex,
            self._daemon,
            call_fingerprint(call),
            self._wall_clock() + self._settings.outcome_retention_seconds,
        )
        try:
            return await self._write(call, key, record, expected_version)
        except StoreOutcomeUnknown as error:
            raise refuse(
                RefusalCause.CLAIM_UNKNOWN, retry_after=STORE_RETRY_SECONDS
            ) from error
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.STORE_DOWN_BEFORE_SEND, retry_after=STORE_RETRY_SECONDS
            ) from error

    async def _read(self, key: str, last: LedgerRecord) -> TableEntry | None:
        try:
            return await self._table.get(key)
        except StoreUnavailable as error:
            raise _still_held(last) from error

    async def _recorded(self, record: LedgerRecord) -> ServiceOutcome:
        try:
            outcome = await self._outcomes.load(record.outcome)
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.OUTCOME_UNREADABLE, retry_after=STORE_RETRY_SECONDS
            ) from error
        return evolve(outcome, repeated=True)

    # Dispatching

    async def _dispatch(
        self, call: ServiceCall, held: VersionedRecord
    ) -> VersionedRecord | _Follow:
        self._check_deadline(call)
        record = evolve(
            held.record,
            state=RecordState.DISPATCHED,
            expires_at=self._wall_clock() + self._settings.unresolved_retention_seconds,
        )
        started = self._clock()
        try:
            dispatched = await self._write(call, held.key, record, held.version)
        except StoreOutcomeUnknown as error:
            self._release_later(VersionedRecord(held.key, record, held.version))
            raise refuse(
                RefusalCause.DISPATCH_UNKNOWN, retry_after=STORE_RETRY_SECONDS
            ) from error
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.STORE_DOWN_BEFORE_SEND, retry_after=STORE_RETRY_SECONDS
            ) from error
        if isinstance(dispatched, _Follow):
            return dispatched
        # The process may have been paused: a call whose caller has given up,
        # or whose record is about to expire, is no longer sent.
        late = self._clock() - started > self._settings.send_delay_seconds
        if late or self._clock() >= call.deadline:
            self._release_later(dispatched)
            raise refuse(RefusalCause.DEADLINE_BEFORE_SEND)
        return dispatched

    def _check_deadline(self, call: ServiceCall) -> None:
        if self._clock() >= call.deadline:
            raise refuse(RefusalCause.DEADLINE_BEFORE_SEND)

    async def _write(
        self,
        call: ServiceCall,
        key: str,
        record: LedgerRecord,
        expected_version: int,
    ) -> VersionedRecord | _Follow:
        def is_own(value: object) -> bool:
            return structure_record(value) == record

        limit = self._clock() + self._settings.store_seconds
        result = await write_confirmed(
            self._table,
            key,
            unstructure(record),
            expected_version=expected_version,
            is_own=is_own,
            deadline=min(call.deadline, limit),
            clock=self._clock,
        )
        if isinstance(result, Written):
            return VersionedRecord(key, record, result.version)
        return _Follow(result.entry)

    # Sending

    async def _send(self, call: ServiceCall, held: VersionedRecord) -> ServiceOutcome:
        try:
            answer = await self._send_once(call)
        except UpstreamUnavailable as error:
            self._release_later(held)
            raise refuse(
                RefusalCause.CONNECT_FAILED,
                retry_after=STORE_RETRY_SECONDS,
                peer=error.peer,
            ) from error
        except UpstreamSilent as error:
            raise refuse(RefusalCause.ANSWER_SILENT, peer=error.peer) from error
        except UpstreamBroken as error:
            raise refuse(RefusalCause.ANSWER_BROKEN, peer=error.peer) from error
        outcome = ServiceOutcome(
            answer.status, select_recorded_headers(answer.headers), answer.body
        )
        self._keep(asyncio.create_task(self._record(held, outcome)))
        return outcome

    async def _send_once(self, call: ServiceCall) -> Answer:
        """Send over the first connection that opens.

        A connection that could not be opened carried nothing, so that the
        next upstream may be tried; after that nothing is ever sent again.
        """
        unavailable = None
        for address in call.addresses:
            try:
                return await self._client.fetch(
                    address,
                    call.method,
                    call.path,
                    request_id=call.request_id,
                    headers_by_name={
                        **call.headers_by_name,
                        "Idempotency-Key": call.key,
                    },
                    body=call.body,
                )
            except UpstreamUnavailable as error:
                unavailable = error
        raise unavailable or UpstreamUnavailable("no upstream", step="connect")

    # Settling

    async def _record(self, held: VersionedRecord, outcome: ServiceOutcome) -> None:
        """Write the outcome, as long as it takes within the set time."""
        deadline = self._clock() + self._settings.record_seconds
        stored = await self._outcomes.store(
            held, outcome, deadline=deadline, clock=self._clock
        )
        record = evolve(
            held.record,
            state=RecordState.DONE,
            outcome=stored,
            expires_at=self._wall_clock() + self._settings.outcome_retention_seconds,
        )
        await self._settle(held, record, deadline)

    def _release_later(self, held: VersionedRecord) -> None:
        """Free the key of a call that was not and will not be sent."""
        self._keep(asyncio.create_task(self._release(held)))

    async def _release(self, held: VersionedRecord) -> None:
        deadline = self._clock() + self._settings.record_seconds
        released = evolve(
            held.record,
            state=RecordState.RELEASED,
            expires_at=self._wall_clock() + self._settings.outcome_retention_seconds,
        )
        result = await self._settle(held, released, deadline)
        entry = result.entry if isinstance(result, WriteConflict) else None
        if entry is not None and structure_record(entry.value) == held.record:
            # The dispatch whose answer was lost had taken effect after all.
            held = evolve(held, version=entry.version)
            await self._settle(held, released, deadline)

    async def _settle(
        self, held: VersionedRecord, record: LedgerRecord, deadline: float
    ) -> Written | WriteConflict | None:
        try:
            return await write_confirmed(
                self._table,
                held.key,
                unstructure(record),
                expected_version=held.version,
                is_own=lambda value: structure_record(value) == record,
                deadline=deadline,
                clock=self._clock,
            )
        except StoreUnavailable:
            # The record stays "dispatched", which is the safe reading.
            return None

    def _keep(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Marks the error as seen: the caller may have left by now.
            task.exception()


def _still_held(record: LedgerRecord):
    if record.state is RecordState.DISPATCHED:
        return refuse(RefusalCause.DISPATCHED_BEFORE, retry_after=STORE_RETRY_SECONDS)
    return refuse(RefusalCause.KEY_IN_USE, retry_after=STORE_RETRY_SECONDS)
