"""Measure a rolling restart from the command line."""

import asyncio
import sys

import attrs

from ..delivery_bench import RollingRestart, RollingRestartPlan


class RollingRestartCommand:
    """Restart every daemon in turn under load and count cut connections."""

    name = "rolling_restart"

    def __call__(self, requests: int = 2000, daemons: int = 4, callers: int = 24):
        """Print the counts; exit 0 only if no connection was cut.

        A wrong or missing answer or a daemon that stopped uncleanly fails
        the run too.
        """
        plan = RollingRestartPlan(daemons=daemons, callers=callers, requests=requests)
        tally = asyncio.run(RollingRestart(plan).run())
        for field in attrs.fields(type(tally)):
            print(f"{field.name:20} {getattr(tally, field.name)}")
        sys.exit(0 if tally.passed else 1)
