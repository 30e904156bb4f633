"""Test what an owner takes for the fleet's load."""

import testtools

from teaselpond.policy import (
    Dispatcher,
    EngineProfile,
    Grant,
    LoadSum,
    PolicySettings,
    RequestClass,
    SlotRequest,
)
from teaselpond_model.contracts import Address, Host, HostKind

ENGINES = 12
SLOTS = 8
SETTINGS = PolicySettings(
    claim_wait_seconds=0.0, claim_seconds=0.0, claim_report_seconds=0.0
)


def host(host_id: str, kind: HostKind = HostKind.ENTRY) -> Host:
    """Return a host of the one zone."""
    return Host(host_id, Address("127.0.0.1", 1), "a", kind)


def ask(number: int) -> SlotRequest:
    """Return a request that is not passed on to another owner."""
    return SlotRequest(
        request_id=f"r{number}",
        workspace=f"w{number}",
        chat=f"c{number}",
        model="fit",
        request_class=RequestClass.INTERACTIVE,
        prompt_tokens=100,
        prefixes=(),
        deadline=1000.0,
        origin_daemon="d1",
        attempt=9,
    )


class UnheardEnginesTests(testtools.TestCase):
    """Check the cap of an owner that has not heard of the other owners."""

    def make_owner(self) -> Dispatcher:
        """Return the owner of some of the engines, by rendezvous hashing."""
        owner = Dispatcher("d1", "i1")
        profiles = [
            EngineProfile(host(f"e{n}", HostKind.ENGINE), "fit", SLOTS, SLOTS)
            for n in range(ENGINES)
        ]
        owner.configure(SETTINGS, profiles, now=0.0)
        owner.set_daemons([host(f"d{n}") for n in range(1, 5)], now=0.0)
        owner.advance(now=0.0)
        return owner

    def grants(self, owner: Dispatcher) -> int:
        """Return how many of many requests the owner admits by itself."""
        asked = (owner.request(ask(n), 1.0) for n in range(60))
        return sum(isinstance(decision, Grant) for decision in asked)

    def test_unheard_engines_count_as_idle(self) -> None:
        """Admit no more than the floor while no other owner is heard."""
        owner = self.make_owner()
        own = len(owner.engines.by_id)
        self.assertTrue(0 < own < ENGINES)
        self.assertEqual(own * SETTINGS.load_floor, self.grants(owner))

    def test_an_old_sum_counts_as_idle(self) -> None:
        """Admit no more than the floor once the others fell silent."""
        owner = self.make_owner()
        own = len(owner.engines.by_id)
        others = ENGINES - own
        busy = LoadSum("fit", "a", "d2", others * 6, 0, others * SLOTS, others, 1)
        owner.observe_sum(busy, 1.0 - SETTINGS.sum_stale_seconds - 0.1)
        self.assertEqual(own * SETTINGS.load_floor, self.grants(owner))

    def test_heard_load_raises_the_cap(self) -> None:
        """Admit more once the others tell that they are busy."""
        owner = self.make_owner()
        own = len(owner.engines.by_id)
        others = ENGINES - own
        busy = LoadSum("fit", "a", "d2", others * 6, 0, others * SLOTS, others, 1)
        owner.observe_sum(busy, 1.0)
        self.assertGreater(self.grants(owner), own * SETTINGS.load_floor)
