"""Run a soak from the command line."""

import asyncio
import sys

from ..soak import Soak, SoakPlan


class SoakCommand:
    """Soak gateway processes under seeded faults and judge their promises."""

    name = "soak"

    def __call__(
        self,
        seed: int = 1,
        seconds: float = 30.0,
        mean_gap_seconds: float = 1.0,
        gateways: int = 6,
        callers: int = 24,
        seeds: int = 1,
        dump: str = "",
    ) -> None:
        """Run soaks of some seeds in a row; exit 0 only when all held.

        ``dump`` names a folder for the records and the gateways' logs.
        """
        failed = []
        for each in range(seed, seed + seeds):
            plan = SoakPlan(
                each,
                seconds,
                mean_gap_seconds,
                gateways,
                callers=callers,
                dump=f"{dump}/{each}" if dump else "",
            )
            soak = Soak(plan)
            verdicts = asyncio.run(soak.run())
            held = all(verdict.held for verdict in verdicts)
            if not held or soak.records.failures:
                failed.append(each)
        if failed:
            print(f"failed seeds: {', '.join(map(str, failed))}")
        sys.exit(1 if failed else 0)
