"""Write the measured numbers into the capacity page."""

import re
from pathlib import Path

from . import tables
from .estimates import Estimates
from .points import load_points

PAGE_PATH = Path("docs/CAPACITY.md")
NUMBERS_BLOCK = re.compile(
    r"(<!-- numbers: (?P<name>[a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL
)


def render(page: str, estimates: Estimates) -> str:
    """Return the page with every block of numbers computed again."""

    def replace(match: re.Match) -> str:
        table = tables.TABLES_BY_NAME[match["name"]]
        return f"{match[1]}{table(estimates)}\n{match[3]}"

    return NUMBERS_BLOCK.sub(replace, page)


def read_page(root: Path = Path()) -> tuple[str, str]:
    """Return the page as stored and as rendered from the points."""
    page = (root / PAGE_PATH).read_text()
    points = load_points(root / "docs/capacity/points.json")
    return page, render(page, Estimates(points))
