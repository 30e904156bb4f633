"""Model an engine as a queue, a prefix cache and a warm-up."""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import count

from attrs import define, field

from teaselpond.policy import EngineProfile, RequestClass
from teaselpond_model.contracts import (
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
    LoadReport,
)

from .clock import VirtualClock
from .workload import BLOCK_TOKENS, SYSTEM_PROMPT_TOKENS, Prefix, Turn, prefixes_of

PREFILL_TOKENS_PER_SECOND = 8000.0
TOKEN_SECONDS = 0.02
TOKEN_SECONDS_PER_RUNNING = 0.0015
COLD_SLOWDOWN = 3.0
CACHE_TOKENS_PER_SLOT = 40_000
CRASH_FACTOR = 3
RESTART_SECONDS = 5.0
EVENTS_KEPT = 2000
URGENT = (RequestClass.INTERACTIVE, RequestClass.ORDER, RequestClass.LOOKUP)


@define
class Answer:
    """Hold what became of a turn on an engine."""

    completed: bool
    first_token_seconds: float
    token_seconds: float
    cached_tokens: int


@define
class Job:
    """Hold a turn on an engine and who awaits it."""

    turn: Turn
    submitted_at: float
    done: Callable[[Answer], None]
    answer: Answer | None = None


@define
class Held:
    """Hold the length of a cached prefix and whose it is."""

    workspace: str
    tokens: int


@define
class LoggedEvent:
    """Hold a cache event and when it happened."""

    at: float
    event: CacheEvent


