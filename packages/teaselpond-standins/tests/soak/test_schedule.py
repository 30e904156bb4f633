"""Test that a seed always gives the same schedule, with all kinds."""

import random

import testtools

from teaselpond_standins.soak.schedule import (
    DRAWERS,
    Disturbance,
    Drawing,
    draw_schedule,
)


def draw(seed: int, seconds: float) -> tuple[Disturbance, ...]:
    """Draw a schedule for three gateways and two engines."""
    gateways = ("edge-0", "edge-1", "edge-2")
    drawing = Drawing(random.Random(seed), gateways, ("model-0", "plain-0"))
    return draw_schedule(drawing, seconds, 1.0)


class ScheduleTests(testtools.TestCase):
    """Test draw_schedule."""

    def test_repeatable(self) -> None:
        self.assertEqual(draw(5, 60.0), draw(5, 60.0))
        self.assertNotEqual(draw(5, 60.0), draw(6, 60.0))

    def test_series_through_a_large_fleet(self) -> None:
        """It ends with the soak, though it has many more gateways."""
        gateways = tuple(f"edge-{number}" for number in range(60))
        for seed in range(20):
            drawing = Drawing(random.Random(seed), gateways, ("model-0",))
            series = drawing.stop_gateways(0.0)
            self.assertLessEqual(series.gap_seconds * len(series.names), 2.0 * 12)

    def test_all_kinds(self) -> None:
        kinds = {type(each) for each in draw(1, 200.0)}
        self.assertEqual(len(set(DRAWERS)), len(kinds))
