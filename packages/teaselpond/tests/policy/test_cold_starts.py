"""Prove that a cold engine gets no more work than it can bear."""

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


def warm_owner(*engines):
    """Return an owner whose engines have shown that they are warm."""
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


def end(grant: Grant, **changes) -> Release:
    """Return the release of a completed answer."""
    release = Release(grant.grant_id, Outcome.COMPLETED, 0.1, incarnation="i1")
    return evolve(release, **changes)


def grants(owner, start: int, count: int, now: float) -> list[Grant]:
    """Ask for slots; return those that were granted at once."""
    answers = [
        owner.request(make_request(number, deadline=now + 0.01, attempt=9), now)
        for number in range(start, start + count)
    ]
    return [answer for answer in answers if isinstance(answer, Grant)]


def by_report(owner, now):
    owner.observe_load("e1", LoadReport("i2", 1, 0, 0, 0, "fit", "1"), now)


def by_cache_events(owner, now):
    owner.observe_cache("e1", CacheEventPage("i2", (), 0), now)


def by_cleared_cache(owner, now):
    cleared = CacheEvent(1, CacheEventKind.CLEARED)
    owner.observe_cache("e1", CacheEventPage("i1", (cleared,), 1), now)


def by_one_answer(owner, now):
    (grant,) = grants(owner, 900, 1, now)
    owner.release(end(grant, incarnation="i2"), now)


def by_one_slow_answer_without_cache(owner, now):
    stored = CacheEvent(1, CacheEventKind.STORED, "ab", 64)
    owner.observe_cache("e1", CacheEventPage("i1", (stored,), 1), now)
    request = make_request(901, prefixes=("ab",))
    grant = owner.request(request, now)
    owner.release(end(grant, first_token_seconds=9.0, cached_tokens=0), now)


def by_two_slow_answers(owner, now):
    for number in (902, 903):
        (grant,) = grants(owner, number, 1, now)
        owner.release(end(grant, first_token_seconds=9.0), now)


def by_silence(owner, now):
    owner.advance(now + 60.0)


SIGNS = (
    by_report,
    by_cache_events,
    by_cleared_cache,
    by_one_answer,
    by_one_slow_answer_without_cache,
    by_two_slow_answers,
    by_silence,
)


class ColdStartTests(testtools.TestCase):
    def test_each_sign_of_a_cold_engine_cuts_its_limit(self):
        for sign in SIGNS:
            owner = warm_owner(ENGINE)
            self.assertEqual(SLOTS, len(grants(owner, 0, 20, 30.0)), sign.__name__)
            owner = warm_owner(ENGINE)
            sign(owner, 30.0)
            granted = grants(owner, 0, 20, 30.0)
            self.assertEqual(COLD_LIMIT, len(granted), sign.__name__)

    def test_answers_raise_the_limit_and_time_does_not(self):
        owner = warm_owner(ENGINE)
        by_report(owner, 30.0)
        running = grants(owner, 0, 20, 30.0)
        self.assertEqual(COLD_LIMIT, len(running))
        report = LoadReport("i2", 1, 0, 0, 0, "fit", "1")
        for second in range(31, 330):
            report = evolve(report, sequence=second)
            owner.observe_load("e1", report, float(second))
            owner.advance(float(second))
        self.assertEqual([], grants(owner, 100, 20, 330.0))
        limit = COLD_LIMIT
        for round_start in range(200, 1000, 100):
            for grant in running:
                owner.release(end(grant, incarnation="i2"), 331.0)
            limit = min(SLOTS, 2 * limit)
            running = grants(owner, round_start, 20, 331.0)
            self.assertEqual(limit, len(running))

    def test_what_was_granted_before_does_not_warm(self):
        owner = warm_owner(ENGINE)
        running = grants(owner, 0, SLOTS, 29.0)
        by_report(owner, 30.0)
        for grant in running:
            owner.release(end(grant, incarnation="i1"), 31.0)
        self.assertEqual(COLD_LIMIT, len(grants(owner, 100, 20, 31.0)))

    def test_news_of_an_older_incarnation_changes_nothing(self):
        owner = warm_owner(ENGINE)
        by_report(owner, 30.0)
        owner.observe_load("e1", evolve(REPORT, sequence=99), 31.0)
        stored = CacheEvent(1, CacheEventKind.STORED, "ab", 64)
        owner.observe_cache("e1", CacheEventPage("i1", (stored,), 1), 31.0)
        grant = owner.request(make_request(900, prefixes=("ab",)), 31.0)
        self.assertEqual(0, grant.cached_tokens)
        self.assertEqual(COLD_LIMIT - 1, len(grants(owner, 0, 20, 31.0)))

    def test_an_engine_that_comes_back_into_service_is_cold(self):
        owner = warm_owner(ENGINE)
        for available, now in ((False, 30.0), (True, 31.0)):
            owner.configure(SOLE_OWNER, [evolve(ENGINE, available=available)], now)
        self.assertEqual(COLD_LIMIT, len(grants(owner, 0, 20, 31.0)))

    def test_a_handover_of_an_older_incarnation_does_not_warm(self):
        owner = make_dispatcher(ENGINE)
        by_report(owner, 1.0)
        handover = Handover("e1", "d2", "d1", 0, SLOTS, "i1")
        owner.accept(handover, 2.0)
        self.assertEqual(COLD_LIMIT, len(grants(owner, 0, 20, 2.0)))

    def test_a_whole_zone_that_returns_is_warmed_gradually(self):
        zone = [evolve(ENGINE, host=make_profile(f"e{n}").host) for n in range(5)]
        owner = warm_owner(*zone)
        for engine in zone:
            report = LoadReport("i2", 1, 0, 0, 0, "fit", "1")
            owner.observe_load(engine.engine_id, report, 30.0)
        completed = dict.fromkeys((e.engine_id for e in zone), 0)
        for round_start in range(0, 1000, 100):
            running = grants(owner, round_start, 100, 30.0 + round_start)
            for engine in zone:
                mine = [g for g in running if g.engine_id == engine.engine_id]
                bearable = COLD_LIMIT + completed[engine.engine_id]
                self.assertTrue(len(mine) <= bearable)
                completed[engine.engine_id] += len(mine)
            for grant in running:
                owner.release(end(grant, incarnation="i2"), 31.0 + round_start)
        self.assertTrue(min(completed.values()) > SLOTS)
