"""Test that a cold engine gets no more requests than its limit."""

import testtools
from attrs import evolve

from teaselpond.policy import Grant, Handover, Outcome, Release
from teaselpond_model.contracts import (
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
    LoadReport,
)
from teaselpond_standins.testing.policy import (
    SOLE_OWNER,
    make_dispatcher,
    make_profile,
    make_request,
)

SLOTS = 8
COLD_LIMIT = 2
ENGINE = make_profile("e1", slots=SLOTS, cold_limit=COLD_LIMIT)
REPORT = LoadReport("i1", 1, SLOTS, 0, 0, "fit", "1")


def make_warm_owner(*engines):
    """Return an owner whose engines have proved to be warm."""
    owner = make_dispatcher(*engines)
    for engine in engines:
        owner.observe_load(engine.engine_id, REPORT, 1.0)
        idle = evolve(REPORT, sequence=2, running=0)
        owner.observe_load(engine.engine_id, idle, 2.0)
    for step in range(20):
        owner.advance(2.0 + step)
        for engine in engines:
            owner.observe_load(
                engine.engine_id, evolve(REPORT, sequence=3 + step, running=0), 2 + step
            )
    return owner


def make_release(grant: Grant, **changes) -> Release:
    """Return the release of a completed answer."""
    release = Release(grant.grant_id, Outcome.COMPLETED, 0.1, incarnation="i1")
    return evolve(release, **changes)


def request_grants(owner, start: int, count: int, now: float) -> list[Grant]:
    """Request slots; return those granted at once."""
    answers = [
        owner.request(make_request(number, deadline=now + 0.01, attempt=9), now)
        for number in range(start, start + count)
    ]
    return [answer for answer in answers if isinstance(answer, Grant)]


def report_new_incarnation(owner, now):
    owner.observe_load("e1", LoadReport("i2", 1, 0, 0, 0, "fit", "1"), now)


def send_cache_events(owner, now):
    owner.observe_cache("e1", CacheEventPage("i2", (), 0), now)


def clear_cache(owner, now):
    cleared = CacheEvent(1, CacheEventKind.CLEARED)
    owner.observe_cache("e1", CacheEventPage("i1", (cleared,), 1), now)


def complete_with_new_incarnation(owner, now):
    (grant,) = request_grants(owner, 900, 1, now)
    owner.release(make_release(grant, incarnation="i2"), now)


def complete_slowly_without_cache(owner, now):
    stored = CacheEvent(1, CacheEventKind.STORED, "ab", 64)
    owner.observe_cache("e1", CacheEventPage("i1", (stored,), 1), now)
    request = make_request(901, prefixes=("ab",))
    grant = owner.request(request, now)
    owner.release(make_release(grant, first_token_seconds=9.0, cached_tokens=0), now)


def complete_slowly_twice(owner, now):
    for number in (902, 903):
        (grant,) = request_grants(owner, number, 1, now)
        owner.release(make_release(grant, first_token_seconds=9.0), now)


def fail_request(owner, now):
    (grant,) = request_grants(owner, 902, 1, now)
    owner.release(Release(grant.grant_id, Outcome.FAILED), now)


def stop_reports(owner, now):
    owner.advance(now + 60.0)


COLD_SIGNS = (
    report_new_incarnation,
    send_cache_events,
    clear_cache,
    complete_with_new_incarnation,
    complete_slowly_without_cache,
    complete_slowly_twice,
    stop_reports,
    fail_request,
)


