"""Check that the capacity page agrees with the measured points."""

from pathlib import Path

import testtools

from teaselpond_standins.capacity.estimates import Estimates
from teaselpond_standins.capacity.fitting import fit
from teaselpond_standins.capacity.page import NUMBERS_BLOCK, read_page, render
from teaselpond_standins.capacity.points import load_points
from teaselpond_standins.capacity.tables import TABLES_BY_NAME

ROOT = Path(__file__).parents[4]


class CapacityPageTests(testtools.TestCase):
    """Check the page in the repository."""

    def test_page_matches_points(self) -> None:
        """Show every table once, as rendered from the points."""
        page, rendered = read_page(ROOT)
        names = [match["name"] for match in NUMBERS_BLOCK.finditer(page)]
        self.assertEqual(sorted(TABLES_BY_NAME), sorted(names))
        self.assertEqual(rendered, page)

    def test_page_changes_with_points(self) -> None:
        """Render other numbers when a point is removed."""
        points = load_points(ROOT / "docs/capacity/points.json")
        page, _ = read_page(ROOT)
        points.control.pop()
        self.assertNotEqual(page, render(page, Estimates(points)))

    def test_fit_finds_slopes(self) -> None:
        """Find the constant, the slopes and the largest residual."""
        ones, twos = [0, 1, 2, 3], [1, 0, 5, 2]
        plane = [4 + 2 * a - 3 * b for a, b in zip(ones, twos, strict=True)]
        found = fit(plane, ones, twos)
        self.assertAlmostEqual(4, found.constant)
        self.assertAlmostEqual(2, found.slopes[0])
        self.assertAlmostEqual(-3, found.slopes[1])
        self.assertAlmostEqual(0, found.max_residual)
        self.assertAlmostEqual(4 + 20 - 30, found.predict(10, 10))
        self.assertTrue(fit([0, 0, 1, 0], ones).max_residual > 0.5)
