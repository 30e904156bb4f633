"""Compute the capacity page's numbers from the measured points."""

import sys

from ..capacity.page import PAGE_PATH, read_page


class CapacityPageCommand:
    """Write the page's numbers, or check that they match the points."""

    name = "capacity-page"

    def __call__(self, check: bool = False) -> None:
        """Write the page, or with ``--check`` exit 1 if it would change."""
        page, rendered = read_page()
        if check:
            sys.exit(0 if page == rendered else 1)
        PAGE_PATH.write_text(rendered)
