"""Drive the daemons' own dispatchers through a scenario."""

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

from .daemons import Daemons
from .engines import TurnResult, VirtualEngine
from .runs import ATTEMPTS, PATIENCE_SECONDS, World
from .scenarios import MODEL
from .workload import Turn, request_prefixes

MESSAGE_SECONDS = 0.002
ENGINE_SECONDS = 0.001
LOCATE_SECONDS = 60.0
NUMBERS_PER_ATTEMPT = 10_000_000
_CONVERTER = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


@define
class Located:
    """Hold a caller's locate answer and until when it is used."""

    daemon_id: str
    until: float


@define
class Attempt:
    """Hold a turn on its way to an engine."""

    turn: Turn
    entry: str
    number: int = 1
    asks: int = 1
    owner: str = ""
    excluded: tuple[str, ...] = ()

    @property
    def request_id(self) -> str:
        """Return an id that no other attempt has."""
        return f"{self.turn.number}.{self.number}"


@define
class FleetRun:
    """Serve turns by all daemons, as entry daemons and callers would."""

    world: World
    settings: PolicySettings = PolicySettings()
    daemons: Daemons = field(init=False)
    _located_by_chat: dict[str, Located] = field(factory=dict)
    _hints_by_chat: dict[str, str] = field(factory=dict)
    _attempts_by_request: dict[str, Attempt] = field(factory=dict)

    def start(self) -> None:
        """Start the daemons."""
        self.daemons = Daemons(self.world, self.settings, self._advance)
        self.daemons.start()
        self.world.ejected = self._ejected

    def _ejected(self) -> set[str]:
        now = self.world.clock.now
        return {
            engine_id
            for dispatcher in self.daemons.dispatchers_by_id.values()
            for engine_id, engine in dispatcher.engines.by_id.items()
            if engine.outliers.is_ejected(now)
        }

    def leaked_slots(self) -> int:
        """Return the grants that are still open."""
        dispatchers = self.daemons.dispatchers_by_id.values()
        return sum(len(dispatcher.grants) for dispatcher in dispatchers)

    def serve(self, turn: Turn) -> None:
        """Take a turn at the daemon that the caller knows."""
        self._enter(Attempt(turn, self._locate(turn)))

    def _locate(self, turn: Turn) -> str:
        now = self.world.clock.now
        known = self._located_by_chat.get(turn.chat)
        if known and known.until > now:
            return known.daemon_id
        live = [
            host.host_id
            for host in self.daemons.hosts
            if host.zone not in self.world.zones_out
        ]
        asked = self.daemons.dispatchers_by_id[live[turn.number % len(live)]]
        hint = self._hints_by_chat.get(turn.chat, "")
        home = asked.locate(turn.workspace, turn.chat, MODEL, hint, now)
        daemon_id = home.owner_id if home else asked.daemon_id
        if home:
            self._hints_by_chat[turn.chat] = home.engine_id
        self._located_by_chat[turn.chat] = Located(daemon_id, now + LOCATE_SECONDS)
        return daemon_id

    def _enter(self, attempt: Attempt) -> None:
        turn = attempt.turn
        directory = self.daemons.dispatchers_by_id[attempt.entry].directory
        hint = self._hints_by_chat.get(turn.chat, "")
        if hint in attempt.excluded:
            hint = ""
        home = directory.home(turn.workspace, turn.chat, MODEL, hint)
        if home is None:
            self._retry(attempt, "no-home", 1.0)
            return
        attempt.owner = home.owner_id
        self._attempts_by_request[attempt.request_id] = attempt
        self._ask(attempt)

    def _ask(self, attempt: Attempt) -> None:
        request = self._request(attempt)
        delay = self._send(attempt, request)
        self.world.clock.call_after(delay, lambda: self._asked(attempt, request))

    def _request(self, attempt: Attempt) -> SlotRequest:
        turn = attempt.turn
        return SlotRequest(
            request_id=attempt.request_id,
            workspace=turn.workspace,
            chat=turn.chat,
            model=MODEL,
            request_class=turn.request_class,
            prompt_tokens=turn.prompt_tokens,
            prefixes=request_prefixes(turn.workspace, turn.chat, turn.prompt_tokens),
            deadline=turn.sent_at + PATIENCE_SECONDS,
            origin_daemon=attempt.entry,
            hint_engine=self._hints_by_chat.get(turn.chat, ""),
            excluded=attempt.excluded,
            attempt=attempt.asks,
        )

    def _asked(self, attempt: Attempt, request: SlotRequest) -> None:
        dispatcher = self.daemons.dispatchers_by_id[attempt.owner]
        self._answered(attempt, dispatcher.request(request, self.world.clock.now))

    def _answered(self, attempt: Attempt, answer: Decision) -> None:
        delay = self._send(attempt, answer)
        if not isinstance(answer, Queued):
            self.world.clock.call_after(delay, lambda: self._act(attempt, answer))

    def _act(self, attempt: Attempt, answer: Decision) -> None:
        if isinstance(answer, Grant):
            engine = self.world.engines_by_id[answer.engine_id]
            self.world.clock.call_after(
                ENGINE_SECONDS, lambda: self._submit(attempt, answer, engine)
            )
        elif isinstance(answer, Redirect):
            attempt.asks += 1
            attempt.owner = answer.owner_id
            self._ask(attempt)
        elif isinstance(answer, Refusal):
            self._retry(attempt, answer.reason.value, answer.retry_after)

    def _submit(self, attempt: Attempt, grant: Grant, engine: VirtualEngine) -> None:
        started = self.world.clock.now
        number = attempt.turn.number + attempt.number * NUMBERS_PER_ATTEMPT
        self.world.submit(
            engine,
            evolve(attempt.turn, number=number),
            lambda answer: self._finish(attempt, grant, engine, answer, started),
        )

    def _finish(
        self,
        attempt: Attempt,
        grant: Grant,
        engine: VirtualEngine,
        answer: TurnResult,
        started: float,
    ) -> None:
        turn = attempt.turn
        release = Release(
            grant.grant_id,
            Outcome.COMPLETED if answer.completed else Outcome.FAILED,
            answer.first_token_seconds if answer.completed else None,
            turn.prompt_tokens,
            answer.cached_tokens,
            turn.output_tokens,
            str(engine.incarnation) if answer.completed else "",
        )
        delay = self._send(attempt, release)
        owner = attempt.owner
        self.world.clock.call_after(delay, lambda: self._released(owner, release))
        self._attempts_by_request.pop(attempt.request_id, None)
        if answer.completed:
            self._hints_by_chat[turn.chat] = grant.engine_id
            self.world.recorder.answer(turn, answer, started - turn.sent_at)
        else:
            self.world.recorder.cut += 1
            attempt.excluded += (grant.engine_id,)
            self._retry(attempt, "failed", 0.1)

    def _released(self, owner: str, release: Release) -> None:
        dispatcher = self.daemons.dispatchers_by_id[owner]
        dispatcher.release(release, self.world.clock.now)
        self._advance(owner)

    def _advance(self, daemon_id: str) -> None:
        dispatcher = self.daemons.dispatchers_by_id[daemon_id]
        for answer in dispatcher.advance(self.world.clock.now):
            attempt = self._attempts_by_request.get(answer.request_id)
            if attempt is not None:
                self._answered(attempt, answer)

    def _retry(self, attempt: Attempt, reason: str, after: float) -> None:
        self._attempts_by_request.pop(attempt.request_id, None)
        turn = attempt.turn
        in_time = self.world.clock.now + after < turn.sent_at + PATIENCE_SECONDS
        if attempt.number >= ATTEMPTS or not in_time:
            self.world.recorder.refuse(reason)
            return
        self.world.recorder.retries += 1
        again = Attempt(
            turn, attempt.entry, attempt.number + 1, excluded=attempt.excluded
        )
        self.world.clock.call_after(after, lambda: self._enter(again))

    def _send(self, attempt: Attempt, message) -> float:
        """Count a message to the owner; return the seconds that it takes."""
        if attempt.owner == attempt.entry:
            return 0.0
        data = cbor2.dumps(_CONVERTER.unstructure(message))
        self.world.recorder.control_messages += 1
        self.world.recorder.control_bytes += len(data)
        return MESSAGE_SECONDS
