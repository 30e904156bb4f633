"""Run the demo from the command line."""

import asyncio
import sys

from ..demo import Demo


class DemoCommand:
    """Start a fleet, drive it as callers do, and check every step."""

    name = "demo"

    def __call__(self) -> None:
        """Run the demo; exit 0 only when everything held."""
        sys.exit(0 if asyncio.run(Demo().run()) else 1)
