"""Test that faults leak no slots and a zone out of service gets no work."""

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

ZONES_BY_ENGINE = {"e1": "a", "e2": "a", "e3": "b"}
ORIGINS = ("d1", "d2")


class SlotsUnderFaults(RuleBasedStateMachine):
    """Run requests, releases, faults and changes in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.request_count = 0
        self.zones_out: set[str] = set()
        self.grants: dict[str, Grant] = {}
        self.owner = make_dispatcher(*self.profiles())

    def profiles(self):
        return [
            make_profile(name, zone, available=zone not in self.zones_out)
            for name, zone in ZONES_BY_ENGINE.items()
        ]

    def record_grants(self, answers) -> None:
        for answer in answers:
            if isinstance(answer, Grant):
                assert ZONES_BY_ENGINE[answer.engine_id] not in self.zones_out
                self.grants[answer.grant_id] = answer

    @rule(count=st.integers(1, 8), origin=st.sampled_from(ORIGINS))
    def request_slots(self, count: int, origin: str) -> None:
        """Request slots, each twice as if the first answer was lost."""
        for _ in range(count):
            self.request_count += 1
            request = make_request(
                self.request_count,
                workspace=f"w{self.request_count % 3}",
                origin_daemon=origin,
                deadline=self.now + 5,
            )
            for _ in range(2):
                self.record_grants([self.owner.request(request, self.now)])

    @rule(outcome=st.sampled_from(list(Outcome)), count=st.integers(1, 6))
    def release_grants(self, outcome: Outcome, count: int) -> None:
        """Release some grants, each twice."""
        for grant_id in list(self.grants)[:count]:
            del self.grants[grant_id]
            for _ in range(2):
                self.owner.release(Release(grant_id, outcome), self.now)

    @rule(offset=st.integers(0, 8))
    def cancel(self, offset: int) -> None:
        """Cancel a request that is queued, granted or released."""
        request_id = f"r{self.request_count - offset}"
        self.owner.cancel(request_id, self.now)
        self.remove_grants(lambda grant: grant.request_id == request_id)

    @rule(origin=st.sampled_from(ORIGINS))
    def remove_entry_daemon(self, origin: str) -> None:
        """Remove an entry daemon and all of its grants."""
        held = set(self.owner.grants.by_origin(origin))
        self.owner.drop_origin(origin, self.now)
        self.remove_grants(lambda grant: grant.grant_id in held)

    @rule(origin=st.sampled_from(ORIGINS))
    def lose_messages(self, origin: str) -> None:
        """Let an entry daemon lose grants, then report those it holds."""
        held = self.owner.grants.by_origin(origin)
        retained = held[::2]
        self.now += 3.0
        self.owner.reconcile(HeldGrants(origin, retained), self.now)
        self.remove_grants(
            lambda grant: grant.grant_id in held and grant.grant_id not in retained
        )

    @rule(zone=st.sampled_from(["a", "b"]))
    def toggle_zone(self, zone: str) -> None:
        """Take a zone out of service, or put it back."""
        self.zones_out ^= {zone}
        self.owner.configure(SOLE_OWNER, self.profiles(), self.now)

    @rule()
    def lose_and_regain_ownership(self) -> None:
        """Let another daemon own the engines for a moment."""
        self.owner.set_daemons([make_host("d9")], self.now)
        self.owner.set_daemons([make_host("d1")], self.now)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the time and record the grants of queued requests."""
        self.now += seconds
        self.record_grants(self.owner.advance(self.now))

    def remove_grants(self, matches) -> None:
        for grant_id, grant in list(self.grants.items()):
            if matches(grant):
                del self.grants[grant_id]

    @invariant()
    def check_counts_agree(self) -> None:
        """Check that all counts include each open grant once."""
        engines = [self.owner.engines.get(name) for name in ZONES_BY_ENGINE]
        in_use = sum(len(e.slots.uses_by_grant) for e in engines if e)
        shares = self.owner.pools_by_model["fit"].shares.in_use_by_workspace
        assert set(self.grants) == set(self.owner.grants.open_ids())
        assert in_use == len(self.grants) == shares.total()
        pool = self.owner.pools_by_model["fit"]
        cached_load = pool.own_load(self.now)
        pool.invalidate()
        assert cached_load == pool.own_load(self.now)

    @invariant()
    def check_slot_limits(self) -> None:
        """Check that no engine has more grants than slots."""
        for name in ZONES_BY_ENGINE:
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
    def test_requests_queued_for_a_zone_out_of_service_are_moved_or_refused(self):
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
