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

STORE_TIMEOUT_SECONDS = 5.0
RECORD_TIMEOUT_SECONDS = 600.0
CLAIM_STALE_SECONDS = 2.0
POLL_SECONDS = 0.1
POLL_LIMIT_SECONDS = 1.0
SEND_DELAY_LIMIT_SECONDS = 60.0
STORE_RETRY_AFTER_SECONDS = 2.0


@frozen
class LedgerSettings:
    """Hold the ledger's retention times and timeouts in seconds.

    A recorded outcome is returned to repeats for
    ``outcome_retention_seconds``. A call that was sent and has no outcome
    blocks its key for ``unresolved_retention_seconds``. A claim whose record
    is unchanged for ``claim_stale_seconds`` may be taken over. A call is not
    sent if writing its dispatch took longer than ``send_delay_seconds``.
    ``store_seconds`` limits one write before the call is sent, and
    ``record_seconds`` the writing of its outcome.
    """

    outcome_retention_seconds: float = OUTCOME_RETENTION_SECONDS
    unresolved_retention_seconds: float = UNRESOLVED_RETENTION_SECONDS
    store_seconds: float = STORE_TIMEOUT_SECONDS
    claim_stale_seconds: float = CLAIM_STALE_SECONDS
    send_delay_seconds: float = SEND_DELAY_LIMIT_SECONDS
    record_seconds: float = RECORD_TIMEOUT_SECONDS


