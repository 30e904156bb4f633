"""Run one short drill with a fixed seed and test each check's verdict."""

import asyncio
import functools

import testtools

from teaselpond_standins.drill import Drill, DrillPlan, Verdict
from teaselpond_standins.drill.checks import CHECKS

# Long enough to kill and stop a daemon, take a zone out and stop the platform.
PLAN = DrillPlan(seed=22, seconds=16.0, mean_gap_seconds=1.0)


@functools.cache
def run_drill() -> tuple[Drill, dict[str, Verdict], str]:
    """Run the drill once for all tests of this module.

    Return the drill, its verdicts by check name, and its output.
    """
    output: list[str] = []
    drill = Drill(PLAN, output.append)
    verdicts = asyncio.run(drill.run())
    names = [check.__name__ for check in CHECKS]
    return drill, dict(zip(names, verdicts, strict=True)), "\n".join(output)


class DrillTests(testtools.TestCase):
    """Test the verdict of each check on the drill's records."""

    def check(self, name: str) -> None:
        """Assert that the promise of a check held."""
        _, verdicts_by_name, output = run_drill()
        self.assertTrue(verdicts_by_name[name].held, output)

    def test_drill_ends_well(self) -> None:
        """Run the drill to its end without failures, and with some work."""
        drill, verdicts_by_name, output = run_drill()
        self.assertEqual([], drill.records.failures, output)
        for name in ("check_whole_answers", "check_orders", "check_plans"):
            self.assertGreater(verdicts_by_name[name].cases, 0, output)


def _add_test(name: str) -> None:
    def test(self: DrillTests) -> None:
        self.check(name)

    test.__doc__ = f"Assert that {name} found no violation."
    setattr(DrillTests, f"test_{name.removeprefix('check_')}", test)


for _check in CHECKS:
    _add_test(_check.__name__)
