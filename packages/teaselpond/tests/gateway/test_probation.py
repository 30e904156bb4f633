"""Test which requests are sent one at a time, and what ends it."""

import testtools

from teaselpond.gateway.engines import Engine
from teaselpond.gateway.poison import PoisonTracker
from teaselpond.gateway.probation import TRIAL_GAP_SECONDS
from teaselpond.gateway.traits import Scope, Trait, traits_of
from teaselpond_standins.testing.gateways import (
    make_call,
    make_engine,
    make_head,
    make_prompt_traits,
)

SUSPECT = Trait(b"suspect.", Scope.REQUEST)


class PathTests(testtools.TestCase):
    """Find the path of requests that crash upstreams with any query."""

    def setUp(self) -> None:
        super().setUp()
        self.trackers = [PoisonTracker() for _ in range(3)]
        self.now = 100.0
        self.ends = 0

    def traits(self, query: str) -> tuple[Trait, ...]:
        """Return the traits of a request with a query."""
        return traits_of(make_call(head=make_head(target=f"/list?{query}")))

    def tell(self) -> None:
        """Let all hosts hear one another."""
        for tracker in self.trackers:
            packed = tracker.pack_news(self.now)
            for other in self.trackers:
                other.merge_news(packed, self.now)

    def crash(self, query: str) -> None:
        """End a process under a request to the hosts in turn."""
        self.now += 1.0
        self.ends += 1
        self.trackers[self.ends % 3].record_own(
            self.traits(query), make_engine(f"e{self.ends}"), self.now - 0.1, self.now
        )
        self.tell()

    def answer(self, query: str) -> None:
        """Answer a request at one host."""
        self.now += 0.1
        self.trackers[0].record_answer(self.traits(query), self.now)
        self.tell()

    def is_refused(self, query: str) -> bool:
        """Return whether any host refuses a request with a query."""
        return any(
            tracker.is_poisonous(self.traits(query), self.now)
            for tracker in self.trackers
        )

    def may_send(self, query: str) -> list[bool]:
        """Return which hosts send a request in spite of a probation."""
        allowed = []
        for tracker in self.trackers:
            allowed.append(tracker.try_on_probation(self.traits(query), self.now))
            self.tell()
        return allowed

    def test_path_is_refused_whatever_the_query(self) -> None:
        """After three crashes one is sent at a time, after four none."""
        for number in range(3):
            self.assertEqual([True] * 3, self.may_send(f"page={number}"))
            self.crash(f"page={number}")
        self.assertEqual([True, False, False], self.may_send("page=3"))
        self.assertEqual([False] * 3, self.may_send("page=3"))
        self.now += TRIAL_GAP_SECONDS
        self.assertEqual([True, False, False], self.may_send("page=3"))
        self.assertFalse(self.is_refused("page=3"))
        self.crash("page=3")
        self.assertTrue(self.is_refused("page=4"))

    def test_other_queries_of_a_crashing_query_are_sent(self) -> None:
        """The query explains the crashes, as the first answer shows."""
        for _ in range(3):
            self.crash("page=1")
        self.assertTrue(self.is_refused("page=1"))
        self.assertEqual([True, False, False], self.may_send("page=2"))
        self.answer("page=2")
        self.assertEqual([True] * 3, self.may_send("page=3"))
        self.assertTrue(self.is_refused("page=1"))

    def test_path_is_sent_after_the_loss_of_all_upstreams(self) -> None:
        """One answer ends its probation at all hosts."""
        for number in range(3):
            self.crash(f"page={number}")
        self.assertEqual([True, False, False], self.may_send("page=3"))
        self.answer("page=3")
        self.assertEqual([True] * 3, self.may_send("page=4"))
        self.crash("page=5")
        self.assertEqual([True] * 3, self.may_send("page=4"))

    def test_popular_path_is_sent_beside_other_crashes(self) -> None:
        """It is answered elsewhere between the crashes."""
        for number in range(8):
            self.crash(f"page={number}")
            self.answer(f"page={number}")
            self.assertEqual([True] * 3, self.may_send("page=9"))

    def test_peers_hear_of_the_query_before_its_path(self) -> None:
        """The query that crashed on probation explains it there too."""
        for query in ("page=1", "page=1", "page=2", "page=1"):
            self.crash(query)
        self.assertTrue(self.is_refused("page=1"))
        self.assertFalse(self.is_refused("page=9"))

    def test_started_host_hears_of_a_probation(self) -> None:
        """It sends no requests beside the others' one."""
        for number in range(3):
            self.crash(f"page={number}")
        self.now += 10.0
        self.trackers[2] = PoisonTracker()
        self.tell()
        self.assertEqual([True, False, False], self.may_send("page=3"))

    def test_host_that_missed_the_answer_does_not_bring_a_probation_back(
        self,
    ) -> None:
        """It hears of the answer instead."""
        for number in range(3):
            self.crash(f"page={number}")
        self.now += 10.0
        self.trackers[0].record_answer(self.traits("page=3"), self.now)
        self.now += 10.0
        self.tell()
        self.tell()
        self.assertEqual([True] * 3, self.may_send("page=4"))


