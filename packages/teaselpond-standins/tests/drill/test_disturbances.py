"""Check that a drill's schedule follows from its seed."""

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
    """Check schedules of some seeds."""

    def test_schedules(self) -> None:
        """Repeat a seed's schedule, and strike in all ways in turn."""
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
            # Two kinds stand twice in the list of those drawn.
            self.assertEqual(len(DRAW_FUNCTIONS) - 2, len(kinds))
            for kind in kinds:
                self.assertIsNot(inject.dispatch(object), inject.dispatch(kind))
