"""Run a drill from the command line."""

import asyncio
import sys

from ..drill import Drill, DrillPlan


class DrillCommand:
    """Run a fleet under seeded faults and check its guarantees."""

    name = "drill"

    def __call__(
        self,
        seed: int = 1,
        seconds: float = 60.0,
        mean_gap_seconds: float = 2.0,
        load: int = 1,
        dump: str = "",
    ) -> None:
        """Run a drill; exit 0 only if every guarantee held.

        ``load`` multiplies the number of callers; ``dump`` names a file for
        all records and the daemons' logs.
        """
        drill = Drill(DrillPlan(seed, seconds, mean_gap_seconds, load, dump=dump))
        verdicts = asyncio.run(drill.run())
        held = all(verdict.held for verdict in verdicts)
        sys.exit(0 if held and not drill.records.failures else 1)