class ProbationTests(testtools.TestCase):
    """Doubt a request of which the evidence is weak."""

    crashing = "/list?page=crashing"
    sound = "/stock?page=sound"

    def setUp(self) -> None:
        super().setUp()
        self.tracker = PoisonTracker()
        self.now = 100.0
        self.ends = 0

    def traits(self, target: str) -> tuple[Trait, ...]:
        """Return the traits of a request with a target."""
        return traits_of(make_call(head=make_head(target=target)))

    def crash(self, *targets: str, sent_at: float | None = None) -> None:
        """End a process under requests, and answer others with their paths."""
        self.now += 0.1
        self.ends += 1
        engine = make_engine(f"e{self.ends}")
        for target in targets:
            self.tracker.record_own(
                self.traits(target), engine, sent_at or self.now - 0.1, self.now
            )
        for path in ("/list", "/stock"):
            self.answer(f"{path}?page=other")

    def answer(self, target: str) -> None:
        """Answer a request."""
        self.now += 1.0
        self.tracker.record_answer(self.traits(target), self.now)

    def is_refused(self, target: str) -> bool:
        """Return whether a request is refused."""
        return self.tracker.is_poisonous(self.traits(target), self.now)

    def may_send(self, target: str) -> bool:
        """Return whether a request is sent in spite of a probation."""
        return self.tracker.try_on_probation(self.traits(target), self.now)

    def test_request_is_refused_although_a_neighbour_was_taken_for_it(self) -> None:
        """One more crash tells it from the neighbour."""
        for _ in range(3):
            self.crash(self.sound, self.crashing)
        self.assertTrue(self.may_send(self.crashing))
        self.assertFalse(self.may_send(self.crashing))
        self.crash(self.crashing)
        self.assertTrue(self.is_refused(self.crashing))

    def test_neighbour_is_sent_after_an_answer(self) -> None:
        """Requests that were cut by the same crashes are sent one by one."""
        for _ in range(3):
            self.crash(self.crashing, self.sound)
        self.assertTrue(self.is_refused(self.crashing))
        self.assertTrue(self.may_send(self.sound))
        self.assertFalse(self.may_send(self.sound))
        self.answer(self.sound)
        for _ in range(2):
            self.assertTrue(self.may_send(self.sound))

    def test_crashes_that_come_together_again(self) -> None:
        """Several hosts send the request at once, and then one does."""
        sent_at = self.now
        for _ in range(3):
            self.crash(self.crashing, sent_at=sent_at)
        self.assertFalse(self.is_refused(self.crashing))
        self.assertTrue(self.may_send(self.crashing))
        self.assertFalse(self.may_send(self.crashing))
        self.crash(self.crashing)
        self.assertTrue(self.is_refused(self.crashing))

    def test_prompt_that_was_cut_beside_a_refused_part_is_sent(self) -> None:
        """The part explains the crashes."""
        beside = make_prompt_traits("first", "beside", number=1)
        for number in range(6):
            self.now += 1.0
            engine = make_engine(f"e{number}")
            bad = make_prompt_traits("first", "bad", number=10 + number)
            for traits in (bad, beside) if number > 2 else (bad,):
                self.tracker.record_own(traits, engine, self.now - 0.1, self.now)
        for _ in range(2):
            self.assertTrue(self.tracker.try_on_probation(beside, self.now))


class RestartedUpstreamTests(testtools.TestCase):
    """Count each process of an upstream that a request ended once."""

    def setUp(self) -> None:
        super().setUp()
        self.tracker = PoisonTracker()
        self.now = 100.0

    def crash(self, engine: Engine, after_seconds: float = 3.0) -> None:
        """End a process some time after the one before."""
        self.now += after_seconds
        self.tracker.record_own((SUSPECT,), engine, self.now - 0.1, self.now)

    def is_held_back(self) -> bool:
        """Return whether a second request is not sent right after one."""
        return not all(
            self.tracker.try_on_probation((SUSPECT,), self.now) for _ in range(2)
        )

    def test_what_may_change_when_an_upstream_starts_again(self) -> None:
        """Its id, its time of start, both, or nothing that hosts know of."""
        pairs = {
            "id": (make_engine("b"), make_engine("c")),
            "start": (make_engine("a", born_ms=2), make_engine("a", born_ms=3)),
            "both": (make_engine("b", born_ms=2), make_engine("c", born_ms=3)),
            "entry late": (make_engine("a"), make_engine("a", born_ms=2)),
            "entry not written": (make_engine("b"), make_engine("a")),
        }
        for name, engines in pairs.items():
            self.tracker = PoisonTracker()
            for engine in (make_engine("a"), *engines):
                self.assertFalse(self.is_held_back(), name)
                self.crash(engine)
            held_back = self.is_held_back()
            is_refused = self.tracker.is_poisonous((SUSPECT,), self.now)
            self.assertTrue(held_back or is_refused, name)
            self.crash(make_engine("b"))
            self.assertTrue(self.tracker.is_poisonous((SUSPECT,), self.now), name)

    def test_end_of_which_several_hosts_tell(self) -> None:
        """They had sent it the request, and saw its end, at other times."""
        for engine in (make_engine("a"), make_engine("b")):
            self.crash(engine)
            for _ in range(5):
                self.crash(engine, after_seconds=0.02)
        self.assertFalse(self.is_held_back())

    def test_one_upstream_that_breaks_off_all_it_is_sent(self) -> None:
        """Others may serve the request."""
        for _ in range(10):
            self.crash(make_engine("a"))
        self.assertFalse(self.is_held_back())
