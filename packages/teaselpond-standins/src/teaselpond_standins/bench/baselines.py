"""Place turns as published routers do, and as an oracle would."""

import math
from collections.abc import Callable, Sequence

import numpy as np
from attrs import define, field

from teaselpond.policy.affinity import EngineRing
from teaselpond.policy.hashing import hash64

from .engines import VirtualEngine
from .metrics import true_cap
from .workload import Turn

Chooser = Callable[[Turn, Sequence[VirtualEngine]], VirtualEngine | None]
LOAD_PENALTY_SECONDS = 0.5
PREFILL_TOKENS_PER_SECOND = 8000.0


@define
class Reports:
    """Hold every engine's load as last reported."""

    in_flight_by_engine: dict[str, float] = field(factory=dict)

    def load(self, engine: VirtualEngine) -> float:
        """Return an engine's reported load for each slot."""
        reported = self.in_flight_by_engine.get(engine.profile.engine_id, 0.0)
        return reported / engine.profile.slots


def choose_random(seed: int) -> Chooser:
    """Return a chooser that takes any engine."""
    random = np.random.default_rng(seed)
    return lambda turn, able: able[random.integers(len(able))]


def choose_least_loaded(reports: Reports) -> Chooser:
    """Return a chooser that takes the least loaded by lagging reports."""
    return lambda turn, able: min(able, key=reports.load)


def choose_better_of_two(reports: Reports, seed: int) -> Chooser:
    """Return a chooser that takes the less loaded of two at random."""
    random = np.random.default_rng(seed)

    def choose(turn: Turn, able: Sequence[VirtualEngine]) -> VirtualEngine:
        pair = random.integers(len(able), size=2)
        return min((able[index] for index in pair), key=reports.load)

    return choose


def choose_rendezvous(turn: Turn, able: Sequence[VirtualEngine]) -> VirtualEngine:
    """Take the engine with the highest hash for the chat."""
    return max(able, key=lambda engine: hash64(turn.chat, engine.profile.engine_id))


def choose_bounded(engines: Sequence[VirtualEngine]) -> Chooser:
    """Return consistent hashing with bounded loads, with true loads."""
    ring = EngineRing(engine.profile for engine in engines)
    engines_by_id = {engine.profile.engine_id: engine for engine in engines}

    def choose(turn: Turn, able: Sequence[VirtualEngine]) -> VirtualEngine:
        allowed = {engine.profile.engine_id for engine in able}
        total = 1 + sum(engine.in_flight for engine in able)
        slots = sum(engine.profile.slots for engine in able)
        for engine_id in ring.ranking(turn.workspace, turn.chat):
            engine = engines_by_id[engine_id]
            cap = math.ceil(1.25 * total * engine.profile.slots / slots)
            if engine_id in allowed and engine.in_flight < cap:
                return engine
        return able[0]

    return choose


def choose_oracle(turn: Turn, able: Sequence[VirtualEngine]) -> VirtualEngine | None:
    """Take the cheapest engine below the cap, knowing all without lag."""

    def cost(engine: VirtualEngine) -> float:
        reading = turn.prompt_tokens - engine.cached_tokens(turn)
        load = engine.in_flight / engine.bearable()
        return reading / PREFILL_TOKENS_PER_SECOND + LOAD_PENALTY_SECONDS * load

    roomy = [
        engine
        for engine in able
        if engine.in_flight < min(engine.bearable(), true_cap(engine, able))
    ]
    return min(roomy, key=cost, default=None)
