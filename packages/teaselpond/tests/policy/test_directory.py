"""Test who owns engines while daemons and engines come and go."""

import random

import testtools

from teaselpond.policy import EngineDirectory, EngineProfile
from teaselpond.policy.ownership import rank_owners
from teaselpond_model.contracts import Address, Host, HostKind, HostState

ZONES = ("a", "b", "c")
STEPS = 60


class OwnerTests(testtools.TestCase):
    """Check that what is kept between changes is what would be found anew."""

    def test_owners_follow_every_change(self) -> None:
        """Change daemons and engines at random and compare with a ranking."""
        chance = random.Random(7)
        directory = EngineDirectory()
        for step in range(STEPS):
            if step % 3 == 0:
                directory.set_engines(self.engines(chance))
            directory.set_daemons(self.daemons(chance))
            for engine_id, engine in directory.engines_by_id.items():
                ranking = rank_owners(engine.host, directory.daemons_by_id.values())
                wanted = ranking[0] if ranking else None
                self.assertEqual(wanted, directory.owner(engine_id))

    def engines(self, chance: random.Random) -> list[EngineProfile]:
        """Return some of the engines, some of them moved."""
        return [
            EngineProfile(host(f"e{n}", chance, HostKind.ENGINE), "fit", 8)
            for n in range(30)
            if chance.random() < 0.8
        ]

    def daemons(self, chance: random.Random) -> list[Host]:
        """Return some of the daemons, some of them leaving."""
        return [
            host(f"d{n}", chance, HostKind.ENTRY)
            for n in range(8)
            if chance.random() < 0.7
        ]


def host(host_id: str, chance: random.Random, kind: HostKind) -> Host:
    """Return a host that is mostly where and as it was."""
    moved = chance.random() < 0.1
    zone = ZONES[(len(host_id) + int(host_id[1:]) + moved) % len(ZONES)]
    state = HostState.LEAVING if chance.random() < 0.1 else HostState.LIVE
    return Host(host_id, Address("127.0.0.1", 1), zone, kind, state)
