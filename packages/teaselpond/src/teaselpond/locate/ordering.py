"""Order daemons for a caller: near, healthy, idle, and spread by key."""

import hashlib
from collections.abc import Iterable, Mapping

from ..membership import Daemon, DaemonState

# Loads are compared in steps, so that a small difference does not send
# every caller to the same daemon.
LOAD_STEP = 0.25


def hash_fraction(key: str, name: str) -> float:
    """Return a number in [0, 1) that is stable for a key and a name."""
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
    """Return the first daemons by health, zone, load step and spread."""
    tiers: dict[tuple[bool, bool], list[Daemon]] = {}
    for daemon in daemons:
        tier = (daemon.state is not DaemonState.ALIVE, daemon.zone != zone)
        tiers.setdefault(tier, []).append(daemon)

    def rank(daemon: Daemon) -> tuple[int, float]:
        load = loads_by_id.get(daemon.daemon_id, 0.0)
        return (int(load / LOAD_STEP), hash_fraction(key, daemon.daemon_id))

    chosen: list[Daemon] = []
    for tier in sorted(tiers):
        # Most answers are filled by the first tier: the others need no hash.
        if len(chosen) < limit:
            chosen += sorted(tiers[tier], key=rank)
    return chosen[:limit]
