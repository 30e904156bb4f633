"""Serve a scenario's turns with the real dispatchers of all daemons."""

import cattrs
import cbor2
from attrs import define, evolve, field

from teaselpond.policy import (
    Decision,
    Grant,
    Outcome,
    PolicySettings,
    Queued,
    Redirect,
    Refusal,
    Release,
    SlotRequest,
)

from .daemons import SimulatedDaemons
from .engines import TurnResult, VirtualEngine
from .runs import MAX_ATTEMPTS, REQUEST_TIMEOUT_SECONDS, Simulation
from .scenarios import MODEL
from .workload import Turn, request_prefixes

MESSAGE_DELAY_SECONDS = 0.002
ENGINE_DELAY_SECONDS = 0.001
LOCATION_TTL_SECONDS = 60.0
# Keeps the turn numbers of different attempts apart on an engine.
NUMBERS_PER_ATTEMPT = 10_000_000
_CONVERTER = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


@define
class CachedLocation:
    """Hold the daemon that a caller was directed to, until it expires."""

    daemon_id: str
    expires_at: float


@define
class Attempt:
    """Track one attempt to serve a turn.

    ``slot_requests`` counts its requests for a slot: one, and one more for
    each redirect to another owner.
    """

    turn: Turn
    entry_daemon: str
    number: int = 1
    slot_requests: int = 1
    owner_id: str = ""
    excluded: tuple[str, ...] = ()

    @property
    def request_id(self) -> str:
        """Return an id that is unique to this attempt."""
        return f"{self.turn.number}.{self.number}"


