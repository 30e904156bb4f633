"""Measure the start of a gateway from the command line."""

import asyncio
import os
import statistics
import sys
from pathlib import Path

import attrs

from ..start_cost import StartCost, StartCostPlan, StartCosts


class StartCostCommand:
    """Start gateways of a built checkout and print what a start costs."""

    name = "start_cost"

    def __call__(self, runs: int = 10, root: str = ".", python: str = "") -> None:
        """Print the least, median and greatest cost at each step.

        Times are in milliseconds of processor time from the process's start.
        """
        interpreter = python or os.path.realpath(sys.executable)
        plan = StartCostPlan(runs, Path(root), interpreter)
        costs = asyncio.run(StartCosts(plan).measure())
        for step in attrs.fields(StartCost):
            values = [getattr(cost, step.name) for cost in costs]
            if step.name != "peak_kilobytes":
                values = [1000 * value for value in values]
            print(
                f"{step.name:16} min {min(values):8.0f} "
                f"median {statistics.median(values):8.0f} max {max(values):8.0f}"
            )
