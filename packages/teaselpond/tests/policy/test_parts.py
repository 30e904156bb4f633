"""Test the modules of the policy package separately."""

import random
from pathlib import Path

import attrs
import testtools
from attrs import evolve

from teaselpond.policy import PolicySettings, RequestClass, RetryBudget, backoff
from teaselpond.policy.affinity import EngineRing
from teaselpond.policy.cap import FleetLoad, load_cap
from teaselpond.policy.outliers import OutlierDetector, ejections_allowed
from teaselpond.policy.ownership import owner_of
from teaselpond.policy.prefixes import PrefixIndex, select_prefixes
from teaselpond.policy.queue import RequestQueue
from teaselpond_model.contracts import CacheEvent, CacheEventKind, CacheEventPage
from teaselpond_standins.testing.policy import make_host, make_profile, make_request

SETTINGS_PAGE = Path(__file__).parents[4] / "docs" / "howto" / "policy-knobs.md"
SETTINGS = PolicySettings()


class PartsTests(testtools.TestCase):
    def test_load_cap(self):
        cases = [
            # in flight, slots, engines; own slots; cap
            (FleetLoad(0, 16, 1), 16, 16),
            (FleetLoad(0, 0, 0), 16, 16),
            (FleetLoad(0, 160, 10), 16, 2),
            (FleetLoad(63, 160, 10), 16, 8),
            (FleetLoad(64, 160, 10), 16, 9),
            (FleetLoad(64, 160, 10), 8, 5),
            (FleetLoad(159, 160, 10), 16, 16),
            (FleetLoad(1, 32, 2), 16, 2),
        ]
        for load, slots, cap in cases:
            self.assertEqual(cap, load_cap(load, slots, 1.25, 2), load)

    def test_every_setting_is_on_the_operators_page(self):
        page = SETTINGS_PAGE.read_text()
        for field in attrs.fields(PolicySettings):
            self.assertIn(f"`{field.name}`", page)

    def test_a_ring_moves_only_the_chats_of_a_removed_engine(self):
        engines = [make_profile(f"e{n}", slots=16) for n in range(10)]
        full_ring, smaller_ring = EngineRing(engines), EngineRing(engines[1:])
        homes = [next(full_ring.ranking("w", f"c{n}")) for n in range(2000)]
        for number, home in enumerate(homes):
            if home != "e0":
                self.assertEqual(home, next(smaller_ring.ranking("w", f"c{number}")))
        for engine in engines:
            self.assertTrue(100 < homes.count(engine.engine_id) < 300)
        self.assertEqual(10, len(set(full_ring.ranking("w", "c"))))

    def test_owners_are_in_the_engines_zone_if_it_has_a_live_daemon(self):
        engine = make_profile("e", "b").host
        daemons = [make_host(f"d{n}", zone) for n, zone in enumerate("aabbcc")]
        self.assertEqual("b", owner_of(engine, daemons).zone)
        self.assertEqual("a", owner_of(engine, daemons[:2]).zone)
        self.assertIsNone(owner_of(engine, []))

    def test_the_queue_is_ordered_by_class_with_ageing_then_by_workspace(self):
        queue = RequestQueue(ageing_seconds=2.0)
        label = make_request(1, request_class=RequestClass.LABEL)
        queue.push(label, 0.0)
        queue.push(make_request(2, workspace="busy"), 0.0)
        queue.push(make_request(3, workspace="idle"), 1.0)
        in_use = {"busy": 5}
        order = [w.request.request_id for w in queue.heads_in_order(in_use, 1.0)]
        self.assertEqual(["r3", "r2", "r1"], order)
        for request_id in ("r2", "r3"):
            queue.remove(request_id)
        queue.push(make_request(4, workspace="late"), 9.0)
        order = [w.request.request_id for w in queue.heads_in_order(in_use, 9.0)]
        self.assertTrue(order.index("r1") < order.index("r4"))
        self.assertEqual("r1", queue.least_urgent().request.request_id)

    def test_retries_are_limited_to_a_share_of_successes_with_backoff(self):
        budget = RetryBudget(evolve(SETTINGS, retry_budget_per_second=0.0))
        self.assertEqual(10, sum(budget.try_spend(0.0) for _ in range(50)))
        for _ in range(21):
            budget.record_success()
        self.assertEqual(2, sum(budget.try_spend(1.0) for _ in range(50)))
        rng = random.Random(1)
        waits = [backoff(20, SETTINGS, rng) for _ in range(200)]
        self.assertTrue(0 <= min(waits) < 1 and 4 < max(waits) <= 5)

    def test_ejections_grow_longer_and_are_limited_in_number(self):
        for engines, allowed in ((1, 0), (2, 1), (10, 1), (30, 3)):
            self.assertEqual(allowed, ejections_allowed(engines, SETTINGS))
        outlier = OutlierDetector()
        for start, duration in ((0.0, 10.0), (100.0, 20.0), (200.0, 40.0)):
            for _ in range(SETTINGS.ejection_failures):
                outlier.record_failure(True, SETTINGS, start)
            self.assertTrue(outlier.is_ejected(start + duration - 0.1))
            self.assertFalse(outlier.is_ejected(start + duration + 0.1))
        for _ in range(9):
            outlier.record_failure(False, SETTINGS, 300.0)
        self.assertFalse(outlier.is_ejected(300.0))

    def test_the_prefix_index_handles_late_and_missing_events(self):
        def event(sequence, prefix, kind=CacheEventKind.STORED):
            return CacheEvent(sequence, kind, prefix, 64)

        index = PrefixIndex(capacity=2, block_tokens=16)
        index.restart("i1")
        index.observe(CacheEventPage("i1", (event(2, "b"), event(1, "a")), 2))
        self.assertFalse(index.has_gap)
        index.observe(CacheEventPage("i1", (event(1, "a", CacheEventKind.EVICTED),), 2))
        self.assertEqual(64, index.cached_tokens([0xA]))
        index.observe(CacheEventPage("i1", (event(5, "c"),), 5))
        self.assertTrue(index.has_gap)
        self.assertEqual([0, 64, 64], [index.cached_tokens([p]) for p in (10, 11, 12)])
        index.resynchronise("i1", 4, [event(0, "d")])
        self.assertEqual(0, index.cached_tokens([0xD]))
        index.resynchronise("i1", 6, [event(0, "d")])
        self.assertEqual(64, index.cached_tokens([0xD]))
        self.assertFalse(index.has_gap)
        chain = [f"{n:x}" for n in range(1, 1001)]
        self.assertEqual(8, len(select_prefixes(chain)))
