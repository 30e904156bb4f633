"""Measure the processor time and latency that a daemon's relay adds."""

import asyncio
import os
import statistics
import time
from pathlib import Path

import aiohttp
from attrs import define, field, frozen

from ..fleet import Fleet, FleetPlan, ManagedProcess
from ..fleet.document import WORKSPACES

EVENT_END = b"\n\n"
TERMINAL_EVENT = b"data: [DONE]\n\n"
IDLE_MEASUREMENT_SECONDS = 3.0
WARM_UP_SAMPLES = 40
FAST_ENGINE_FLAGS = ("--time_scale=0.05", "--max_waiting=64")
WORKSPACE_HEADERS = {"X-Workspace": WORKSPACES[0]}


@frozen
class RelayCostPlan:
    """Set the size of the measurement.

    ``samples`` requests are sent directly to an engine and as many through
    the daemon, alternately. Then ``streams`` concurrent callers read
    ``rounds`` long answers each through the daemon.
    """

    samples: int = 300
    sample_words: int = 16
    streams: int = 12
    rounds: int = 4
    stream_words: int = 400
    engines: int = 3


@frozen
class AnswerTiming:
    """Hold the seconds until the first and the last event of an answer."""

    first: float
    last: float


@define
class RelayCostResult:
    """Hold the measurements; times are in seconds.

    ``processor_seconds`` is the daemon's use under load without its idle use,
    which is ``idle_share`` of a core.
    """

    direct: list[AnswerTiming] = field(factory=list)
    relayed: list[AnswerTiming] = field(factory=list)
    events: int = 0
    processor_seconds: float = 0.0
    idle_share: float = 0.0

    @property
    def events_per_core(self) -> float:
        """Return the events relayed in one second of processor time."""
        return self.events / self.processor_seconds

    def lines(self) -> list[str]:
        """Return the result as lines of text to print."""
        lines = [
            f"events relayed          {self.events}",
            f"daemon's processor      {self.processor_seconds:.2f} s",
            f"idle daemon             {self.idle_share:.2%} of a core",
            f"events/s a core         {self.events_per_core:,.0f}",
        ]
        for name in ("first", "last"):
            for label, fraction in (("p50", 0.5), ("p99", 0.99)):
                direct = _quantile(
                    [getattr(timing, name) for timing in self.direct], fraction
                )
                relayed = _quantile(
                    [getattr(timing, name) for timing in self.relayed], fraction
                )
                lines.append(
                    f"{name} event {label:4} direct {direct * 1e3:7.2f} ms"
                    f"   relayed {relayed * 1e3:7.2f} ms   ratio {relayed / direct:.2f}"
                )
        return lines


class FastFleet(Fleet):
    """Run a fleet whose engines answer faster than real ones."""

    async def start_engine(self, engine_id: str) -> None:
        """Start a stand-in engine whose delays are shortened."""
        self.engines_by_id[engine_id] = await ManagedProcess.start(
            engine_id,
            [
                "teaselpond_standins",
                "engine",
                f"--platform={self.platform.url}",
                f"--host_id={engine_id}",
                f"--zone={engine_id.split('-')[1]}",
                f"--slots={self.plan.slots}",
                f"--cold_limit={self.plan.cold_limit}",
                *FAST_ENGINE_FLAGS,
            ],
        )


class RelayCost:
    """Compare answers read directly from an engine and through a daemon."""

    def __init__(self, plan: RelayCostPlan) -> None:
        self.plan = plan
        self.result = RelayCostResult()

    async def run(self) -> RelayCostResult:
        """Start a fleet, measure, stop the fleet and return the result."""
        fleet_plan = FleetPlan(
            zones=("imst",),
            engines_per_zone=self.plan.engines,
            daemons=1,
            slots=16,
            cold_limit=16,
        )
        async with FastFleet(fleet_plan) as fleet, aiohttp.ClientSession() as session:
            (daemon,) = fleet.daemons_by_id.values()
            engine = next(iter(fleet.engines_by_id.values()))
            await self._measure_latency(session, engine.url, daemon.url)
            await self._measure_processor_time(session, daemon)
        return self.result

    async def _measure_latency(
        self, session: aiohttp.ClientSession, engine: str, daemon: str
    ) -> None:
        for number in range(self.plan.samples + WARM_UP_SAMPLES):
            prompt = f"sample {number} words:{self.plan.sample_words}"
            direct = await self._time_answer(session, engine, prompt)
            relayed = await self._time_answer(session, daemon, prompt)
            if number >= WARM_UP_SAMPLES:
                self.result.direct.append(direct)
                self.result.relayed.append(relayed)

    async def _measure_processor_time(
        self, session: aiohttp.ClientSession, daemon: ManagedProcess
    ) -> None:
        before = _processor_seconds(daemon.pid)
        await asyncio.sleep(IDLE_MEASUREMENT_SECONDS)
        idle_share = (
            _processor_seconds(daemon.pid) - before
        ) / IDLE_MEASUREMENT_SECONDS
        started = time.monotonic()
        before = _processor_seconds(daemon.pid)
        await asyncio.gather(
            *(
                self._read_answers(session, daemon.url, stream)
                for stream in range(self.plan.streams)
            )
        )
        used_seconds = _processor_seconds(daemon.pid) - before
        elapsed = time.monotonic() - started
        self.result.idle_share = idle_share
        self.result.processor_seconds = used_seconds - idle_share * elapsed

    async def _read_answers(
        self, session: aiohttp.ClientSession, daemon: str, stream: int
    ) -> None:
        for number in range(self.plan.rounds):
            prompt = f"stream {stream} {number} words:{self.plan.stream_words}"
            async with self._post_chat(session, daemon, prompt) as response:
                content = await response.read()
            assert content.endswith(TERMINAL_EVENT), content[-200:]
            self.result.events += content.count(EVENT_END)

    async def _time_answer(
        self, session: aiohttp.ClientSession, url: str, prompt: str
    ) -> AnswerTiming:
        started = time.monotonic()
        async with self._post_chat(session, url, prompt) as response:
            chunk = await response.content.readany()
            first = time.monotonic() - started
            while not chunk.endswith(TERMINAL_EVENT):
                chunk = await response.content.readany()
                assert chunk, f"{url}: the answer ended before its terminal event"
            last = time.monotonic() - started
            await response.read()
        return AnswerTiming(first, last)

    def _post_chat(self, session: aiohttp.ClientSession, url: str, prompt: str):
        body = {
            "model": "fitting",
            "messages": [{"role": "user", "content": prompt}],
            "stream": True,
        }
        return session.post(
            f"{url}/v1/chat/completions", json=body, headers=WORKSPACE_HEADERS
        )


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _quantile(values: list[float], fraction: float) -> float:
    return statistics.quantiles(values, n=100)[round(fraction * 100) - 1]
