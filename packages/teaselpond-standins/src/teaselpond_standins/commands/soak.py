"""Run a soak from the command line."""

import asyncio
import sys

from ..soak import Soak, SoakPlan


class SoakCommand:
    """Run gateway processes under seeded faults and check their guarantees."""

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
        """Run ``seeds`` soaks from ``seed`` on; exit 0 only if all held.

        ``dump`` names a folder for the records and the gateways' logs.
        """
        failed_seeds = []
        for each_seed in range(seed, seed + seeds):
            plan = SoakPlan(
                each_seed,
                seconds,
                mean_gap_seconds,
                gateways,
                callers=callers,
                dump=f"{dump}/{each_seed}" if dump else "",
            )
            soak = Soak(plan)
            verdicts = asyncio.run(soak.run())
            held = all(verdict.held for verdict in verdicts)
            if not held or soak.records.failures:
                failed_seeds.append(each_seed)
        if failed_seeds:
            print(f"failed seeds: {', '.join(map(str, failed_seeds))}")
        sys.exit(1 if failed_seeds else 0)
