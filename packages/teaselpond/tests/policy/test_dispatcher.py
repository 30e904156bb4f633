"""Test the dispatcher's grants, queue and releases."""

import cattrs
import cbor2
import testtools
from attrs import evolve

from teaselpond.policy import (
    Dispatcher,
    Grant,
    Outcome,
    Queued,
    Redirect,
    Refusal,
    RefusalReason,
    Release,
)
from teaselpond_model.contracts import LoadReport
from teaselpond_standins.testing.policy import (
    SOLE_OWNER,
    make_dispatcher,
    make_host,
    make_profile,
    make_request,
)


class DispatcherTests(testtools.TestCase):
    def test_grants_all_slots_then_queues_then_grants_on_release(self):
        owner = make_dispatcher(make_profile("e1"))
        granted = [owner.request(make_request(n), 1.0) for n in range(4)]
        self.assertEqual({Grant}, {type(grant) for grant in granted})
        self.assertEqual(Queued("r4", 1), owner.request(make_request(4), 1.0))
        self.assertEqual((), owner.advance(1.0))
        owner.release(Release(granted[0].grant_id, Outcome.COMPLETED), 2.0)
        (next_grant,) = owner.advance(2.0)
        self.assertEqual("r4", next_grant.request_id)

    def test_repeated_requests_and_releases_are_counted_once(self):
        owner = make_dispatcher(make_profile("e1"))
        grant = owner.request(make_request(1), 1.0)
        self.assertEqual(grant, owner.request(make_request(1), 1.0))
        for _ in range(2):
            owner.release(Release(grant.grant_id, Outcome.COMPLETED), 2.0)
        self.assertEqual(0, owner.sums(2.0)[0].in_flight)

    def test_refusals_carry_their_reason(self):
        owner = make_dispatcher(make_profile("e1"))
        cases = {
            RefusalReason.DEADLINE_PASSED: make_request(1, deadline=0.5),
            RefusalReason.NO_ENGINE: make_request(2, model="other"),
        }
        for reason, request in cases.items():
            refusal = owner.request(request, 1.0)
            self.assertIsInstance(refusal, Refusal)
            self.assertEqual(reason, refusal.reason)

    def test_refuses_a_request_that_excludes_every_engine(self):
        owner = make_dispatcher(make_profile("e1"))
        refusal = owner.request(make_request(1, excluded=("e1",)), 1.0)
        self.assertEqual(RefusalReason.ENGINES_UNAVAILABLE, refusal.reason)

    def test_an_engine_out_of_service_gets_no_queued_requests(self):
        owner = make_dispatcher(make_profile("e1"))
        grants = [owner.request(make_request(n), 1.0) for n in range(4)]
        owner.request(make_request(4), 1.0)
        owner.configure(SOLE_OWNER, [make_profile("e1", available=False)], 2.0)
        owner.release(Release(grants[0].grant_id, Outcome.COMPLETED), 2.0)
        (refusal,) = owner.advance(2.0)
        self.assertEqual(RefusalReason.ENGINES_UNAVAILABLE, refusal.reason)

    def test_slots_and_queued_requests_of_a_lost_daemon_are_freed(self):
        owner = make_dispatcher(make_profile("e1"))
        for number in range(6):
            owner.request(make_request(number, origin_daemon="d2"), 1.0)
        owner.drop_origin("d2", 2.0)
        self.assertEqual(0, len(owner.grants))
        self.assertEqual((), owner.advance(2.0))
        self.assertEqual(0, owner.sums(2.0)[0].queued)

    def make_owner_beside_idle_one(self) -> Dispatcher:
        """Return the owner of e1, which knows of the idle owner of e2."""
        engines = [
            make_profile(name, zone) for name, zone in (("e1", "a"), ("e2", "b"))
        ]
        daemons = [make_host("d1", "a"), make_host("d2", "b")]
        first, second = Dispatcher("d1", "i"), Dispatcher("d2", "i")
        for each in (first, second):
            each.configure(SOLE_OWNER, engines, 0.0)
            each.set_daemons(daemons, 0.0)
            each.advance(0.0)
        for load_sum in second.sums(0.0):
            first.observe_sum(load_sum, 0.0)
        return first

    def test_request_is_not_refused_beside_an_idle_owner(self):
        first = self.make_owner_beside_idle_one()
        for attempt in (1, 2):
            request = make_request(attempt, excluded=("e1",), attempt=attempt)
            redirect = first.request(request, 0.0)
            self.assertIsInstance(redirect, Redirect, attempt)
            self.assertEqual(("d2", "e2"), (redirect.owner_id, redirect.engine_id))

    def test_redirects_to_an_owner_with_free_slots(self):
        first = self.make_owner_beside_idle_one()
        answers = [first.request(make_request(number), 0.0) for number in range(5)]
        redirect = next(a for a in answers if isinstance(a, Redirect))
        self.assertEqual(("d2", "e2"), (redirect.owner_id, redirect.engine_id))

    def test_a_new_incarnation_lowers_the_limit_at_once(self):
        owner = make_dispatcher(make_profile("e1", cold_limit=1))
        report = LoadReport("i1", 1, 4, 0, 0, "fit", "1")
        owner.observe_load("e1", report, 0.0)
        owner.observe_load("e1", evolve(report, sequence=2, running=0), 1.0)
        owner.advance(2.0)
        self.assertEqual(4, owner.sums(2.0)[0].slots)
        grant = owner.request(make_request(1), 1.0)
        end = Release(grant.grant_id, Outcome.COMPLETED, 0.1, incarnation="i2")
        owner.release(end, 2.0)
        self.assertEqual(1, owner.sums(2.0)[0].slots)

    def test_messages_survive_a_cbor_round_trip(self):
        converter = cattrs.Converter(prefer_attrib_converters=True)
        for message in (make_request(1), Release("g", Outcome.FAILED), Queued("r", 1)):
            data = cbor2.dumps(converter.unstructure(message))
            self.assertEqual(
                message, converter.structure(cbor2.loads(data), type(message))
            )
