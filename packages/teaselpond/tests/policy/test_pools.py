"""Test how an owner estimates the load of the fleet."""

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


def make_host(host_id: str, kind: HostKind = HostKind.ENTRY) -> Host:
    """Return a host in the only zone."""
    return Host(host_id, Address("127.0.0.1", 1), "a", kind)


def make_request(number: int) -> SlotRequest:
    """Return a request that is not redirected to another owner."""
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


class UnreportedEnginesTests(testtools.TestCase):
    """Check an owner's cap without or with load sums of other owners."""

    def make_owner(self) -> Dispatcher:
        """Return a dispatcher that owns some of the engines."""
        owner = Dispatcher("d1", "i1")
        profiles = [
            EngineProfile(make_host(f"e{n}", HostKind.ENGINE), "fit", SLOTS, SLOTS)
            for n in range(ENGINES)
        ]
        owner.configure(SETTINGS, profiles, now=0.0)
        owner.set_daemons([make_host(f"d{n}") for n in range(1, 5)], now=0.0)
        owner.advance(now=0.0)
        return owner

    def count_grants(self, owner: Dispatcher) -> int:
        """Return how many of 60 requests the owner grants."""
        decisions = (owner.request(make_request(n), 1.0) for n in range(60))
        return sum(isinstance(decision, Grant) for decision in decisions)

    def test_unreported_engines_count_as_idle(self) -> None:
        """Grant no more than the floor without sums of other owners."""
        owner = self.make_owner()
        own_engines = len(owner.engines.by_id)
        self.assertTrue(0 < own_engines < ENGINES)
        self.assertEqual(own_engines * SETTINGS.load_floor, self.count_grants(owner))

    def test_engines_of_a_stale_sum_count_as_idle(self) -> None:
        """Grant no more than the floor once the sums are stale."""
        owner = self.make_owner()
        own_engines = len(owner.engines.by_id)
        other_engines = ENGINES - own_engines
        load_sum = LoadSum(
            "fit",
            "a",
            "d2",
            other_engines * 6,
            0,
            other_engines * SLOTS,
            other_engines,
            1,
        )
        owner.observe_sum(load_sum, 1.0 - SETTINGS.sum_stale_seconds - 0.1)
        self.assertEqual(own_engines * SETTINGS.load_floor, self.count_grants(owner))

    def test_reported_load_raises_the_cap(self) -> None:
        """Grant more if the other owners report that they are busy."""
        owner = self.make_owner()
        own_engines = len(owner.engines.by_id)
        other_engines = ENGINES - own_engines
        load_sum = LoadSum(
            "fit",
            "a",
            "d2",
            other_engines * 6,
            0,
            other_engines * SLOTS,
            other_engines,
            1,
        )
        owner.observe_sum(load_sum, 1.0)
        self.assertGreater(self.count_grants(owner), own_engines * SETTINGS.load_floor)