@define
class FleetRun:
    """Serve turns by all daemons, with the messages between them simulated."""

    simulation: Simulation
    settings: PolicySettings = PolicySettings()
    daemons: SimulatedDaemons = field(init=False)
    _locations_by_chat: dict[str, CachedLocation] = field(factory=dict)
    _hints_by_chat: dict[str, str] = field(factory=dict)
    _attempts_by_request: dict[str, Attempt] = field(factory=dict)

    def start(self) -> None:
        """Start the daemons."""
        self.daemons = SimulatedDaemons(self.simulation, self.settings, self._advance)
        self.daemons.start()
        self.simulation.ejected_engine_ids = self._ejected_engine_ids

    def _ejected_engine_ids(self) -> set[str]:
        now = self.simulation.clock.now
        return {
            engine_id
            for dispatcher in self.daemons.dispatchers_by_id.values()
            for engine_id, engine in dispatcher.engines.by_id.items()
            if engine.outliers.is_ejected(now)
        }

    def leaked_slots(self) -> int:
        """Return the number of grants that are not released yet."""
        dispatchers = self.daemons.dispatchers_by_id.values()
        return sum(len(dispatcher.grants) for dispatcher in dispatchers)

    def serve(self, turn: Turn) -> None:
        """Serve a turn at the daemon that its caller is directed to."""
        self._start_attempt(Attempt(turn, self._locate(turn)))

    def _locate(self, turn: Turn) -> str:
        now = self.simulation.clock.now
        cached = self._locations_by_chat.get(turn.chat)
        if cached and cached.expires_at > now:
            return cached.daemon_id
        live_daemons = [
            host.host_id
            for host in self.daemons.hosts
            if host.zone not in self.simulation.zones_out
        ]
        daemon = self.daemons.dispatchers_by_id[
            live_daemons[turn.number % len(live_daemons)]
        ]
        hint = self._hints_by_chat.get(turn.chat, "")
        location = daemon.locate(turn.workspace, turn.chat, MODEL, hint, now)
        daemon_id = location.owner_id if location else daemon.daemon_id
        if location:
            self._hints_by_chat[turn.chat] = location.engine_id
        self._locations_by_chat[turn.chat] = CachedLocation(
            daemon_id, now + LOCATION_TTL_SECONDS
        )
        return daemon_id

    def _start_attempt(self, attempt: Attempt) -> None:
        turn = attempt.turn
        directory = self.daemons.dispatchers_by_id[attempt.entry_daemon].directory
        hint = self._hints_by_chat.get(turn.chat, "")
        if hint in attempt.excluded:
            hint = ""
        location = directory.home(turn.workspace, turn.chat, MODEL, hint)
        if location is None:
            self._retry(attempt, "no-home", 1.0)
            return
        attempt.owner_id = location.owner_id
        self._attempts_by_request[attempt.request_id] = attempt
        self._request_slot(attempt)

    def _request_slot(self, attempt: Attempt) -> None:
        request = self._make_request(attempt)
        delay = self._count_message(attempt, request)
        self.simulation.clock.call_after(
            delay, lambda: self._handle_request(attempt, request)
        )

    def _make_request(self, attempt: Attempt) -> SlotRequest:
        turn = attempt.turn
        return SlotRequest(
            request_id=attempt.request_id,
            workspace=turn.workspace,
            chat=turn.chat,
            model=MODEL,
            request_class=turn.request_class,
            prompt_tokens=turn.prompt_tokens,
            prefixes=request_prefixes(turn.workspace, turn.chat, turn.prompt_tokens),
            deadline=turn.sent_at + REQUEST_TIMEOUT_SECONDS,
            origin_daemon=attempt.entry_daemon,
            hint_engine=self._hints_by_chat.get(turn.chat, ""),
            excluded=attempt.excluded,
            attempt=attempt.slot_requests,
        )

    def _handle_request(self, attempt: Attempt, request: SlotRequest) -> None:
        dispatcher = self.daemons.dispatchers_by_id[attempt.owner_id]
        self._send_decision(
            attempt, dispatcher.request(request, self.simulation.clock.now)
        )

    def _send_decision(self, attempt: Attempt, decision: Decision) -> None:
        delay = self._count_message(attempt, decision)
        if not isinstance(decision, Queued):
            self.simulation.clock.call_after(
                delay, lambda: self._handle_decision(attempt, decision)
            )

    def _handle_decision(self, attempt: Attempt, decision: Decision) -> None:
        if isinstance(decision, Grant):
            engine = self.simulation.engines_by_id[decision.engine_id]
            self.simulation.clock.call_after(
                ENGINE_DELAY_SECONDS, lambda: self._submit(attempt, decision, engine)
            )
        elif isinstance(decision, Redirect):
            attempt.slot_requests += 1
            attempt.owner_id = decision.owner_id
            self._request_slot(attempt)
        elif isinstance(decision, Refusal):
            self._retry(attempt, decision.reason.value, decision.retry_after)

    def _submit(self, attempt: Attempt, grant: Grant, engine: VirtualEngine) -> None:
        started = self.simulation.clock.now
        number = attempt.turn.number + attempt.number * NUMBERS_PER_ATTEMPT
        self.simulation.submit(
            engine,
            evolve(attempt.turn, number=number),
            lambda result: self._finish(attempt, grant, engine, result, started),
        )

    def _finish(
        self,
        attempt: Attempt,
        grant: Grant,
        engine: VirtualEngine,
        result: TurnResult,
        started: float,
    ) -> None:
        turn = attempt.turn
        release = Release(
            grant.grant_id,
            Outcome.COMPLETED if result.completed else Outcome.FAILED,
            result.first_token_seconds if result.completed else None,
            turn.prompt_tokens,
            result.cached_tokens,
            turn.output_tokens,
            str(engine.incarnation) if result.completed else "",
        )
        delay = self._count_message(attempt, release)
        owner_id = attempt.owner_id
        self.simulation.clock.call_after(
            delay, lambda: self._handle_release(owner_id, release)
        )
        self._attempts_by_request.pop(attempt.request_id, None)
        if result.completed:
            self._hints_by_chat[turn.chat] = grant.engine_id
            self.simulation.recorder.record_result(turn, result, started - turn.sent_at)
        else:
            self.simulation.recorder.cut += 1
            attempt.excluded += (grant.engine_id,)
            self._retry(attempt, "failed", 0.1)

    def _handle_release(self, owner_id: str, release: Release) -> None:
        dispatcher = self.daemons.dispatchers_by_id[owner_id]
        dispatcher.release(release, self.simulation.clock.now)
        self._advance(owner_id)

    def _advance(self, daemon_id: str) -> None:
        dispatcher = self.daemons.dispatchers_by_id[daemon_id]
        for decision in dispatcher.advance(self.simulation.clock.now):
            attempt = self._attempts_by_request.get(decision.request_id)
            if attempt is not None:
                self._send_decision(attempt, decision)

    def _retry(self, attempt: Attempt, reason: str, retry_after: float) -> None:
        self._attempts_by_request.pop(attempt.request_id, None)
        turn = attempt.turn
        has_time = (
            self.simulation.clock.now + retry_after
            < turn.sent_at + REQUEST_TIMEOUT_SECONDS
        )
        if attempt.number >= MAX_ATTEMPTS or not has_time:
            self.simulation.recorder.record_refusal(reason)
            return
        self.simulation.recorder.retries += 1
        next_attempt = Attempt(
            turn, attempt.entry_daemon, attempt.number + 1, excluded=attempt.excluded
        )
        self.simulation.clock.call_after(
            retry_after, lambda: self._start_attempt(next_attempt)
        )

    def _count_message(self, attempt: Attempt, message) -> float:
        """Count a message to or from the owner; return its delay in seconds.

        An entry daemon that is itself the owner needs no message.
        """
        if attempt.owner_id == attempt.entry_daemon:
            return 0.0
        data = cbor2.dumps(_CONVERTER.unstructure(message))
        self.simulation.recorder.control_messages += 1
        self.simulation.recorder.control_bytes += len(data)
        return MESSAGE_DELAY_SECONDS
