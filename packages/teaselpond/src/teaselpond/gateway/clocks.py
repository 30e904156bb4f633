"""Read the clock that the gateway uses for all of its timing."""

import time


def boot_time() -> float:
    """Return seconds on a monotonic clock that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
