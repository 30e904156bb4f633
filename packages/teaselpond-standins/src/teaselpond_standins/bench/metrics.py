"""Count what a run of the bench shows."""

import math

import numpy as np
from attrs import asdict, define, field, frozen

from teaselpond.policy import RequestClass

from .engines import TurnResult, VirtualEngine
from .workload import Turn

LOAD_MULTIPLE = 1.25
LOAD_FLOOR = 2
MINIMUM_IN_FLIGHT_PER_ENGINE = 2


@frozen
class Sample:
    """Hold one answered turn."""

    at: float
    request_class: RequestClass
    workspace: str
    prompt_tokens: int
    cached_tokens: int
    first_token_seconds: float
    token_seconds: float


@define
class Recorder:
    """Gather samples, loads and refusals of one run."""

    samples: list[Sample] = field(factory=list)
    refusals: dict[str, int] = field(factory=dict)
    retries: int = 0
    skews: list[float] = field(factory=list)
    above_cap: int = 0
    most_above_cap: int = 0
    sampled_above_cap: int = 0
    samples_taken: int = 0
    work_for_zones_out: int = 0
    cut: int = 0
    control_messages: int = 0
    control_bytes: int = 0
    turns: int = 0

    def answer(self, turn: Turn, answer: TurnResult, waited: float) -> None:
        """Count a whole answer; ``waited`` is the time before its engine."""
        self.samples.append(
            Sample(
                turn.sent_at,
                turn.request_class,
                turn.workspace,
                turn.prompt_tokens,
                answer.cached_tokens,
                waited + answer.first_token_seconds,
                answer.token_seconds,
            )
        )

    def refuse(self, reason: str) -> None:
        """Count a turn that ended in a refusal."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def admit(self, engine: VirtualEngine, eligible: list[VirtualEngine]) -> None:
        """Compare an engine that got work just now with the cap."""
        excess = engine.in_flight - load_cap(engine, eligible)
        if excess > 0:
            self.above_cap += 1
            self.most_above_cap = max(self.most_above_cap, excess)

    def sample(self, eligible: list[VirtualEngine]) -> None:
        """Note every engine's load over the mean at this moment."""
        if not eligible:
            return
        slots = np.array([engine.capacity() for engine in eligible])
        loads = np.array([engine.in_flight for engine in eligible])
        if loads.sum() < MINIMUM_IN_FLIGHT_PER_ENGINE * len(eligible):
            return
        mean = loads.sum() / slots.sum()
        ratios = loads / slots / mean
        self.skews.append(float(ratios.max()))
        caps = np.maximum(LOAD_FLOOR, np.ceil(LOAD_MULTIPLE * mean * slots))
        self.samples_taken += len(eligible)
        self.sampled_above_cap += int((loads > caps).sum())


def load_cap(engine: VirtualEngine, eligible: list[VirtualEngine]) -> int:
    """Return an engine's cap by what really runs, with no lag."""
    if len(eligible) <= 1:
        return engine.profile.slots
    in_flight = sum(each.in_flight for each in eligible)
    slots = sum(each.capacity() for each in eligible)
    share = LOAD_MULTIPLE * in_flight * engine.capacity() / slots
    return max(LOAD_FLOOR, math.ceil(share))


@frozen
class Result:
    """Hold the figures of one run; times are in seconds."""

    reuse: float
    reuse_by_phase: dict[str, float]
    interactive_p50: float
    interactive_p95: float
    interactive_p99: float
    in_time: float
    in_time_during: float
    other_p95: float
    token_p95: float
    skew_max: float
    skew_p99: float
    above_cap: int
    most_above_cap: int
    share_above_cap: float
    cold_overruns: int
    crashes: int
    refused: float
    refusals: dict[str, int]
    retries: int
    cut: int
    work_for_zones_out: int
    bytes_per_turn: float
    remote_share: float

    def as_record(self) -> dict:
        """Return the figures for JSON."""
        return asdict(self)


FIRST_TOKEN_TARGET_SECONDS = 1.5


def summarise(
    recorder: Recorder, engines: list[VirtualEngine], phases: dict[str, float]
) -> Result:
    """Work out the figures of a run; phases map a name to its start."""
    samples = recorder.samples
    urgent = [s for s in samples if s.request_class is RequestClass.INTERACTIVE]
    during = [s for s in urgent if _phase(s.at, phases) != "before"]
    quiet = [s for s in during if s.workspace != "w5"]
    return Result(
        reuse=_reuse(samples),
        reuse_by_phase={
            name: _reuse([s for s in samples if _phase(s.at, phases) == name])
            for name in phases
        },
        interactive_p50=_first_token(urgent, 50),
        interactive_p95=_first_token(urgent, 95),
        interactive_p99=_first_token(urgent, 99),
        in_time=_in_time(urgent),
        in_time_during=_in_time(during),
        other_p95=_first_token(quiet, 95),
        token_p95=_percentile([s.token_seconds for s in urgent], 95),
        skew_max=max(recorder.skews, default=0.0),
        skew_p99=_percentile(recorder.skews, 99),
        above_cap=recorder.above_cap,
        most_above_cap=recorder.most_above_cap,
        share_above_cap=recorder.sampled_above_cap / max(1, recorder.samples_taken),
        cold_overruns=sum(engine.cold_overruns for engine in engines),
        crashes=sum(engine.crashes for engine in engines),
        refused=sum(recorder.refusals.values()) / max(1, recorder.turns),
        refusals=dict(recorder.refusals),
        retries=recorder.retries,
        cut=recorder.cut,
        work_for_zones_out=recorder.work_for_zones_out,
        bytes_per_turn=recorder.control_bytes / max(1, recorder.turns),
        remote_share=recorder.control_messages / max(1, recorder.turns),
    )


def _phase(at: float, phases: dict[str, float]) -> str:
    return max((start, name) for name, start in phases.items() if start <= at)[1]


def _reuse(samples: list[Sample]) -> float:
    total = sum(sample.prompt_tokens for sample in samples)
    return sum(sample.cached_tokens for sample in samples) / max(1, total)


def _percentile(values: list[float], percent: float) -> float:
    return float(np.percentile(values, percent)) if values else 0.0


def _first_token(samples: list[Sample], percent: float) -> float:
    return _percentile([s.first_token_seconds for s in samples], percent)


def _in_time(samples: list[Sample]) -> float:
    if not samples:
        return 1.0
    fast = sum(s.first_token_seconds <= FIRST_TOKEN_TARGET_SECONDS for s in samples)
    return fast / len(samples)
