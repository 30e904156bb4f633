"""Weigh reading a prompt again against waiting, in one unit.

The unit is the seconds until the first event. The load it handles: hosts that
choose alone by loads some 0.7 s late, also while a zone is evacuated and the
other upstreams hold 1.5 times the mean, and prompts so popular that one of
them accounts for much of the traffic.
"""

import math
from collections.abc import Sequence

from ..loads import RUN_SECONDS

# What an engine reads of a prompt in a second. The daemon's policy assumes the
# same; slower than most engines are, so that prompts stay where they are held.
READ_TOKENS_PER_SECOND = 8000.0
# A request waits this long for its first event at an upstream with the mean
# load, and in proportion elsewhere.
MEAN_WAIT_SECONDS = 0.005
# A choice is spread over upstreams whose costs differ by less than this. At
# a third of the former and less, hosts crowd the upstreams that late loads
# show as free: 8.6% above the cap in a trial, for 3.3% at two thirds.
SPREAD_SECONDS = 0.0025
# An upstream keeps a prompt for about this long, so that reading a popular one
# serves all requests that follow there within it.
KEPT_SECONDS = 45.0
# An upstream may come this many standard deviations of a random load close to
# the cap before it is avoided. In trials 1.2 had 2.6% above the cap, and 1.5
# had 2.5% and 17 ms more of reading and waiting.
MARGIN_DEVIATIONS = 1.2
# What being close to the cap counts as, in seconds of waiting.
AVOIDED_SECONDS = 0.1
# The running requests for one prompt may take this part of the room between
# the mean load and the cap at an upstream.
POPULAR_ROOM_RATIO = 0.2
# An upstream is full for a host this much below the cap: the request itself
# counts too, and peers have mostly sent one that the host has not heard of.
ADDED_REQUESTS = 2


def read_seconds(tokens: int, rate: float, upstreams: int) -> float:
    """Return what reading a prompt costs a request at another upstream.

    ``rate`` is the number of requests a second for this prompt, which share
    the cost of reading it at each of the ``upstreams``.
    """
    followers = rate * KEPT_SECONDS / max(1, upstreams)
    return tokens / READ_TOKENS_PER_SECOND / (1.0 + followers)


def spread_count(rate: float, mean: float, cap: float) -> int:
    """Return over how many upstreams the requests for a prompt are spread.

    ``rate`` is their number a second.
    """
    running = rate * RUN_SECONDS
    return max(1, math.ceil(running / (POPULAR_ROOM_RATIO * (cap - mean))))


def is_underused(count: int, mean: float) -> bool:
    """Return whether an upstream gets far fewer requests than the mean.

    That is so after it was added, as prompts go where they are held. The
    difference has to be more than that of random numbers of requests.
    """
    return count < min(mean / 2, mean - 2 * math.sqrt(mean))


def weigh_prompt(
    read_costs: Sequence[float],
    remaining: Sequence[float],
    cap: float,
) -> list[float]:
    """Return the relative chance of each upstream.

    It is 0 where the request may exceed the cap while half of the upstreams or
    more are below it. With fewer, all hosts would crowd these until the next
    loads arrive.

    ``read_costs`` are the seconds of reading there, 0 where the prompt is
    held, and ``remaining`` the estimated numbers of known requests that still
    run. Counts of all known requests would also raise the cap by those that
    have ended.
    """
    mean = sum(remaining) / len(remaining)
    room = cap - mean - MARGIN_DEVIATIONS * math.sqrt(mean)
    # With less room half of the upstreams would be avoided, and hosts would
    # crowd the others.
    limit = mean + max(math.sqrt(mean), room)
    per_request = MEAN_WAIT_SECONDS / max(1.0, mean)
    costs = [
        read + per_request * count
        for read, count in zip(read_costs, remaining, strict=True)
    ]
    is_full = [count + ADDED_REQUESTS > cap for count in remaining]
    if 2 * sum(is_full) <= len(is_full):
        costs = [
            math.inf if full else cost + AVOIDED_SECONDS * (count > limit)
            for full, count, cost in zip(is_full, remaining, costs, strict=True)
        ]
    least = min(costs)
    return [math.exp((least - cost) / SPREAD_SECONDS) for cost in costs]
