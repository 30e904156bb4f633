"""Check that the capacity page and the measured points agree."""

from pathlib import Path

import testtools

from teaselpond_standins.capacity.estimates import Estimates
from teaselpond_standins.capacity.fitting import fit
from teaselpond_standins.capacity.page import BLOCK, read_page, render
from teaselpond_standins.capacity.points import load_points
from teaselpond_standins.capacity.tables import TABLES_BY_NAME

ROOT = Path(__file__).parents[4]


class CapacityPageTests(testtools.TestCase):
    """Check the page in the repository."""

    def test_page_shows_what_the_points_give(self) -> None:
        """Find every table once, as the points give it."""
        page, rendered = read_page(ROOT)
        names = [match["name"] for match in BLOCK.finditer(page)]
        self.assertEqual(sorted(TABLES_BY_NAME), sorted(names))
        self.assertEqual(rendered, page)

    def test_other_points_give_another_page(self) -> None:
        """Let the numbers follow the points."""
        points = load_points(ROOT / "docs/capacity/points.json")
        page, _ = read_page(ROOT)
        points.control.pop()
        self.assertNotEqual(page, render(page, Estimates(points)))

    def test_fit_finds_slopes(self) -> None:
        """Give back a plane and the largest residual."""
        ones, twos = [0, 1, 2, 3], [1, 0, 5, 2]
        plane = [4 + 2 * a - 3 * b for a, b in zip(ones, twos, strict=True)]
        found = fit(plane, ones, twos)
        self.assertAlmostEqual(4, found.constant)
        self.assertAlmostEqual(2, found.slopes[0])
        self.assertAlmostEqual(-3, found.slopes[1])
        self.assertAlmostEqual(0, found.spread)
        self.assertAlmostEqual(4 + 20 - 30, found.at(10, 10))
        self.assertTrue(fit([0, 0, 1, 0], ones).spread > 0.5)
