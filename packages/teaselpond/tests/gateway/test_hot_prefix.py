"""Play the load of a popular prompt prefix on loads that are known late."""

import heapq
import random

import testtools

from teaselpond.gateway.budgets import ColdBudget
from teaselpond.gateway.health import HealthTracker
from teaselpond.gateway.loads import LoadTracker
from teaselpond.gateway.placement import Placer
from teaselpond.gateway.prefixes import PrefixTracker
from teaselpond.gateway.routing_state import RoutingState
from teaselpond_standins.testing.gateways import (
    make_call,
    make_configuration,
    make_engine,
    make_head,
    make_prompt,
)
from teaselpond_standins.testing.late_news import LateStarts

HOSTS = 195
ENGINES = 59
REQUESTS_PER_SECOND = 272.0
RUN_SECONDS = 1.4
PREFIXES = 1600
# A third of the most frequent kind of requests is about one prefix.
HOT_SHARE = 0.13
# What an engine tells of its load reaches the hosts of a large fleet so late.
READING_DELAY_SECONDS = 0.5
START_DELAY_SECONDS = 0.4
CAP_FACTOR = 2.0
CAP_SLACK = 3
# At most this share of requests may reach an engine above the cap.
MAX_SHARE_ABOVE_CAP = 0.03
WARM_UP_SECONDS = 5.0
PLAYED_SECONDS = 30.0


class HotPrefixTests(testtools.TestCase):
    """Place requests as a large fleet does, whose hosts see the same loads."""

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(5)
        self.routing_state = RoutingState()
        self.routing_state.update_configuration(make_configuration())
        self.starts = LateStarts(START_DELAY_SECONDS)
        self.loads = LoadTracker(peer_age_seconds=3.0, starts=self.starts)
        health, prefixes = HealthTracker(), PrefixTracker()
        self.placers = [
            Placer(
                self.routing_state,
                self.loads,
                health,
                ColdBudget(1.5, 5.0),
                prefixes,
                "zone-a",
                CAP_FACTOR,
                random.Random(number),
            )
            for number in range(HOSTS)
        ]
        self.running_by_engine: dict[str, int] = {}
        for number in range(ENGINES):
            self.routing_state.update_engine(make_engine(f"e{number}"), 0.0)
            self.running_by_engine[f"e{number}"] = 0

    def place(self, now: float) -> str:
        """Place one request, and return its engine."""
        thing = 0 if self.rng.random() < HOT_SHARE else self.rng.randrange(PREFIXES)
        prompt = make_prompt("system", f"thing-{thing}", "own")
        call = make_call(now, head=make_head(prompt=prompt))
        placer = self.rng.choice(self.placers)
        placement = placer.place(call, (), now, HOSTS)
        placer.record_sent(call, placement, now, HOSTS)
        return placement.record.engine.engine_id

    def play(self) -> tuple[int, int]:
        """Return how many requests were placed, and how many above the cap."""
        now = 0.0
        ends: list[tuple[float, str]] = []
        readings: list[tuple[float, str, int]] = []
        placed = above = 0
        while now < WARM_UP_SECONDS + PLAYED_SECONDS:
            now += self.rng.expovariate(REQUESTS_PER_SECOND)
            while ends and ends[0][0] <= now:
                self.running_by_engine[heapq.heappop(ends)[1]] -= 1
            while readings and readings[0][0] <= now - READING_DELAY_SECONDS:
                read_at, engine_id, load = heapq.heappop(readings)
                self.loads.readings.record(engine_id, load, read_at)
            self.starts.advance(now)
            engine_id = self.place(now)
            self.running_by_engine[engine_id] += 1
            running = self.running_by_engine[engine_id]
            duration = self.rng.expovariate(1 / RUN_SECONDS)
            heapq.heappush(ends, (now + duration, engine_id))
            heapq.heappush(readings, (now, engine_id, running))
            if now > WARM_UP_SECONDS:
                placed += 1
                mean = sum(self.running_by_engine.values()) / ENGINES
                above += running > CAP_FACTOR * mean + CAP_SLACK
        return placed, above

    def test_engines_stay_below_the_cap(self) -> None:
        """Few requests reach an engine above the cap, though loads are old."""
        placed, above = self.play()
        self.assertLessEqual(above / placed, MAX_SHARE_ABOVE_CAP, (placed, above))
