"""Run requests in a continuous batch, one token per request and step."""

import asyncio
import enum
from collections.abc import Callable

from attrs import define, field

from .answers import Messages
from .settings import EngineSettings
from .streams import AnswerStream


class RunState(enum.Enum):
    """List the states of a request."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@define(eq=False)
class Run:
    """Hold a request and the progress of its run."""

    request_id: str
    priority: int
    messages: Messages
    prefixes: tuple[str, ...]
    prompt_tokens: int
    tokens: list[str]
    finish_reason: str
    stream: AnswerStream
    state: RunState = RunState.WAITING
    cached_tokens: int = 0
    prefill_left: int = 0
    sent: int = 0
    started: asyncio.Event = field(factory=asyncio.Event)

    @property
    def usage(self) -> dict[str, int]:
        """Return the token counts in the format of the OpenAI interface."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.sent,
            "total_tokens": self.prompt_tokens + self.sent,
        }


@define
class Batch:
    """Run up to ``slots`` requests; the others wait in order of priority.

    The lowest priority number runs first. ``answers`` counts the answers
    completed since the engine was cold.
    """

    settings: EngineSettings
    on_start: Callable[[Run], None]
    on_prefilled: Callable[[Run], None]
    on_end: Callable[[Run], None]
    on_load: Callable[[], None]
    unpaused: asyncio.Event
    answers: int = 0
    running: list[Run] = field(factory=list)
    waiting: list[Run] = field(factory=list)
    _work_added: asyncio.Event = field(factory=asyncio.Event)

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def add(self, run: Run) -> None:
        """Queue a request until a slot is free."""
        self.waiting.append(run)
        self.waiting.sort(key=lambda waiting: waiting.priority)
        self.on_load()
        self._work_added.set()

    def cancel(self, run: Run) -> None:
        """Remove a running or waiting request; ignore one that has ended."""
        if run.state in (RunState.DONE, RunState.CANCELLED):
            return
        run.state = RunState.CANCELLED
        self._remove(run)

    def clear(self) -> None:
        """Drop all requests without calling ``on_end``, as a crash does."""
        for run in (*self.running, *self.waiting):
            run.state = RunState.CANCELLED
            run.started.set()
        self.running.clear()
        self.waiting.clear()

    async def run(self) -> None:
        """Run the batch step by step until cancelled."""
        while True:
            await self.unpaused.wait()
            self._admit()
            if not self.running:
                self._work_added.clear()
                await self._work_added.wait()
                continue
            chunk = self._choose_prefill()
            seconds = self.settings.step_time(len(self.running), chunk, self.answers)
            await asyncio.sleep(seconds)
            await self.unpaused.wait()
            self._advance(chunk)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.settings.slots:
            run = self.waiting.pop(0)
            run.state = RunState.RUNNING
            self.running.append(run)
            self.on_load()
            self.on_start(run)
            run.started.set()

    def _choose_prefill(self) -> int:
        left = next((run.prefill_left for run in self.running if run.prefill_left), 0)
        return min(left, self.settings.prefill_chunk_tokens)

    def _advance(self, chunk: int) -> None:
        for run in list(self.running):
            if run.state is not RunState.RUNNING:
                continue
            if run.prefill_left:
                used = min(chunk, run.prefill_left)
                run.prefill_left -= used
                chunk -= used
                if run.prefill_left:
                    continue
                self.on_prefilled(run)
            if run.state is RunState.RUNNING:
                self._produce(run)

    def _produce(self, run: Run) -> None:
        if run.sent < len(run.tokens):
            run.stream.add_token(run.tokens[run.sent])
            run.sent += 1
        if run.sent == len(run.tokens):
            run.state = RunState.DONE
            self.answers += 1
            self._remove(run)

    def _remove(self, run: Run) -> None:
        if run in self.running:
            self.running.remove(run)
        else:
            self.waiting.remove(run)
        run.started.set()
        self.on_load()
        self.on_end(run)
