"""Run one short fixed drill and check each promise by itself."""

import asyncio
import functools

import testtools

from teaselpond_standins.drill import Drill, DrillPlan, Verdict
from teaselpond_standins.drill.checks import CHECKS

# Long enough for a daemon's kill and stop, a zone's leave and a store outage.
PLAN = DrillPlan(seed=22, seconds=16.0, mean_gap_seconds=1.0)


@functools.cache
def run_drill() -> tuple[Drill, dict[str, Verdict], str]:
    """Run the drill once for all the tests of this module."""
    output: list[str] = []
    drill = Drill(PLAN, output.append)
    verdicts = asyncio.run(drill.run())
    names = [check.__name__ for check in CHECKS]
    return drill, dict(zip(names, verdicts, strict=True)), "\n".join(output)


class DrillTests(testtools.TestCase):
    """Check what the drill's callers and upstreams recorded."""

    def check(self, name: str) -> None:
        """Demand that a promise held."""
        _, verdicts_by_name, output = run_drill()
        self.assertTrue(verdicts_by_name[name].held, output)

    def test_drill_ends_well(self) -> None:
        """Demand that the drill itself ran to its end and tried something."""
        drill, verdicts_by_name, output = run_drill()
        self.assertEqual([], drill.records.failures, output)
        for name in ("check_whole_answers", "check_orders", "check_plans"):
            self.assertGreater(verdicts_by_name[name].cases, 0, output)


def _add_test(name: str) -> None:
    def test(self: DrillTests) -> None:
        self.check(name)

    test.__doc__ = f"Demand what {name} does."
    setattr(DrillTests, f"test_{name.removeprefix('check_')}", test)


for _check in CHECKS:
    _add_test(_check.__name__)
