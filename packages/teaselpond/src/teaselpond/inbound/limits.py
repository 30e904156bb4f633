"""Derive a process's limits for callers' input from its host's capacity."""

import resource

from attrs import frozen

# An idle process holds about 36 MB at its peak, and needs some room for what
# it knows of its fleet.
BASE_BYTES = 48 * 1024 * 1024
# Of the rest, callers' input may take this share. While a body is sent to an
# upstream, the event loop holds a second copy of it.
INPUT_SHARE = 0.4
# Where the host's memory is unknown. Eight bodies of 4 MiB have room in it.
DEFAULT_INPUT_BYTES = 38 * 1024 * 1024
MIN_INPUT_BYTES = 2 * 1024 * 1024
# Whole answers that are read from upstreams may take this share of the rest.
ANSWER_SHARE = 0.25
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Callers' part of the other descriptors. Each call that runs needs a
# connection to an upstream too.
CALLER_SHARE = 0.34
# The part of each port that serves other hosts or the platform.
PORT_SHARE = 0.04
MIN_PORT_CONNECTIONS = 8


# A body must arrive within this time on a fast link, or it is refused.
BODY_TIMEOUT_SECONDS = 5.0
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


def body_timeout_seconds(
    limit_bytes: int,
    link_mbps: float | None,
    base_seconds: float = BODY_TIMEOUT_SECONDS,
) -> float:
    """Return how long a permitted body may take to arrive.

    The largest one takes 6.7 s alone on the slowest hosts' link of 5 Mbit/s.
    """
    if not link_mbps:
        return base_seconds
    transfer_seconds = limit_bytes * BITS_PER_BYTE / (link_mbps * BITS_PER_MEGABIT)
    return base_seconds + transfer_seconds


@frozen
class InboundLimits:
    """Limit what callers' unfinished input may take in one process.

    ``caller_connections`` applies to the port for callers,
    ``port_connections`` to each of the others.
    """

    input_bytes: int
    answer_bytes: int
    caller_connections: int
    port_connections: int


@frozen
class ProcessShares:
    """Hold what of its host a process of one program gives to callers.

    ``base_bytes`` is what it needs without callers.
    """

    base_bytes: int = BASE_BYTES
    input_share: float = INPUT_SHARE
    caller_share: float = CALLER_SHARE


GATEWAY_SHARES = ProcessShares()


def derive_limits(
    memory_bytes: int | None,
    descriptors: int | None,
    shares: ProcessShares = GATEWAY_SHARES,
) -> InboundLimits:
    """Return the limits for a host; what is None is unknown."""
    input_bytes, answer_bytes = DEFAULT_INPUT_BYTES, MAX_ANSWER_BYTES
    if memory_bytes is not None:
        rest = memory_bytes - shares.base_bytes
        input_bytes = max(MIN_INPUT_BYTES, int(rest * shares.input_share))
        answer_bytes = int(rest * ANSWER_SHARE)
        answer_bytes = min(MAX_ANSWER_BYTES, max(MIN_INPUT_BYTES, answer_bytes))
    if descriptors is None:
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    usable = descriptors - min(FILE_DESCRIPTORS, descriptors // 4)
    return InboundLimits(
        input_bytes,
        answer_bytes,
        int(usable * shares.caller_share),
        max(MIN_PORT_CONNECTIONS, int(usable * PORT_SHARE)),
    )