@frozen
class _ExistingEntry:
    """Hold the entry found at the key instead of this attempt's (or None)."""

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

        Raise Refused. If the caller disconnects, a call that was sent goes on
        and its outcome is recorded.
        """
        if not call.key:
            raise refuse(RefusalCause.KEY_MISSING)
        if len(call.key) > MAX_KEY_CHARACTERS or not call.key.isprintable():
            raise refuse(
                RefusalCause.INPUT_INVALID,
                f"the idempotency key must have at most {MAX_KEY_CHARACTERS} printable "
                f"characters, got {len(call.key)} characters",
            )
        history = RunHistory()
        task = asyncio.create_task(self._run(call, history))
        self._track(task)
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self._clock())):
                return await asyncio.shield(task)
        except TimeoutError:
            if history.run is not Run.NOT_RUN:
                raise refuse(RefusalCause.DEADLINE_AFTER_SEND) from None
        # Nothing is sent after the deadline, so the task ends soon.
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait until every outcome was recorded or its recording timed out."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    @property
    def running(self) -> int:
        """Return the number of calls whose outcome isn't recorded yet."""
        return len(self._tasks)

    async def _run(self, call: ServiceCall, history: RunHistory) -> ServiceOutcome:
        result = await self._claim(call, record_key(call), 0)
        while True:
            result = await self._await_other_attempt(call, result)
            if isinstance(result, ServiceOutcome):
                return result
            result = await self._dispatch(call, result)
            if isinstance(result, VersionedRecord):
                history.record_send()
                return await self._send(call, result)

    # Claiming

    async def _await_other_attempt(
        self, call: ServiceCall, found: VersionedRecord | _ExistingEntry
    ) -> VersionedRecord | ServiceOutcome:
        """Wait for another attempt's outcome, or take over its stale claim."""
        key = record_key(call)
        delay = POLL_SECONDS
        seen_version, seen_at = 0, self._clock()
        while isinstance(found, _ExistingEntry):
            entry = found.entry
            if entry is None:
                found = await self._claim(call, key, 0)
                continue
            record = structure_record(entry.value)
            if record.fingerprint != call_fingerprint(call):
                raise refuse(RefusalCause.KEY_REUSED)
            if record.state is RecordState.DONE:
                return await self._load_recorded(record)
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
                raise _make_key_in_use_refusal(record)
            await asyncio.sleep(delay)
            delay = min(delay * 2, POLL_LIMIT_SECONDS)
            found = _ExistingEntry(await self._read(key, record))
        return found

    async def _claim(
        self, call: ServiceCall, key: str, expected_version: int
    ) -> VersionedRecord | _ExistingEntry:
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
                RefusalCause.CLAIM_UNKNOWN, retry_after=STORE_RETRY_AFTER_SECONDS
            ) from error
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.STORE_DOWN_BEFORE_SEND,
                retry_after=STORE_RETRY_AFTER_SECONDS,
            ) from error

    async def _read(self, key: str, last: LedgerRecord) -> TableEntry | None:
        try:
            return await self._table.get(key)
        except StoreUnavailable as error:
            raise _make_key_in_use_refusal(last) from error

    async def _load_recorded(self, record: LedgerRecord) -> ServiceOutcome:
        try:
            outcome = await self._outcomes.load(record.outcome)
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.OUTCOME_UNREADABLE, retry_after=STORE_RETRY_AFTER_SECONDS
            ) from error
        return evolve(outcome, repeated=True)

    # Dispatching

    async def _dispatch(
        self, call: ServiceCall, versioned: VersionedRecord
    ) -> VersionedRecord | _ExistingEntry:
        self._check_deadline(call)
        record = evolve(
            versioned.record,
            state=RecordState.DISPATCHED,
            expires_at=self._wall_clock() + self._settings.unresolved_retention_seconds,
        )
        started = self._clock()
        try:
            dispatched = await self._write(
                call, versioned.key, record, versioned.version
            )
        except StoreOutcomeUnknown as error:
            self._release_later(
                VersionedRecord(versioned.key, record, versioned.version)
            )
            raise refuse(
                RefusalCause.DISPATCH_UNKNOWN, retry_after=STORE_RETRY_AFTER_SECONDS
            ) from error
        except StoreUnavailable as error:
            raise refuse(
                RefusalCause.STORE_DOWN_BEFORE_SEND,
                retry_after=STORE_RETRY_AFTER_SECONDS,
            ) from error
        if isinstance(dispatched, _ExistingEntry):
            return dispatched
        # The process may have been paused since the write. The call isn't sent
        # if its caller has timed out or its record is about to expire.
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
    ) -> VersionedRecord | _ExistingEntry:
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
        return _ExistingEntry(result.entry)

    # Sending

    async def _send(
        self, call: ServiceCall, versioned: VersionedRecord
    ) -> ServiceOutcome:
        try:
            answer = await self._send_once(call)
        except UpstreamUnavailable as error:
            self._release_later(versioned)
            raise refuse(
                RefusalCause.CONNECT_FAILED,
                retry_after=STORE_RETRY_AFTER_SECONDS,
                peer=error.peer,
            ) from error
        except UpstreamSilent as error:
            raise refuse(RefusalCause.ANSWER_SILENT, peer=error.peer) from error
        except UpstreamBroken as error:
            raise refuse(RefusalCause.ANSWER_BROKEN, peer=error.peer) from error
        outcome = ServiceOutcome(
            answer.status, select_recorded_headers(answer.headers), answer.body
        )
        self._track(asyncio.create_task(self._record(versioned, outcome)))
        return outcome

    async def _send_once(self, call: ServiceCall) -> Answer:
        """Send to the first upstream to which a connection can be opened.

        If opening a connection fails, nothing was sent and the next upstream
        is tried. Once a connection was open, the call is never sent again.
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
        raise unavailable or UpstreamUnavailable(
            f"service {call.service} has no upstream address", step="connect"
        )

    # Recording

    async def _record(
        self, versioned: VersionedRecord, outcome: ServiceOutcome
    ) -> None:
        """Write the outcome, retrying until ``record_seconds`` have passed."""
        deadline = self._clock() + self._settings.record_seconds
        stored = await self._outcomes.store(
            versioned, outcome, deadline=deadline, clock=self._clock
        )
        record = evolve(
            versioned.record,
            state=RecordState.DONE,
            outcome=stored,
            expires_at=self._wall_clock() + self._settings.outcome_retention_seconds,
        )
        await self._write_final_record(versioned, record, deadline)

    def _release_later(self, versioned: VersionedRecord) -> None:
        """Release in the background the key of a call that won't be sent."""
        self._track(asyncio.create_task(self._release(versioned)))

    async def _release(self, versioned: VersionedRecord) -> None:
        deadline = self._clock() + self._settings.record_seconds
        released = evolve(
            versioned.record,
            state=RecordState.RELEASED,
            expires_at=self._wall_clock() + self._settings.outcome_retention_seconds,
        )
        result = await self._write_final_record(versioned, released, deadline)
        entry = result.entry if isinstance(result, WriteConflict) else None
        if entry is not None and structure_record(entry.value) == versioned.record:
            # The dispatch write had taken effect although its answer was lost.
            versioned = evolve(versioned, version=entry.version)
            await self._write_final_record(versioned, released, deadline)

    async def _write_final_record(
        self, versioned: VersionedRecord, record: LedgerRecord, deadline: float
    ) -> Written | WriteConflict | None:
        try:
            return await write_confirmed(
                self._table,
                versioned.key,
                unstructure(record),
                expected_version=versioned.version,
                is_own=lambda value: structure_record(value) == record,
                deadline=deadline,
                clock=self._clock,
            )
        except StoreUnavailable:
            # The record stays "dispatched", so repeats are refused; that is
            # safe.
            return None

    def _track(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._untrack)

    def _untrack(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Mark the error as retrieved, as the caller may have disconnected.
            task.exception()


def _make_key_in_use_refusal(record: LedgerRecord):
    if record.state is RecordState.DISPATCHED:
        return refuse(
            RefusalCause.DISPATCHED_BEFORE, retry_after=STORE_RETRY_AFTER_SECONDS
        )
    return refuse(RefusalCause.KEY_IN_USE, retry_after=STORE_RETRY_AFTER_SECONDS)
