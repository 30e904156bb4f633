"""Choose the daemons to which this daemon keeps a link."""

import hashlib
from collections.abc import Iterable

from attrs import frozen

MAX_DIALED_LINKS_IN_ZONE = 3
MAX_DIALED_LINKS = 6


@frozen
class Candidate:
    """Identify a daemon that could become a neighbour."""

    daemon_id: str
    zone: str


def pair_weight(first_id: str, second_id: str) -> bytes:
    """Return a hash of a pair of daemons, the same in either order."""
    low, high = sorted((first_id, second_id))
    return hashlib.blake2b(f"{low}\0{high}".encode(), digest_size=8).digest()


def choose_neighbours(own: Candidate, others: Iterable[Candidate]) -> tuple[str, ...]:
    """Return the daemons to dial, chosen by rendezvous hashing of pairs.

    Up to ``MAX_DIALED_LINKS_IN_ZONE`` of them are in the daemon's own zone,
    the rest in any zone. With at most ``MAX_DIALED_LINKS`` other daemons, all
    are linked to each other. Adding or removing a daemon changes few links
    between the others.
    """
    ranked = sorted(
        (each for each in others if each.daemon_id != own.daemon_id),
        key=lambda each: pair_weight(own.daemon_id, each.daemon_id),
    )
    same_zone = [each for each in ranked if each.zone == own.zone][
        :MAX_DIALED_LINKS_IN_ZONE
    ]
    remaining = [each for each in ranked if each not in same_zone]
    chosen = same_zone + remaining[: MAX_DIALED_LINKS - len(same_zone)]
    return tuple(each.daemon_id for each in chosen)
