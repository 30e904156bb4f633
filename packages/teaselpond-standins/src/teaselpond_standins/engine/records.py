"""Record what an engine has run, across its crashes."""

import time
from collections import Counter

from attrs import define, field, frozen

from teaselpond_model.contracts import EngineOrder

MAX_HISTORY = 200_000


@frozen
class LoadChange:
    """Record the numbers of running and waiting requests from ``time`` on.

    ``time`` is in seconds of the wall clock; ``bearing`` is how many requests
    the engine could run without a crash.
    """

    time: float
    running: int
    waiting: int
    bearing: int


@frozen
class RunStart:
    """Record when a request started, in seconds of the wall clock."""

    time: float
    request_id: str


@define
class EngineRecords:
    """Hold counters and histories of one engine.

    ``overrun`` is set once there are more requests than slots. Only the first
    MAX_HISTORY entries of ``history`` and of ``starts`` are kept.
    """

    starts_by_request_id: Counter[str] = field(factory=Counter)
    completed: int = 0
    cancelled: int = 0
    refused: int = 0
    crash_times: list[float] = field(factory=list)
    cold_crashes: int = 0
    # Overload crashes after ``turn_cold``; ``cold_crashes`` excludes them.
    sudden_cold_crashes: int = 0
    crashes_by_poison: Counter[str] = field(factory=Counter)
    max_running: int = 0
    max_load: int = 0
    overrun: bool = False
    cached_tokens: int = 0
    prompt_tokens: int = 0
    orders: list[EngineOrder] = field(factory=list)
    history: list[LoadChange] = field(factory=list)
    starts: list[RunStart] = field(factory=list)

    def record_load(
        self, running: int, waiting: int, slots: int, capacity: int
    ) -> None:
        """Record a change of load."""
        load = running + waiting
        self.max_running = max(self.max_running, running)
        self.max_load = max(self.max_load, load)
        self.overrun = self.overrun or load > slots
        if len(self.history) < MAX_HISTORY:
            self.history.append(LoadChange(time.time(), running, waiting, capacity))

    def record_start(self, request_id: str, prompt_tokens: int, cached: int) -> None:
        """Record that a request starts to run.

        ``cached`` is the number of prompt tokens found in the cache.
        """
        self.starts_by_request_id[request_id] += 1
        if len(self.starts) < MAX_HISTORY:
            self.starts.append(RunStart(time.time(), request_id))
        self.prompt_tokens += prompt_tokens
        self.cached_tokens += cached
