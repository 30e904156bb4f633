"""Measure the relay's cost from the command line."""

import asyncio

from ..delivery_bench import RelayCost, RelayCostPlan


class RelayCostCommand:
    """Compare streams through a daemon with direct streams."""

    name = "relay_cost"

    def __call__(self, samples: int = 300, streams: int = 12, rounds: int = 4) -> None:
        """Print the daemon's events/s per core and its added latency."""
        plan = RelayCostPlan(samples=samples, streams=streams, rounds=rounds)
        result = asyncio.run(RelayCost(plan).run())
        print("\n".join(result.lines()))