class ColdStartTests(testtools.TestCase):
    def test_each_sign_of_a_cold_engine_lowers_its_limit(self):
        for sign in COLD_SIGNS:
            owner = make_warm_owner(ENGINE)
            self.assertEqual(
                SLOTS, len(request_grants(owner, 0, 20, 30.0)), sign.__name__
            )
            owner = make_warm_owner(ENGINE)
            sign(owner, 30.0)
            granted = request_grants(owner, 0, 20, 30.0)
            self.assertEqual(COLD_LIMIT, len(granted), sign.__name__)

    def test_a_later_report_of_the_same_incarnation_restores_the_limit(self):
        owner = make_warm_owner(ENGINE)
        fail_request(owner, 30.0)
        report = evolve(REPORT, sequence=50, running=0, age=0.5)
        owner.observe_load("e1", report, 30.2)
        owner.release(make_release(request_grants(owner, 0, 1, 30.2)[0]), 30.2)
        self.assertGreater(SLOTS, len(request_grants(owner, 10, 20, 30.2)))
        owner.observe_load("e1", evolve(report, sequence=51), 30.6)
        granted = len(request_grants(owner, 40, 20, 30.6))
        self.assertEqual(SLOTS, owner.sums(30.6)[0].in_flight, granted)

    def test_answers_raise_the_limit_and_time_does_not(self):
        owner = make_warm_owner(ENGINE)
        report_new_incarnation(owner, 30.0)
        running = request_grants(owner, 0, 20, 30.0)
        self.assertEqual(COLD_LIMIT, len(running))
        report = LoadReport("i2", 1, 0, 0, 0, "fit", "1")
        for second in range(31, 330):
            report = evolve(report, sequence=second)
            owner.observe_load("e1", report, float(second))
            owner.advance(float(second))
        self.assertEqual([], request_grants(owner, 100, 20, 330.0))
        limit = COLD_LIMIT
        for round_start in range(200, 1000, 100):
            for grant in running:
                owner.release(make_release(grant, incarnation="i2"), 331.0)
            limit = min(SLOTS, 2 * limit)
            running = request_grants(owner, round_start, 20, 331.0)
            self.assertEqual(limit, len(running))

    def test_requests_granted_before_a_cold_start_do_not_raise_the_limit(self):
        owner = make_warm_owner(ENGINE)
        running = request_grants(owner, 0, SLOTS, 29.0)
        report_new_incarnation(owner, 30.0)
        for grant in running:
            owner.release(make_release(grant, incarnation="i1"), 31.0)
        self.assertEqual(COLD_LIMIT, len(request_grants(owner, 100, 20, 31.0)))

    def test_messages_of_an_older_incarnation_are_ignored(self):
        owner = make_warm_owner(ENGINE)
        report_new_incarnation(owner, 30.0)
        owner.observe_load("e1", evolve(REPORT, sequence=99), 31.0)
        stored = CacheEvent(1, CacheEventKind.STORED, "ab", 64)
        owner.observe_cache("e1", CacheEventPage("i1", (stored,), 1), 31.0)
        grant = owner.request(make_request(900, prefixes=("ab",)), 31.0)
        self.assertEqual(0, grant.cached_tokens)
        self.assertEqual(COLD_LIMIT - 1, len(request_grants(owner, 0, 20, 31.0)))

    def test_an_engine_that_returns_to_service_is_cold(self):
        owner = make_warm_owner(ENGINE)
        for available, now in ((False, 30.0), (True, 31.0)):
            owner.configure(SOLE_OWNER, [evolve(ENGINE, available=available)], now)
        self.assertEqual(COLD_LIMIT, len(request_grants(owner, 0, 20, 31.0)))

    def test_a_handover_of_an_older_incarnation_does_not_raise_the_limit(self):
        owner = make_dispatcher(ENGINE)
        report_new_incarnation(owner, 1.0)
        handover = Handover("e1", "d2", "d1", 0, SLOTS, "i1")
        owner.accept(handover, 2.0)
        self.assertEqual(COLD_LIMIT, len(request_grants(owner, 0, 20, 2.0)))

    def test_the_engines_of_a_returning_zone_warm_up_gradually(self):
        engines_of_zone = [
            evolve(ENGINE, host=make_profile(f"e{n}").host) for n in range(5)
        ]
        owner = make_warm_owner(*engines_of_zone)
        for engine in engines_of_zone:
            report = LoadReport("i2", 1, 0, 0, 0, "fit", "1")
            owner.observe_load(engine.engine_id, report, 30.0)
        completed = dict.fromkeys((e.engine_id for e in engines_of_zone), 0)
        for round_start in range(0, 1000, 100):
            running = request_grants(owner, round_start, 100, 30.0 + round_start)
            for engine in engines_of_zone:
                own_grants = [g for g in running if g.engine_id == engine.engine_id]
                limit = COLD_LIMIT + completed[engine.engine_id]
                self.assertTrue(len(own_grants) <= limit)
                completed[engine.engine_id] += len(own_grants)
            for grant in running:
                owner.release(make_release(grant, incarnation="i2"), 31.0 + round_start)
        self.assertTrue(min(completed.values()) > SLOTS)
