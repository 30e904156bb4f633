"""Work the capacity page's numbers out from the measured points."""

import sys

from ..capacity.page import PAGE_PATH, read_page


class CapacityPageCommand:
    """Write the numbers, or check that page and points agree."""

    name = "capacity-page"

    def __call__(self, check: bool = False) -> None:
        """Write the page, or exit 1 with ``--check`` when it differs."""
        page, rendered = read_page()
        if check:
            sys.exit(0 if page == rendered else 1)
        PAGE_PATH.write_text(rendered)
