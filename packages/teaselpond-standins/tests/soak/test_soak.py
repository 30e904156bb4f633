"""Run one short fixed soak and check each promise by itself."""

import asyncio
import functools

import testtools

from teaselpond_standins.drill.verdicts import Verdict
from teaselpond_standins.soak import Soak, SoakPlan
from teaselpond_standins.soak.checks import CHECKS

# Draws a kill, a planned stop, a pause, a revoked key and a store that
# loses answers within its time.
PLAN = SoakPlan(seed=1, seconds=12.0, gateways=4, callers=12)


@functools.cache
def run_soak() -> tuple[Soak, dict[str, Verdict], str]:
    """Run the soak once for all the tests of this module."""
    told: list[str] = []
    soak = Soak(PLAN, told.append)
    verdicts = asyncio.run(soak.run())
    names = [check.__name__ for check in CHECKS]
    return soak, dict(zip(names, verdicts, strict=True)), "\n".join(told)


class SoakTests(testtools.TestCase):
    """Check what the soak's callers and engines recorded."""

    def assert_held(self, name: str) -> None:
        """Demand that a promise held."""
        _, verdicts_by_name, told = run_soak()
        self.assertTrue(verdicts_by_name[name].held, told)

    def test_soak_ends_well(self) -> None:
        """Demand that the soak itself ran to its end and tried something."""
        soak, verdicts_by_name, told = run_soak()
        self.assertEqual([], soak.records.failures, told)
        for name in (
            "check_requests_unchanged",
            "check_answers",
            "check_run_at_most_once",
            "check_planned_stops",
        ):
            self.assertGreater(verdicts_by_name[name].cases, 0, told)


def _add_test(name: str) -> None:
    def test(self: SoakTests) -> None:
        self.assert_held(name)

    test.__doc__ = f"Demand what {name} does."
    setattr(SoakTests, f"test_{name.removeprefix('check_')}", test)


for _check in CHECKS:
    _add_test(_check.__name__)
