"""Record a run's measurements and compute its figures."""

import math

import numpy as np
from attrs import asdict, define, field, frozen

from teaselpond.policy import RequestClass

from .engines import TurnResult, VirtualEngine
from .workload import Turn

LOAD_MULTIPLE = 1.25
LOAD_FLOOR = 2
MIN_IN_FLIGHT_PER_ENGINE = 2


@frozen
class Sample:
    """Describe one completed turn; ``at`` is when its caller sent it."""

    at: float
    request_class: RequestClass
    workspace: str
    prompt_tokens: int
    cached_tokens: int
    first_token_seconds: float
    token_seconds: float


@define
class Recorder:
    """Collect the measurements of one run.

    ``samples`` are completed turns; ``samples_taken`` and
    ``sampled_above_cap`` count engine loads. ``cut`` counts attempts that
    an engine failed to complete, ``work_for_zones_out`` those submitted to a
    removed zone after every daemon must have noticed the removal.
    """

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

    def record_result(
        self, turn: Turn, result: TurnResult, waited_seconds: float
    ) -> None:
        """Record a completed turn.

        ``waited_seconds`` is the time before it was submitted to its engine.
        """
        self.samples.append(
            Sample(
                turn.sent_at,
                turn.request_class,
                turn.workspace,
                turn.prompt_tokens,
                result.cached_tokens,
                waited_seconds + result.first_token_seconds,
                result.token_seconds,
            )
        )

    def record_refusal(self, reason: str) -> None:
        """Count a turn that was finally refused."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def record_admission(
        self, engine: VirtualEngine, eligible: list[VirtualEngine]
    ) -> None:
        """Compare an engine's load after an admission with its cap."""
        excess = engine.in_flight - load_cap(engine, eligible)
        if excess > 0:
            self.above_cap += 1
            self.most_above_cap = max(self.most_above_cap, excess)

    def sample_loads(self, eligible: list[VirtualEngine]) -> None:
        """Record how far the engines' present loads exceed the mean and cap.

        Skip the sample if the engines are nearly idle.
        """
        if not eligible:
            return
        slots = np.array([engine.capacity() for engine in eligible])
        loads = np.array([engine.in_flight for engine in eligible])
        if loads.sum() < MIN_IN_FLIGHT_PER_ENGINE * len(eligible):
            return
        mean = loads.sum() / slots.sum()
        ratios = loads / slots / mean
        self.skews.append(float(ratios.max()))
        caps = np.maximum(LOAD_FLOOR, np.ceil(LOAD_MULTIPLE * mean * slots))
        self.samples_taken += len(eligible)
        self.sampled_above_cap += int((loads > caps).sum())


def load_cap(engine: VirtualEngine, eligible: list[VirtualEngine]) -> int:
    """Return an engine's bounded-load cap by the engines' present loads."""
    if len(eligible) <= 1:
        return engine.profile.slots
    in_flight = sum(other.in_flight for other in eligible)
    slots = sum(other.capacity() for other in eligible)
    share = LOAD_MULTIPLE * in_flight * engine.capacity() / slots
    return max(LOAD_FLOOR, math.ceil(share))


@frozen
class Result:
    """Hold the figures of one run; times are in seconds.

    ``reuse`` is the share of prompt tokens that were cached. ``in_time`` is
    the share of interactive turns whose first token met the target, and
    ``in_time_during`` the same from the start of the fault. ``other_p95``
    leaves out the workspace that surges. The skews are ratios of the
    greatest load to the mean load.
    """

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

    def as_dict(self) -> dict:
        """Return the figures as a dictionary for JSON."""
        return asdict(self)


FIRST_TOKEN_TARGET_SECONDS = 1.5


def summarise(
    recorder: Recorder, engines: list[VirtualEngine], phase_starts: dict[str, float]
) -> Result:
    """Compute a run's figures; ``phase_starts`` maps a phase to its start."""
    samples = recorder.samples
    interactive = [s for s in samples if s.request_class is RequestClass.INTERACTIVE]
    after_fault_start = [
        s for s in interactive if _phase_at(s.at, phase_starts) != "before"
    ]
    other_workspaces = [s for s in after_fault_start if s.workspace != "w5"]
    return Result(
        reuse=_reused_share(samples),
        reuse_by_phase={
            name: _reused_share(
                [s for s in samples if _phase_at(s.at, phase_starts) == name]
            )
            for name in phase_starts
        },
        interactive_p50=_first_token_percentile(interactive, 50),
        interactive_p95=_first_token_percentile(interactive, 95),
        interactive_p99=_first_token_percentile(interactive, 99),
        in_time=_share_in_time(interactive),
        in_time_during=_share_in_time(after_fault_start),
        other_p95=_first_token_percentile(other_workspaces, 95),
        token_p95=_percentile([s.token_seconds for s in interactive], 95),
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


def _phase_at(at: float, phase_starts: dict[str, float]) -> str:
    return max((start, name) for name, start in phase_starts.items() if start <= at)[1]


def _reused_share(samples: list[Sample]) -> float:
    prompt_tokens = sum(sample.prompt_tokens for sample in samples)
    return sum(sample.cached_tokens for sample in samples) / max(1, prompt_tokens)


def _percentile(values: list[float], percent: float) -> float:
    return float(np.percentile(values, percent)) if values else 0.0


def _first_token_percentile(samples: list[Sample], percent: float) -> float:
    return _percentile([s.first_token_seconds for s in samples], percent)


def _share_in_time(samples: list[Sample]) -> float:
    if not samples:
        return 1.0
    fast = sum(s.first_token_seconds <= FIRST_TOKEN_TARGET_SECONDS for s in samples)
    return fast / len(samples)
