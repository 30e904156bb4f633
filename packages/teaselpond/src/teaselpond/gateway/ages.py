"""Encode how old a fact is that hosts pass on to one another."""

AGE_UNIT_SECONDS = 0.01
MAX_AGE = 255
MAX_LONG_AGE = 0xFFFF
# Added to the age at each hop for the time on the way.
HOP_SECONDS = 0.005


def encode_age(seconds: float) -> int:
    """Return an age as a number of one byte.

    It is rounded up, so that a fact that goes round in circles gets older.
    """
    return min(MAX_AGE, max(0, int(seconds / AGE_UNIT_SECONDS) + 1))


def encode_long_age(seconds: float) -> int:
    """Return an age as a number of two bytes, rounded up in the same way."""
    if seconds >= MAX_LONG_AGE * AGE_UNIT_SECONDS:
        return MAX_LONG_AGE
    return max(0, int(seconds / AGE_UNIT_SECONDS) + 1)
