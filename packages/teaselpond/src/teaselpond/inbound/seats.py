"""Decide which connection is ended when all connections are taken.

The load that this handles: many connections that send nothing, or heads that
never end, from one address or from many.
"""

import enum
from collections import Counter
from collections.abc import Iterable

from attrs import define

# A caller that opens a connection sends its request right after it.
UNUSED_SECONDS = 0.1
# An ordinary caller that has begun a head or a body goes on within this time.
STALL_SECONDS = 0.5
# Ordinary callers reuse connections that were idle for up to this part of the
# deployment's limit. What they send then may take some time to arrive.
REUSE_PART = 0.8
REUSE_MARGIN_SECONDS = 1.0
DEFAULT_IDLE_LIMIT_SECONDS = 15.0
CALLER_IDLE_SECONDS = 13.0
# At other ports, a request is repeated easily.
PORT_IDLE_SECONDS = 1.0
# Without other connections that need the place, idle ones are closed after
# this many times the deployment's limit.
KEEPALIVE_FACTOR = 2.0
# A caller has its refusal after this time.
REFUSED_SECONDS = 0.1


class State(enum.IntEnum):
    """List the states of a connection; the last ones are ended first."""

    BUSY = 0
    IDLE = 1
    UNUSED = 2
    READING = 3
    REFUSED = 4


def get_reuse_seconds(idle_limit_seconds: float) -> float:
    """Return until when an ordinary caller reuses an idle connection."""
    return REUSE_PART * idle_limit_seconds + REUSE_MARGIN_SECONDS


DUE_SECONDS_BY_STATE = {
    State.UNUSED: UNUSED_SECONDS,
    State.READING: STALL_SECONDS,
    State.REFUSED: REFUSED_SECONDS,
}


@define(eq=False)
class Seat:
    """Describe a connection; times are those of the event loop.

    It is BUSY while a request is handled, READING while a head or a body has
    begun and not arrived, and REFUSED while the rest of a refused request is
    dropped. ``since`` is when bytes last came, or the last answer or refusal
    was sent.
    ``is_ending`` is set once it was chosen.
    """

    ip: str
    since: float
    state: State = State.UNUSED
    is_ending: bool = False


def choose_ended(
    seats: Iterable[Seat],
    ip: str,
    now: float,
    resumed_at: float,
    idle_seconds: float = CALLER_IDLE_SECONDS,
) -> Seat | None:
    """Return the connection to be ended for a new one from an address.

    Idle and busy connections are ended only for an address that has fewer
    connections than theirs; busy ones are answered first. Those that were
    idle for ``idle_seconds`` are ended for any. Within a state, the address
    with the most connections comes first. ``resumed_at`` is when the process
    last went on after a pause.
    """
    seats = list(seats)
    counts = Counter(seat.ip for seat in seats)
    best: tuple[int, int, float] | None = None
    chosen = None
    for seat in seats:
        if seat.is_ending:
            continue
        seconds = now - max(seat.since, resumed_at)
        due_seconds = DUE_SECONDS_BY_STATE.get(seat.state)
        if due_seconds is None:
            is_due = counts[seat.ip] > counts[ip] + 1 or (
                seat.state is State.IDLE and seconds >= idle_seconds
            )
        else:
            is_due = seconds >= due_seconds
        rank = (seat.state, counts[seat.ip], seconds)
        if is_due and (best is None or rank > best):
            best, chosen = rank, seat
    return chosen
