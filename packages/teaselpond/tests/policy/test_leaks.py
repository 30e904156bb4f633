"""Prove that no fault leaks a slot, and that a zone out gets nothing."""

import testtools
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from teaselpond.policy import Grant, HeldGrants, Outcome, Refusal, Release
from teaselpond_standins.testing.policy import (
    SOLE_OWNER,
    make_dispatcher,
    make_host,
    make_profile,
    make_request,
)

ZONES = {"e1": "a", "e2": "a", "e3": "b"}
ORIGINS = ("d1", "d2")


class SlotsUnderFaults(RuleBasedStateMachine):
    """Mix requests, ends, losses and changes in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.number = 0
        self.out: set[str] = set()
        self.grants: dict[str, Grant] = {}
        self.owner = make_dispatcher(*self.profiles())

    def profiles(self):
        return [
            make_profile(name, zone, available=zone not in self.out)
            for name, zone in ZONES.items()
        ]

    def take(self, answers) -> None:
        for answer in answers:
            if isinstance(answer, Grant):
                assert ZONES[answer.engine_id] not in self.out
                self.grants[answer.grant_id] = answer

    @rule(count=st.integers(1, 8), origin=st.sampled_from(ORIGINS))
    def ask(self, count: int, origin: str) -> None:
        """Ask for slots, each request twice as if its answer was lost."""
        for _ in range(count):
            self.number += 1
            request = make_request(
                self.number,
                workspace=f"w{self.number % 3}",
                origin_daemon=origin,
                deadline=self.now + 5,
            )
            for _ in range(2):
                self.take([self.owner.request(request, self.now)])

    @rule(outcome=st.sampled_from(list(Outcome)), count=st.integers(1, 6))
    def finish(self, outcome: Outcome, count: int) -> None:
        """End some requests, each twice."""
        for grant_id in list(self.grants)[:count]:
            del self.grants[grant_id]
            for _ in range(2):
                self.owner.release(Release(grant_id, outcome), self.now)

    @rule(back=st.integers(0, 8))
    def cancel(self, back: int) -> None:
        """Cancel a request that may wait, run or have ended."""
        request_id = f"r{self.number - back}"
        self.owner.cancel(request_id, self.now)
        self.forget(lambda grant: grant.request_id == request_id)

    @rule(origin=st.sampled_from(ORIGINS))
    def lose_entry_daemon(self, origin: str) -> None:
        """Lose an entry daemon with all that it holds."""
        held = set(self.owner.grants.by_origin(origin))
        self.owner.drop_origin(origin, self.now)
        self.forget(lambda grant: grant.grant_id in held)

    @rule(origin=st.sampled_from(ORIGINS))
    def lose_messages(self, origin: str) -> None:
        """Let an entry daemon lose grants, and tell which ones it holds."""
        held = self.owner.grants.by_origin(origin)
        kept = held[::2]
        self.now += 3.0
        self.owner.reconcile(HeldGrants(origin, kept), self.now)
        self.forget(lambda grant: grant.grant_id in held and grant.grant_id not in kept)

    @rule(zone=st.sampled_from(["a", "b"]))
    def turn_zone(self, zone: str) -> None:
        """Take a zone out, or bring it back."""
        self.out ^= {zone}
        self.owner.configure(SOLE_OWNER, self.profiles(), self.now)

    @rule()
    def lose_and_regain_ownership(self) -> None:
        """Let the other daemon own the engines for a moment."""
        self.owner.set_daemons([make_host("d9")], self.now)
        self.owner.set_daemons([make_host("d1")], self.now)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Let queued requests be granted or given up."""
        self.now += seconds
        self.take(self.owner.advance(self.now))

    def forget(self, is_gone) -> None:
        for grant_id, grant in list(self.grants.items()):
            if is_gone(grant):
                del self.grants[grant_id]

    @invariant()
    def counts_agree(self) -> None:
        """Every open grant is counted once, everywhere."""
        engines = [self.owner.engines.get(name) for name in ZONES]
        in_use = sum(len(e.slots.uses_by_grant) for e in engines if e)
        shares = self.owner.pools_by_model["fit"].shares.in_use_by_workspace
        assert set(self.grants) == set(self.owner.grants.open_ids())
        assert in_use == len(self.grants) == shares.total()
        pool = self.owner.pools_by_model["fit"]
        kept = pool.own_load(self.now)
        pool.invalidate()
        assert kept == pool.own_load(self.now)

    @invariant()
    def nothing_runs_above_the_slots(self) -> None:
        """No engine has more grants than slots."""
        for name in ZONES:
            engine = self.owner.engines.get(name)
            assert engine is None or len(engine.slots.uses_by_grant) <= 4


SlotsUnderFaults.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
)
SlotsUnderFaultsTests = SlotsUnderFaults.TestCase


class ZoneOutTests(testtools.TestCase):
    def test_what_is_queued_for_a_zone_out_goes_elsewhere_or_is_refused(self):
        owner = make_dispatcher(make_profile("e1", "a"), make_profile("e2", "b"))
        running = [owner.request(make_request(n), 1.0) for n in range(8)]
        for number in range(8, 12):
            owner.request(make_request(number), 1.0)
        profiles = [make_profile("e1", "a", available=False), make_profile("e2", "b")]
        owner.configure(SOLE_OWNER, profiles, 2.0)
        for grant in running:
            owner.release(Release(grant.grant_id, Outcome.COMPLETED, 0.1), 2.0)
        granted = owner.advance(2.0)
        self.assertEqual({"e2"}, {grant.engine_id for grant in granted})
        self.assertEqual(4, len(granted))
        for number in range(20, 24):
            owner.request(make_request(number), 2.0)
        out = [
            make_profile(e, z, available=False) for e, z in (("e1", "a"), ("e2", "b"))
        ]
        owner.configure(SOLE_OWNER, out, 3.0)
        refused = owner.advance(3.0)
        self.assertEqual(4, sum(isinstance(answer, Refusal) for answer in refused))
