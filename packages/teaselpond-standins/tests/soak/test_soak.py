"""Run one short soak with a fixed seed, with one test for each check."""

import asyncio
import functools

import testtools

from teaselpond_standins.drill.verdicts import Verdict
from teaselpond_standins.soak import Soak, SoakPlan
from teaselpond_standins.soak.checks import CHECKS

# This seed draws a kill, a planned stop, a pause, a revoked key, a store that
# returns from an older copy and one that loses answers within the 12 seconds.
PLAN = SoakPlan(seed=131, seconds=12.0, gateways=4, callers=12)


@functools.cache
def run_soak() -> tuple[Soak, dict[str, Verdict], str]:
    """Run the soak once for all the tests of this module."""
    output: list[str] = []
    soak = Soak(PLAN, output.append)
    verdicts = asyncio.run(soak.run())
    names = [check.__name__ for check in CHECKS]
    return soak, dict(zip(names, verdicts, strict=True)), "\n".join(output)


class SoakTests(testtools.TestCase):
    """Test the verdicts of the soak; one test is added for each check."""

    def assert_held(self, name: str) -> None:
        """Assert that a check passed."""
        _, verdicts_by_name, output = run_soak()
        self.assertTrue(verdicts_by_name[name].held, output)

    def test_soak_ends_well(self) -> None:
        """Assert that the soak ran without errors and had cases to check."""
        soak, verdicts_by_name, output = run_soak()
        self.assertEqual([], soak.records.failures, output)
        for name in (
            "check_requests_unchanged",
            "check_answers",
            "check_run_at_most_once",
            "check_planned_stops",
        ):
            self.assertGreater(verdicts_by_name[name].cases, 0, output)


def _add_test(name: str) -> None:
    def test(self: SoakTests) -> None:
        self.assert_held(name)

    test.__doc__ = f"Assert that {name} passed."
    setattr(SoakTests, f"test_{name.removeprefix('check_')}", test)


for _check in CHECKS:
    _add_test(_check.__name__)
