"""Run the demo from the command line."""

import asyncio
import sys

from ..demo import Demo


class DemoCommand:
    """Start a fleet, send it callers' requests and check every step."""

    name = "demo"

    def __call__(self) -> None:
        """Run the demo; exit 0 only if every check passed."""
        sys.exit(0 if asyncio.run(Demo().run()) else 1)
