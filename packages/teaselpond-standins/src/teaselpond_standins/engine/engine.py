"""Simulate an engine, with its crashes and cold starts."""

import asyncio
import itertools
import time
import uuid
from collections import deque
from collections.abc import Awaitable, Callable

from attrs import define, evolve, field

from teaselpond_model.contracts import EngineOrder, LoadReport, OrderKind
from teaselpond_model.prefixes import count_tokens, prefix_hashes, prompt_text

from .answers import Messages, continue_answer, find_poison, split_partial_answer
from .batch import Batch, Run, RunState
from .cache import PrefixCache
from .records import EngineRecords
from .settings import EngineSettings
from .streams import AnswerStream


@define(eq=False)
class Engine:
    """Simulate one engine.

    A crash loses the requests, streams, cache and load reports. The model,
    role, adapters, fence and records survive it.
    """

    settings: EngineSettings
    on_crash: Callable[[], None]
    records: EngineRecords = field(factory=EngineRecords)
    incarnation: str = ""
    model: str = field(init=False)
    model_version: str = field(init=False)
    role: str = field(init=False)
    adapters: tuple[str, ...] = ()
    fence: int = 0
    is_loading: bool = False
    unpaused: asyncio.Event = field(factory=asyncio.Event)
    batch: Batch = field(init=False)
    cache: PrefixCache = field(init=False)
    runs_by_stream_id: dict[str, Run] = field(init=False)
    _reports: deque[LoadReport] = field(init=False)
    _report_times: deque[float] = field(init=False)
    _sequence: itertools.count = field(init=False)
    _tolerates_overload: bool = False
    _turned_cold: bool = False
    _tasks: list[asyncio.Task] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.model = self.settings.model
        self.model_version = self.settings.model_version
        self.role = self.settings.role
        self.unpaused.set()
        self._reset()

    def start(self) -> None:
        """Start running requests and reporting load."""
        self._tasks = [
            asyncio.create_task(self.batch.run()),
            asyncio.create_task(self._report_load()),
        ]

    async def stop(self) -> None:
        """Stop all tasks and wait until they have ended."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def crash(self) -> None:
        """Drop all requests, streams and cached blocks.

        The engine is cold and has a new incarnation; it runs again after
        ``start``.
        """
        self.records.crash_times.append(time.time())
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self.batch.clear()
        for run in self.runs_by_stream_id.values():
            run.stream.abandon(time.monotonic())
        self._reset()
        self.on_crash()

    def turn_cold(self) -> None:
        """Empty the cache and fall back to the cold capacity, unannounced."""
        self.batch.answers = 0
        self.cache.clear(time.monotonic())
        # Requests that run already don't crash the engine. After the next
        # answer the cold limit applies to new ones.
        self._tolerates_overload = self._turned_cold = True

    def pause(self) -> None:
        """Stop processing, with every connection open."""
        self.unpaused.clear()

    def unpause(self) -> None:
        """Continue after a pause."""
        self.unpaused.set()

    def accepts(self, model: str) -> bool:
        """Return whether a request for a model can be queued now."""
        return (
            not self.is_loading
            and self.role == "serve"
            and model in (self.model, *self.adapters)
            and len(self.batch.waiting) < self.settings.max_waiting
        )

    def submit(
        self, request_id: str, messages: Messages, priority: int, max_tokens: int | None
    ) -> Run:
        """Queue a request and return its run."""
        answer = continue_answer(messages, max_tokens)
        text = prompt_text(messages)
        stream = AnswerStream(
            stream_id=uuid.uuid4().hex,
            request_id=request_id,
            model=self.model,
            created=int(time.time()),
        )
        run = Run(
            request_id=request_id,
            priority=priority,
            messages=messages,
            prefixes=prefix_hashes(text),
            prompt_tokens=count_tokens(text),
            tokens=answer.tokens,
            finish_reason=answer.finish_reason,
            stream=stream,
        )
        self._remove_expired_streams(time.monotonic())
        self.runs_by_stream_id[stream.stream_id] = run
        self.batch.add(run)
        return run

    def cancel(self, run: Run) -> None:
        """Cancel a request that runs or waits."""
        self.batch.cancel(run)

    def report(self, now: float) -> LoadReport:
        """Return the load report of ``load_lag_seconds`` ago, with its age."""
        lag = self.settings.load_lag_seconds * self.settings.time_scale
        index = 0
        for position, recorded_at in enumerate(self._report_times):
            if recorded_at <= now - lag:
                index = position
        age = max(now - self._report_times[index], 0.0)
        return evolve(self._reports[index], age=age)

    async def execute_order(self, order: EngineOrder) -> bool:
        """Execute an order and return True.

        Return False if fences are checked and the order's is outdated.
        """
        if self.settings.checks_fences and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        self.records.orders.append(order)
        await ORDER_HANDLERS[order.kind](self, order)
        return True

    async def load_model(self, order: EngineOrder) -> None:
        """Replace the model, which empties the cache and cools the engine."""
        self.is_loading = True
        try:
            seconds = self.settings.load_model_seconds * self.settings.time_scale
            await asyncio.sleep(seconds)
        finally:
            self.is_loading = False
        self.model = order.model
        self.model_version = order.model_version
        self.cache.clear(time.monotonic())
        self.batch.answers = 0

    async def load_adapter(self, order: EngineOrder) -> None:
        """Add an adapter to those served."""
        if order.adapter not in self.adapters:
            self.adapters += (order.adapter,)

    async def set_role(self, order: EngineOrder) -> None:
        """Set the engine's role."""
        self.role = order.role

    def _reset(self) -> None:
        settings = self.settings
        self.incarnation = uuid.uuid4().hex[:12]
        self.batch = Batch(
            settings=settings,
            on_start=self._on_start,
            on_prefilled=self._on_prefilled,
            on_end=self._on_end,
            on_load=self._on_load,
            unpaused=self.unpaused,
        )
        self.cache = PrefixCache(
            settings.cache_tokens, settings.cache_event_gap_share, settings.seed
        )
        self.runs_by_stream_id = {}
        self._tolerates_overload = self._turned_cold = False
        self._sequence = itertools.count(1)
        self._reports = deque(maxlen=256)
        self._report_times = deque(maxlen=256)
        self._record_report(time.monotonic())

    def _on_start(self, run: Run) -> None:
        run.cached_tokens = self.cache.match(run.prefixes)
        run.prefill_left = max(run.prompt_tokens - run.cached_tokens, 1)
        self.records.record_start(run.request_id, run.prompt_tokens, run.cached_tokens)
        if len(self.batch.running) <= self.settings.capacity(self.batch.answers):
            return
        if not self._tolerates_overload:
            if self._turned_cold:
                self.records.sudden_cold_crashes += 1
            else:
                self.records.cold_crashes += 1
            self.crash()

    def _on_prefilled(self, run: Run) -> None:
        poison = find_poison(run.messages)
        if poison:
            self.records.crashes_by_poison[poison] += 1
            self.crash()
            return
        self.cache.store(run.prefixes, time.monotonic())

    def _on_end(self, run: Run) -> None:
        now = time.monotonic()
        if run.state is RunState.CANCELLED:
            self.records.cancelled += 1
            run.stream.abandon(now)
            return
        self.records.completed += 1
        self._tolerates_overload = False
        self._store_answer(run, now)
        run.stream.finish(run.finish_reason, run.usage, now)

    def _store_answer(self, run: Run, now: float) -> None:
        question, partial = split_partial_answer(run.messages)
        answer = {"role": "assistant", "content": partial + run.stream.text}
        self.cache.store(prefix_hashes(prompt_text([*question, answer])), now)

    def _on_load(self) -> None:
        batch = self.batch
        capacity = self.settings.capacity(batch.answers)
        if self._tolerates_overload:
            capacity = self.settings.slots
        self.records.record_load(
            len(batch.running), len(batch.waiting), self.settings.slots, capacity
        )

    def _remove_expired_streams(self, now: float) -> None:
        keep_seconds = self.settings.keep_stream_seconds * self.settings.time_scale
        for stream_id, run in list(self.runs_by_stream_id.items()):
            ended_at = run.stream.ended_at
            if ended_at is not None and ended_at + keep_seconds < now:
                del self.runs_by_stream_id[stream_id]

    async def _report_load(self) -> None:
        interval = self.settings.load_interval_seconds * self.settings.time_scale
        while True:
            await self.unpaused.wait()
            self._record_report(time.monotonic())
            await asyncio.sleep(interval)

    def _record_report(self, now: float) -> None:
        report = LoadReport(
            incarnation=self.incarnation,
            sequence=next(self._sequence),
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            cached_tokens=self.cache.tokens,
            model=self.model,
            model_version=self.model_version,
            adapters=self.adapters,
            role=self.role,
            fence=self.fence,
        )
        self._reports.append(report)
        self._report_times.append(now)


OrderHandler = Callable[[Engine, EngineOrder], Awaitable[None]]
ORDER_HANDLERS: dict[OrderKind, OrderHandler] = {
    OrderKind.LOAD_MODEL: Engine.load_model,
    OrderKind.LOAD_ADAPTER: Engine.load_adapter,
    OrderKind.SET_ROLE: Engine.set_role,
}
