"""Write the measured numbers into the capacity page."""

import re
from pathlib import Path

from . import tables
from .estimates import Estimates
from .points import load_points

PAGE_PATH = Path("docs/CAPACITY.md")
BLOCK = re.compile(
    r"(<!-- numbers: (?P<name>[a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL
)


def render(page: str, estimates: Estimates) -> str:
    """Return the page with every block of numbers worked out anew."""

    def replace(match: re.Match) -> str:
        table = tables.TABLES_BY_NAME[match["name"]]
        return f"{match[1]}{table(estimates)}\n{match[3]}"

    return BLOCK.sub(replace, page)


def read_page(root: Path = Path()) -> tuple[str, str]:
    """Return the page as it stands, and as the points give it."""
    page = (root / PAGE_PATH).read_text()
    points = load_points(root / "docs/capacity/points.json")
    return page, render(page, Estimates(points))
