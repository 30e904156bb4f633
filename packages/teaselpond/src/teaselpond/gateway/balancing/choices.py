"""Choose an upstream at random, weighted by what it can take.

Hosts that see the same figures and order upstreams by them send everything to
the same one until the next figures arrive. Independent random choices keep
their sum close to the weights, however old the figures are.

The load it handles: any rate at which the upstreams together have free slots,
from any number of hosts. Above that, the upstreams' queues fill evenly.
"""

import math
import random
from collections.abc import Sequence

from attrs import define

# An upstream with more load than the mean gets less, one with less gets more,
# by at most this factor. A stronger correction of figures of age T swings if
# it takes less than T to change the load by as much.
MAX_CORRECTION = 0.5
# An upstream above the load limit gets this part of its chance, so that one is
# left if all are above it.
OVER_LIMIT_SHARE = 0.05


# Not frozen, which would make the creation of 70 options for a call slow.
@define
class Option:
    """Describe an upstream that a request may go to.

    ``own_count`` is the number of this host's requests in flight there,
    ``accepted_share`` the part of its usual share that it gets after it
    rejected requests, ``slowness`` how much longer work takes there than
    usual. ``load`` is the estimated number of all hosts' requests, None if
    it is not known or too old to say something.
    """

    slots: int
    own_count: int = 0
    accepted_share: float = 1.0
    slowness: float = 1.0
    load: float | None = None


def weigh(options: Sequence[Option], limit: float = math.inf) -> list[float]:
    """Return the relative chance of each option, all above 0.

    The base is the capacity: slots, divided by the slowness. This host's own
    requests reduce it, because they are known without delay. Known loads
    adjust it by MAX_CORRECTION at most, compared with one another; upstreams
    above the ``limit`` are a last choice.
    """
    capacities = [max(1, each.slots) / each.slowness for each in options]
    mean_capacity = sum(capacities) / len(capacities)
    weights = []
    for each, capacity in zip(options, capacities, strict=True):
        weight = each.accepted_share * capacity
        if each.own_count:
            weight /= 1.0 + each.own_count * mean_capacity / capacity
        weights.append(weight)
    known = [
        (number, each.load / capacities[number])
        for number, each in enumerate(options)
        if each.load is not None
    ]
    mean = sum(load for _, load in known) / max(1, len(known))
    if mean:
        for number, load in known:
            weights[number] *= 1.0 + MAX_CORRECTION * max(-1.0, 1.0 - load / mean)
    for number, each in enumerate(options):
        if each.load is not None and each.load > limit:
            weights[number] *= OVER_LIMIT_SHARE
    return weights


def choose(weights: Sequence[float], rng: random.Random) -> int:
    """Return a random position, each with a chance by its weight."""
    if len(weights) == 1:
        return 0
    return rng.choices(range(len(weights)), weights)[0]
