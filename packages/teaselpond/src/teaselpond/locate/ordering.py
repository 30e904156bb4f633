"""Order daemons for a caller by health, zone, load and a hash."""

import hashlib
from collections.abc import Iterable, Mapping

from ..membership import Daemon, DaemonState

# Loads are compared in steps. Otherwise a small difference would send all
# callers to the same daemon.
LOAD_STEP = 0.25


def hash_fraction(key: str, name: str) -> float:
    """Hash a key and a name to a number in [0, 1)."""
    content = f"{key}\0{name}".encode()
    digest = hashlib.blake2b(content, digest_size=8).digest()
    return int.from_bytes(digest) / 2**64


def nearest_first(
    daemons: Iterable[Daemon],
    key: str,
    zone: str,
    loads_by_id: Mapping[str, float],
    limit: int,
) -> list[Daemon]:
    """Return the best daemons: by health, zone, load step, then hash.

    At most ``limit`` daemons are returned.
    """
    tiers: dict[tuple[bool, bool], list[Daemon]] = {}
    for daemon in daemons:
        tier = (daemon.state is not DaemonState.ALIVE, daemon.zone != zone)
        tiers.setdefault(tier, []).append(daemon)

    def rank(daemon: Daemon) -> tuple[int, float]:
        load = loads_by_id.get(daemon.daemon_id, 0.0)
        return (int(load / LOAD_STEP), hash_fraction(key, daemon.daemon_id))

    chosen: list[Daemon] = []
    for tier in sorted(tiers):
        # The first tier mostly fills the answer, so later ones aren't hashed.
        if len(chosen) < limit:
            chosen += sorted(tiers[tier], key=rank)
    return chosen[:limit]
