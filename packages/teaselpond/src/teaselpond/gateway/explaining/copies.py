"""Copy what decides on calls, so that a decision changes nothing.

The time and memory of a copy grow with the upstreams of one service.
"""

import copy
import random

from attrs import evolve

from ..placement import Placer
from ..rollouts.tracker import Rollouts


def copy_placer(placer: Placer, service: str, rng: random.Random) -> Placer:
    """Return a placer whose decisions on a service change nothing.

    It draws from ``rng``. It shares what decisions only read, and is not for
    recording.
    """
    engine_ids = [
        engine_id
        for engine_id, record in placer.routing_state.engines_by_id.items()
        if record.engine.service == service
    ]
    return evolve(
        placer,
        loads=placer.loads.copy(),
        health=placer.health.copy(engine_ids),
        cold_budget=placer.cold_budget.copy(engine_ids, rng),
        rng=rng,
        spreads_by_service={},
        rollouts=copy_rollouts(placer.rollouts, service),
    )


def copy_rollouts(rollouts: Rollouts, service: str) -> Rollouts:
    """Return roll-outs whose candidates for a service change nothing."""
    rollouts_by_service = {}
    rollout = rollouts.rollouts_by_service.get(service)
    if rollout is not None:
        # Candidates set how much of the exposure may be used by now.
        rollout = copy.copy(rollout)
        rollout.budget = copy.copy(rollout.budget)
        rollouts_by_service[service] = rollout
    return evolve(
        rollouts,
        journal=None,
        rollouts_by_service=rollouts_by_service,
        holds=rollouts.holds.copy(service),
    )
