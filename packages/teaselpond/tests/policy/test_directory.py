"""Test the owners of engines while daemons and engines change."""

import random

import testtools

from teaselpond.policy import EngineDirectory, EngineProfile
from teaselpond.policy.ownership import rank_owners
from teaselpond_model.contracts import Address, Host, HostKind, HostState

ZONES = ("a", "b", "c")
STEPS = 60


class OwnerTests(testtools.TestCase):
    """Check the cached owners of engines against a full ranking."""

    def test_cached_owners_match_the_ranking_after_every_change(self) -> None:
        """Change daemons and engines at random and compare the owners."""
        rng = random.Random(7)
        directory = EngineDirectory()
        for step in range(STEPS):
            if step % 3 == 0:
                directory.set_engines(self.make_engines(rng))
            directory.set_daemons(self.make_daemons(rng))
            for engine_id, engine in directory.engines_by_id.items():
                ranking = rank_owners(engine.host, directory.daemons_by_id.values())
                expected = ranking[0] if ranking else None
                self.assertEqual(expected, directory.owner(engine_id))

    def make_engines(self, rng: random.Random) -> list[EngineProfile]:
        """Return a random subset of the engines, some in another zone."""
        return [
            EngineProfile(make_host(f"e{n}", rng, HostKind.ENGINE), "fit", 8)
            for n in range(30)
            if rng.random() < 0.8
        ]

    def make_daemons(self, rng: random.Random) -> list[Host]:
        """Return a random subset of the daemons, some of them leaving."""
        return [
            make_host(f"d{n}", rng, HostKind.ENTRY)
            for n in range(8)
            if rng.random() < 0.7
        ]


def make_host(host_id: str, rng: random.Random, kind: HostKind) -> Host:
    """Return a host, with some chance in another zone or leaving."""
    is_moved = rng.random() < 0.1
    zone = ZONES[(len(host_id) + int(host_id[1:]) + is_moved) % len(ZONES)]
    state = HostState.LEAVING if rng.random() < 0.1 else HostState.LIVE
    return Host(host_id, Address("127.0.0.1", 1), zone, kind, state)
