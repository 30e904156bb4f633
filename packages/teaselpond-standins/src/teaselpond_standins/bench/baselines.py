"""Choose engines as published routers do, and as an oracle would."""

import math
from collections.abc import Callable, Sequence

import numpy as np
from attrs import define, field

from teaselpond.policy.affinity import EngineRing
from teaselpond.policy.hashing import hash64

from .engines import VirtualEngine
from .metrics import load_cap
from .workload import Turn

Chooser = Callable[[Turn, Sequence[VirtualEngine]], VirtualEngine | None]
LOAD_PENALTY_SECONDS = 0.5
PREFILL_TOKENS_PER_SECOND = 8000.0


@define
class LoadReports:
    """Hold each engine's last reported load, which may be out of date."""

    in_flight_by_engine: dict[str, float] = field(factory=dict)

    def load_per_slot(self, engine: VirtualEngine) -> float:
        """Return an engine's reported requests in flight per slot."""
        reported = self.in_flight_by_engine.get(engine.profile.engine_id, 0.0)
        return reported / engine.profile.slots


def choose_random(seed: int) -> Chooser:
    """Return a chooser that picks an engine at random."""
    rng = np.random.default_rng(seed)
    return lambda turn, eligible: eligible[rng.integers(len(eligible))]


def choose_least_loaded(reports: LoadReports) -> Chooser:
    """Return a chooser that picks the engine with the least reported load."""
    return lambda turn, eligible: min(eligible, key=reports.load_per_slot)


def choose_better_of_two(reports: LoadReports, seed: int) -> Chooser:
    """Return a chooser that picks the less loaded of two random engines."""
    rng = np.random.default_rng(seed)

    def choose(turn: Turn, eligible: Sequence[VirtualEngine]) -> VirtualEngine:
        pair = rng.integers(len(eligible), size=2)
        return min((eligible[index] for index in pair), key=reports.load_per_slot)

    return choose


def choose_rendezvous(turn: Turn, eligible: Sequence[VirtualEngine]) -> VirtualEngine:
    """Return the engine with the highest rendezvous hash for the chat."""
    return max(eligible, key=lambda engine: hash64(turn.chat, engine.profile.engine_id))


def choose_bounded_load(engines: Sequence[VirtualEngine]) -> Chooser:
    """Return a chooser for consistent hashing with bounded loads.

    It uses the engines' current loads instead of reported ones.
    """
    ring = EngineRing(engine.profile for engine in engines)
    engines_by_id = {engine.profile.engine_id: engine for engine in engines}

    def choose(turn: Turn, eligible: Sequence[VirtualEngine]) -> VirtualEngine:
        allowed = {engine.profile.engine_id for engine in eligible}
        total_in_flight = 1 + sum(engine.in_flight for engine in eligible)
        total_slots = sum(engine.profile.slots for engine in eligible)
        for engine_id in ring.ranking(turn.workspace, turn.chat):
            engine = engines_by_id[engine_id]
            cap = math.ceil(1.25 * total_in_flight * engine.profile.slots / total_slots)
            if engine_id in allowed and engine.in_flight < cap:
                return engine
        return eligible[0]

    return choose


def choose_oracle(
    turn: Turn, eligible: Sequence[VirtualEngine]
) -> VirtualEngine | None:
    """Return the cheapest engine below its cap, or None if there is none.

    Use the engines' current caches and loads, which no router can know.
    """

    def cost(engine: VirtualEngine) -> float:
        uncached_tokens = turn.prompt_tokens - engine.cached_tokens(turn)
        load = engine.in_flight / engine.capacity()
        return uncached_tokens / PREFILL_TOKENS_PER_SECOND + LOAD_PENALTY_SECONDS * load

    below_cap = [
        engine
        for engine in eligible
        if engine.in_flight < min(engine.capacity(), load_cap(engine, eligible))
    ]
    return min(below_cap, key=cost, default=None)