@define
class VirtualEngine:
    """Run turns in virtual time."""

    profile: EngineProfile
    clock: VirtualClock
    incarnation: int = 1
    answers: int = 10**6
    is_down: bool = False
    cold_overruns: int = 0
    crashes: int = 0
    last_sequence: int = 0
    running: dict[int, Job] = field(factory=dict)
    _waiting: list = field(factory=list)
    _events: deque[LoggedEvent] = field(factory=lambda: deque(maxlen=EVENTS_KEPT))
    _cache: OrderedDict[str, Held] = field(factory=OrderedDict)
    _cache_tokens: int = 0
    _urgent_free_at: float = 0.0
    _free_at: float = 0.0
    _order: count = field(factory=count)

    @property
    def in_flight(self) -> int:
        """Return the turns that run or wait on the engine."""
        return len(self.running) + len(self._waiting)

    def bearable(self) -> int:
        """Return how many turns the engine bears as warm as it is."""
        return min(self.profile.slots, self.profile.cold_limit + self.answers)

    def cached_tokens(self, turn: Turn) -> int:
        """Return how much of a turn's prompt the cache holds."""
        held = self._cache.get(turn.chat) or self._cache.get(turn.workspace)
        tokens = held.tokens if held else 0
        return min(tokens, turn.prompt_tokens) // BLOCK_TOKENS * BLOCK_TOKENS

    def submit(self, turn: Turn, done: Callable[[Answer], None]) -> None:
        """Take a turn; its answer comes by the callback."""
        if self.is_down:
            done(Answer(False, 0.0, 0.0, 0))
            return
        if self.in_flight + 1 > self.bearable():
            if self.answers < self.profile.slots:
                self.cold_overruns += 1
            if self.in_flight + 1 > CRASH_FACTOR * self.bearable():
                self.crash()
                done(Answer(False, 0.0, 0.0, 0))
                return
        job = Job(turn, self.clock.now, done)
        if len(self.running) < self.profile.slots:
            self._start(job)
        else:
            urgency = turn.request_class not in URGENT
            heapq.heappush(self._waiting, (urgency, next(self._order), job))

    def crash(self) -> None:
        """Fall over under too much work and start again, cold."""
        self.crashes += 1
        self.stop()
        self.clock.call_after(RESTART_SECONDS, self.restart)

    def stop(self) -> None:
        """End at once; all that runs fails."""
        failed = [*self.running.values(), *(job for _, _, job in self._waiting)]
        self.running.clear()
        self._waiting.clear()
        self.is_down = True
        for job in failed:
            job.done(Answer(False, 0.0, 0.0, 0))

    def restart(self) -> None:
        """Start cold, with an empty cache."""
        self.is_down = False
        self.incarnation += 1
        self.answers = 0
        self.last_sequence = 0
        self._events.clear()
        self._cache.clear()
        self._cache_tokens = 0
        self._urgent_free_at = self._free_at = self.clock.now

    def report(self, age: float, sequence: int) -> LoadReport:
        """Return a load report."""
        return LoadReport(
            incarnation=str(self.incarnation),
            sequence=sequence,
            running=len(self.running),
            waiting=len(self._waiting),
            cached_tokens=self._cache_tokens,
            model=self.profile.model,
            model_version="1",
            age=age,
        )

    def cache_page(self, after: int, lag: float) -> CacheEventPage:
        """Return the events after a sequence number that are old enough."""
        visible = self.clock.now - lag
        events = tuple(
            logged.event
            for logged in self._events
            if logged.event.sequence > after and logged.at <= visible
        )
        last = events[-1].sequence if events else after
        return CacheEventPage(str(self.incarnation), events, last)

    def cache_snapshot(self) -> list[CacheEvent]:
        """Return what the cache holds, as events that stored it."""
        return [
            CacheEvent(0, CacheEventKind.STORED, prefix.hash, prefix.tokens)
            for name, held in self._cache.items()
            for prefix in prefixes_of(held.workspace, name, held.tokens)
        ]

    def _start(self, job: Job) -> None:
        now = self.clock.now
        turn = job.turn
        cached = self.cached_tokens(turn)
        first_at = self._prefill(turn, turn.prompt_tokens - cached)
        self.running[turn.number] = job
        token_seconds = TOKEN_SECONDS
        token_seconds += TOKEN_SECONDS_PER_RUNNING * len(self.running)
        job.answer = Answer(True, first_at - job.submitted_at, token_seconds, cached)
        self._store(turn)
        decode = turn.output_tokens * token_seconds
        self.clock.call_after(first_at - now + decode, lambda: self._finish(job))

    def _prefill(self, turn: Turn, tokens: int) -> float:
        seconds = tokens / PREFILL_TOKENS_PER_SECOND
        if self.answers < self.profile.slots:
            seconds *= COLD_SLOWDOWN
        now = self.clock.now
        if turn.request_class in URGENT:
            start = max(now, self._urgent_free_at)
            self._urgent_free_at = start + seconds
            # Less urgent prefills are pushed back by as much.
            self._free_at = max(self._free_at, now) + seconds
            return start + seconds
        start = max(now, self._free_at, self._urgent_free_at)
        self._free_at = start + seconds
        return start + seconds

    def _finish(self, job: Job) -> None:
        if self.running.get(job.turn.number) is not job:
            return
        del self.running[job.turn.number]
        self.answers += 1
        self._store(job.turn, job.turn.output_tokens)
        job.done(job.answer)
        while self._waiting and len(self.running) < self.profile.slots:
            self._start(heapq.heappop(self._waiting)[2])

    def _store(self, turn: Turn, output_tokens: int = 0) -> None:
        held = turn.prompt_tokens + output_tokens
        known = self._cache.get(turn.chat, Held(turn.workspace, 0)).tokens
        self._keep(turn.workspace, Held(turn.workspace, SYSTEM_PROMPT_TOKENS))
        self._keep(turn.chat, Held(turn.workspace, held))
        for prefix in prefixes_of(turn.workspace, turn.chat, held):
            if prefix.tokens > known:
                self._note(CacheEventKind.STORED, prefix)

    def _keep(self, name: str, held: Held) -> None:
        if name in self._cache:
            self._cache_tokens -= self._cache.pop(name).tokens
        self._cache[name] = held
        self._cache_tokens += held.tokens
        capacity = CACHE_TOKENS_PER_SLOT * self.profile.slots
        while self._cache_tokens > capacity:
            chat, dropped = self._cache.popitem(last=False)
            self._cache_tokens -= dropped.tokens
            for prefix in prefixes_of(dropped.workspace, chat, dropped.tokens):
                if prefix.tokens > SYSTEM_PROMPT_TOKENS:
                    self._note(CacheEventKind.EVICTED, prefix)

    def _note(self, kind: CacheEventKind, prefix: Prefix) -> None:
        self.last_sequence += 1
        event = CacheEvent(self.last_sequence, kind, prefix.hash, prefix.tokens)
        self._events.append(LoggedEvent(self.clock.now, event))
