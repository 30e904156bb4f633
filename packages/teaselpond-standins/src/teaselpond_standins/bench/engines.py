"""Simulate an engine: its queue, prefix cache, warm-up and crashes."""

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
TOKEN_SECONDS_PER_RUNNING_TURN = 0.0015
COLD_PREFILL_FACTOR = 3.0
CACHE_TOKENS_PER_SLOT = 40_000
CRASH_LOAD_FACTOR = 3
RESTART_SECONDS = 5.0
MAX_LOGGED_EVENTS = 2000
URGENT_CLASSES = (RequestClass.INTERACTIVE, RequestClass.ORDER, RequestClass.LOOKUP)


@define
class TurnResult:
    """Describe how a turn ended on an engine.

    ``first_token_seconds`` includes the wait in the engine's queue;
    ``token_seconds`` is the time between two output tokens.
    """

    completed: bool
    first_token_seconds: float
    token_seconds: float
    cached_tokens: int


@define
class EngineJob:
    """Describe a turn on an engine and the callback for its result."""

    turn: Turn
    submitted_at: float
    on_done: Callable[[TurnResult], None]
    result: TurnResult | None = None


@define
class CachedPrefix:
    """Describe a cached prefix by its workspace and its length."""

    workspace: str
    tokens: int


@define
class LoggedCacheEvent:
    """Pair a cache event with the time at which it was logged."""

    logged_at: float
    event: CacheEvent


