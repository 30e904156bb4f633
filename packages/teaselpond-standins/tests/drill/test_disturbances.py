"""Check that the seed determines a drill's schedule."""

import random

import testtools

from teaselpond_standins.drill.disturbances import (
    DRAW_FUNCTIONS,
    DisturbanceGenerator,
    draw_schedule,
)
from teaselpond_standins.drill.injections import inject
from teaselpond_standins.fleet import FleetPlan


def draw(seed: int, seconds: float = 120.0):
    """Return the schedule of a seed."""
    generator = DisturbanceGenerator(random.Random(seed), FleetPlan(), ("s",), ("w",))
    return draw_schedule(generator, seconds, 2.0)


class ScheduleTests(testtools.TestCase):
    """Check the schedules of several seeds."""

    def test_schedules(self) -> None:
        """Draw the same schedule for a seed, with every kind in each round."""
        for seed in range(5):
            schedule = draw(seed)
            self.assertEqual(schedule, draw(seed))
            self.assertNotEqual(schedule, draw(seed + 1))
            times = [disturbance.at for disturbance in schedule]
            self.assertEqual(sorted(times), times)
            self.assertLess(times[-1], 120.0)
            kinds = {
                type(disturbance) for disturbance in schedule[: len(DRAW_FUNCTIONS)]
            }
            # Two kinds are listed twice.
            self.assertEqual(len(DRAW_FUNCTIONS) - 2, len(kinds))
            for kind in kinds:
                self.assertIsNot(inject.dispatch(object), inject.dispatch(kind))
