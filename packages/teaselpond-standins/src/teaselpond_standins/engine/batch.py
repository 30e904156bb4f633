"""Batch requests continuously, a token each a step."""

import asyncio
import enum
from collections.abc import Callable

from attrs import define, field

from .answers import Messages
from .settings import EngineSettings
from .streams import AnswerStream


class RunState(enum.Enum):
    """Name where a request stands."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@define(eq=False)
class Run:
    """Hold a request that waits, runs or has run."""

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
        """Return the token counts as the OpenAI interface gives them."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.sent,
            "total_tokens": self.prompt_tokens + self.sent,
        }


@define
class Batch:
    """Run as many requests as there are slots; the others wait by priority.

    ``answers`` counts those completed since the engine was cold.
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
        """Count the requests that run or wait."""
        return len(self.running) + len(self.waiting)

    def add(self, run: Run) -> None:
        """Let a request wait for a slot."""
        self.waiting.append(run)
        self.waiting.sort(key=lambda waiting: waiting.priority)
        self.on_load()
        self._work_added.set()

    def cancel(self, run: Run) -> None:
        """Take a request out, wherever it stands."""
        if run.state in (RunState.DONE, RunState.CANCELLED):
            return
        run.state = RunState.CANCELLED
        self._remove(run)

    def clear(self) -> None:
        """Forget all requests, as a crash does."""
        for run in (*self.running, *self.waiting):
            run.state = RunState.CANCELLED
            run.started.set()
        self.running.clear()
        self.waiting.clear()

    async def run(self) -> None:
        """Advance the batch until cancelled."""
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