@define
class VirtualEngine:
    """Run turns in virtual time.

    A newly made engine is warm: it counts as having completed many turns.
    After a restart it is cold, with a low capacity that grows with each
    completed turn.
    """

    profile: EngineProfile
    clock: VirtualClock
    incarnation: int = 1
    completed_turns: int = 10**6
    is_down: bool = False
    cold_overruns: int = 0
    crashes: int = 0
    last_sequence: int = 0
    running: dict[int, EngineJob] = field(factory=dict)
    _waiting: list = field(factory=list)
    _events: deque[LoggedCacheEvent] = field(
        factory=lambda: deque(maxlen=MAX_LOGGED_EVENTS)
    )
    # The keys are chats, and workspaces for their shared system prompt.
    _cache: OrderedDict[str, CachedPrefix] = field(factory=OrderedDict)
    _cache_tokens: int = 0
    _urgent_prefill_free_at: float = 0.0
    _prefill_free_at: float = 0.0
    _arrival_numbers: count = field(factory=count)

    @property
    def in_flight(self) -> int:
        """Return the number of turns that run or wait on the engine."""
        return len(self.running) + len(self._waiting)

    def capacity(self) -> int:
        """Return how many turns the engine can hold at its present warm-up."""
        return min(self.profile.slots, self.profile.cold_limit + self.completed_turns)

    def cached_tokens(self, turn: Turn) -> int:
        """Return how many of a turn's prompt tokens are in the cache."""
        entry = self._cache.get(turn.chat) or self._cache.get(turn.workspace)
        tokens = entry.tokens if entry else 0
        return min(tokens, turn.prompt_tokens) // BLOCK_TOKENS * BLOCK_TOKENS

    def submit(self, turn: Turn, on_done: Callable[[TurnResult], None]) -> None:
        """Run or queue a turn and pass its result to the callback.

        A turn above the engine's capacity is accepted, but too many crash it.
        """
        if self.is_down:
            on_done(TurnResult(False, 0.0, 0.0, 0))
            return
        if self.in_flight + 1 > self.capacity():
            if self.completed_turns < self.profile.slots:
                self.cold_overruns += 1
            if self.in_flight + 1 > CRASH_LOAD_FACTOR * self.capacity():
                self.crash()
                on_done(TurnResult(False, 0.0, 0.0, 0))
                return
        job = EngineJob(turn, self.clock.now, on_done)
        if len(self.running) < self.profile.slots:
            self._start(job)
        else:
            priority = turn.request_class not in URGENT_CLASSES
            heapq.heappush(self._waiting, (priority, next(self._arrival_numbers), job))

    def crash(self) -> None:
        """Stop because of overload and restart after a delay."""
        self.crashes += 1
        self.stop()
        self.clock.call_after(RESTART_SECONDS, self.restart)

    def stop(self) -> None:
        """Stop at once and fail all running and waiting turns."""
        failed = [*self.running.values(), *(job for _, _, job in self._waiting)]
        self.running.clear()
        self._waiting.clear()
        self.is_down = True
        for job in failed:
            job.on_done(TurnResult(False, 0.0, 0.0, 0))

    def restart(self) -> None:
        """Start a new incarnation, cold and with an empty cache."""
        self.is_down = False
        self.incarnation += 1
        self.completed_turns = 0
        self.last_sequence = 0
        self._events.clear()
        self._cache.clear()
        self._cache_tokens = 0
        self._urgent_prefill_free_at = self._prefill_free_at = self.clock.now

    def report(self, age: float, sequence: int) -> LoadReport:
        """Return a load report of the present state, marked with an age."""
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
        """Return the cache events after a sequence number.

        Events logged in the last ``lag`` seconds are left out.
        """
        visible_before = self.clock.now - lag
        events = tuple(
            logged.event
            for logged in self._events
            if logged.event.sequence > after and logged.logged_at <= visible_before
        )
        last = events[-1].sequence if events else after
        return CacheEventPage(str(self.incarnation), events, last)

    def cache_snapshot(self) -> list[CacheEvent]:
        """Return the cached prefixes as a list of "stored" events."""
        return [
            CacheEvent(0, CacheEventKind.STORED, prefix.hash, prefix.tokens)
            for key, entry in self._cache.items()
            for prefix in prefixes_of(entry.workspace, key, entry.tokens)
        ]

    def _start(self, job: EngineJob) -> None:
        now = self.clock.now
        turn = job.turn
        cached = self.cached_tokens(turn)
        first_at = self._prefill(turn, turn.prompt_tokens - cached)
        self.running[turn.number] = job
        token_seconds = TOKEN_SECONDS
        token_seconds += TOKEN_SECONDS_PER_RUNNING_TURN * len(self.running)
        job.result = TurnResult(
            True, first_at - job.submitted_at, token_seconds, cached
        )
        self._update_cache(turn)
        decode_seconds = turn.output_tokens * token_seconds
        self.clock.call_after(
            first_at - now + decode_seconds, lambda: self._finish(job)
        )

    def _prefill(self, turn: Turn, tokens: int) -> float:
        seconds = tokens / PREFILL_TOKENS_PER_SECOND
        if self.completed_turns < self.profile.slots:
            seconds *= COLD_PREFILL_FACTOR
        now = self.clock.now
        if turn.request_class in URGENT_CLASSES:
            start = max(now, self._urgent_prefill_free_at)
            self._urgent_prefill_free_at = start + seconds
            # An urgent prefill delays the less urgent ones by its duration.
            self._prefill_free_at = max(self._prefill_free_at, now) + seconds
            return start + seconds
        start = max(now, self._prefill_free_at, self._urgent_prefill_free_at)
        self._prefill_free_at = start + seconds
        return start + seconds

    def _finish(self, job: EngineJob) -> None:
        if self.running.get(job.turn.number) is not job:
            return
        del self.running[job.turn.number]
        self.completed_turns += 1
        self._update_cache(job.turn, job.turn.output_tokens)
        job.on_done(job.result)
        while self._waiting and len(self.running) < self.profile.slots:
            self._start(heapq.heappop(self._waiting)[2])

    def _update_cache(self, turn: Turn, output_tokens: int = 0) -> None:
        total_tokens = turn.prompt_tokens + output_tokens
        known_tokens = self._cache.get(
            turn.chat, CachedPrefix(turn.workspace, 0)
        ).tokens
        self._cache_prefix(
            turn.workspace, CachedPrefix(turn.workspace, SYSTEM_PROMPT_TOKENS)
        )
        self._cache_prefix(turn.chat, CachedPrefix(turn.workspace, total_tokens))
        for prefix in prefixes_of(turn.workspace, turn.chat, total_tokens):
            if prefix.tokens > known_tokens:
                self._log_event(CacheEventKind.STORED, prefix)

    def _cache_prefix(self, key: str, entry: CachedPrefix) -> None:
        if key in self._cache:
            self._cache_tokens -= self._cache.pop(key).tokens
        self._cache[key] = entry
        self._cache_tokens += entry.tokens
        capacity = CACHE_TOKENS_PER_SLOT * self.profile.slots
        while self._cache_tokens > capacity:
            evicted_key, evicted = self._cache.popitem(last=False)
            self._cache_tokens -= evicted.tokens
            for prefix in prefixes_of(evicted.workspace, evicted_key, evicted.tokens):
                if prefix.tokens > SYSTEM_PROMPT_TOKENS:
                    self._log_event(CacheEventKind.EVICTED, prefix)

    def _log_event(self, kind: CacheEventKind, prefix: Prefix) -> None:
        self.last_sequence += 1
        event = CacheEvent(self.last_sequence, kind, prefix.hash, prefix.tokens)
        self._events.append(LoggedCacheEvent(self.clock.now, event))
