"""Read single values of peers' messages."""

import math

# What peers pass on must fit fields of eight bytes.
MAX_INTEGER = 2**63 - 1


def read_bytes(value: object) -> bytes:
    """Return a byte string; a number would become as many zero bytes."""
    if not isinstance(value, bytes):
        raise TypeError(f"expected bytes, got {type(value).__name__}")
    return value


def read_seconds(value: float) -> float:
    """Return a time; one without an end would never be outdated."""
    if not math.isfinite(value):
        raise ValueError(f"expected a finite time, got {value!r}")
    return float(value)


def read_integer(value: int) -> int:
    """Return a whole number that peers can pass on."""
    if not isinstance(value, int) or abs(value) > MAX_INTEGER:
        raise ValueError(f"expected a whole number of 64 bits, got {value!r}")
    return value
