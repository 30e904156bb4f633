"""Order the upstreams that a call may go to by preference.

Handles any number of upstreams; the order is made anew for each call.
"""

import hashlib
import math
import random
from collections.abc import Mapping, Sequence

from ..routing_state import EngineRecord

# Requests for one popular prefix may take this fraction of the room between
# the mean load and the cap; the others are not spread evenly either.
HOT_ROOM_RATIO = 0.3
# Requests last about this long, so that an upstream with a load of n gets
# about n requests in this time.
REQUEST_SECONDS = 1.0
SCORE_BYTES = 8
MAX_SCORE = 1 << 8 * SCORE_BYTES


def order_by_load(
    request_id: str,
    candidates: Sequence[EngineRecord],
    loads_by_id: Mapping[str, int],
    availability_zone: str,
) -> list[EngineRecord]:
    """Sort upstreams by load for their slots, then the own zone first."""
    return sorted(
        candidates,
        key=lambda record: (
            loads_by_id[record.engine.engine_id] / record.engine.slots,
            record.engine.availability_zone != availability_zone,
            _score(request_id, record.engine.engine_id),
        ),
    )


def order_by_affinity(
    key: str, candidates: Sequence[EngineRecord], holders: Sequence[str]
) -> list[EngineRecord]:
    """Sort upstreams with a cached prefix first, then by rendezvous hash.

    The hash also orders upstreams that have the prefix, so that all hosts
    prefer the same one.
    """
    held = set(holders)
    return sorted(
        candidates,
        key=lambda record: (
            record.engine.engine_id in held,
            _score(key, record.engine.engine_id),
        ),
        reverse=True,
    )


def choose_below_limit(
    loads: Sequence[float],
    limit: float,
    cap: float,
    mean: float,
    rate: float,
    age: float,
    rng: random.Random,
) -> int:
    """Return the position of the first upstream below the load limit.

    Without one, return that of the least loaded upstream. All hosts see the
    same loads, and would send the requests for a popular prefix to one
    upstream until the next loads arrive. So one that may exceed the cap by
    what it got since its load was known is passed over more often the
    likelier that is. A prefix with so many requests a second (``rate``) that
    they alone could exceed the cap goes to one of the first few.
    """
    acceptable: list[int] = []
    wanted = 1
    for rank, load in enumerate(loads):
        if load > limit:
            continue
        unseen = load * age / REQUEST_SECONDS
        if rng.random() * unseen > cap - load:
            continue
        acceptable.append(rank)
        wanted = max(wanted, math.ceil(rate * age / (HOT_ROOM_RATIO * (cap - mean))))
        if len(acceptable) >= wanted:
            break
    if acceptable:
        return rng.choice(acceptable)
    return min(range(len(loads)), key=loads.__getitem__)


def is_among_first(key: str, engine_id: str, part: float) -> bool:
    """Return whether a key is in an upstream's part of all keys."""
    return _score(key, engine_id) < part * MAX_SCORE


def put_first(
    candidates: Sequence[EngineRecord], holders: Sequence[str]
) -> list[EngineRecord]:
    """Sort upstreams with a cached prefix first."""
    return sorted(candidates, key=lambda record: record.engine.engine_id not in holders)


def _score(key: str, engine_id: str) -> int:
    digest = hashlib.blake2b(
        f"{key} {engine_id}".encode(), digest_size=SCORE_BYTES
    ).digest()
    return int.from_bytes(digest, "big")
