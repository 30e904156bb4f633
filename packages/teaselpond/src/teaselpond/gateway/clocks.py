"""Read the clock that every decision of the gateway is made by."""

import time


def boot_time() -> float:
    """Return seconds on a steady clock that also counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
