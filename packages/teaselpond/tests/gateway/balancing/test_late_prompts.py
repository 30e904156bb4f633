"""Place prompts of 195 hosts at 59 engines, with a zone evacuated or not."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Sequence

import testtools
from attrs import define

from teaselpond.gateway.balancing.orders import choose_below_limit, order_by_affinity
from teaselpond.gateway.balancing.prompts import (
    AVOIDED_SECONDS,
    read_seconds,
    spread_count,
    weigh_prompt,
)
from teaselpond.gateway.budgets import ColdBudget
from teaselpond.gateway.calls import Call
from teaselpond.gateway.health import HealthTracker
from teaselpond.gateway.loads import LOAD_CAP_SLACK, LoadTracker
from teaselpond.gateway.placement import Placer
from teaselpond.gateway.prefixes import PrefixTracker, PrefixUse, prefix_key
from teaselpond.gateway.routing_state import EngineRecord, RoutingState
from teaselpond_standins.testing.gateways import (
    make_call,
    make_configuration,
    make_engine,
    make_head,
    make_prompt,
)
from teaselpond_standins.testing.late_news import LatePrefixes, LateStarts

HOSTS, ENGINES = 195, 59
REQUESTS_PER_SECOND, RUN_SECONDS = 272.0, 1.4
PREFIXES, HOT_SHARE = 1600, 0.13
READING_DELAY_SECONDS, NEWS_DELAY_SECONDS = 0.7, 0.4
WARM_UP_SECONDS, END_SECONDS = 12.0, 27.0
PART_TOKENS, READ_TOKENS_PER_SECOND, KEPT_SECONDS = 350, 8000.0, 45.0
# The time of a batch step that one more request adds, and tokens of a step.
STEP_SECONDS, STEP_TOKENS = 0.001, 512


class FormerPlacer(Placer):
    """Choose the first below the load limit in the order of affinity."""

    def order(self, call: Call, candidates: Sequence, *args: object) -> list:
        """Return the candidates with holders first."""
        key = call.head.prompt.affinity_key
        return order_by_affinity(key, candidates, self.holders(call, args[1]))

    def choose_rank(
        self,
        call: Call,
        order: Sequence[EngineRecord],
        loads_by_id: dict[str, int],
        mean: float,
        now: float,
        host_count: int,
    ) -> int:
        """Return the first one below the limit."""
        key = call.head.prompt.affinity_key
        return choose_below_limit(
            [loads_by_id[record.engine.engine_id] for record in order],
            self.load_limit(mean),
            self.load_cap_factor * mean + LOAD_CAP_SLACK,
            mean,
            self.prefix_rates.fleet_rate(key, now, host_count),
            self.loads.age_seconds(),
            self.rng,
        )


@define
class Result:
    """Count requests; seconds until the first event are sums."""

    placed: int = 0
    above_cap: int = 0
    held: int = 0
    wait_seconds: float = 0.0
    read_seconds: float = 0.0


def play(placer_class: type[Placer], *, is_evacuated: bool, seed: int = 1) -> Result:
    """Return how requests fared after the warm-up."""
    rng = random.Random(seed)
    state = RoutingState()
    state.update_configuration(make_configuration())
    starts, prefixes = LateStarts(NEWS_DELAY_SECONDS), LatePrefixes(NEWS_DELAY_SECONDS)
    health = HealthTracker()
    loads = LoadTracker(peer_age_seconds=3.0, starts=starts)
    cold = ColdBudget(1.5, 5.0)
    placers = [
        placer_class(
            state, loads, health, cold, prefixes, "zone-a", 2.0, random.Random(number)
        )
        for number in range(HOSTS)
    ]
    for number in range(ENGINES):
        zone = "zone-b" if number % 3 == 0 else "zone-a"
        engine = make_engine(f"e{number}", availability_zone=zone)
        state.update_engine(engine, 0.0)
    state.evacuated_zones = {"zone-b"} if is_evacuated else set()
    running: Counter[str] = Counter()
    free_at: Counter[str] = Counter()
    kept_at: dict[tuple[str, int], float] = {}
    ends: list[tuple[float, str]] = []
    readings: deque[tuple[float, str, int]] = deque()
    result = Result()
    now = 0.0
    while now < END_SECONDS:
        now += rng.expovariate(REQUESTS_PER_SECOND)
        while ends and ends[0][0] <= now:
            running[heapq.heappop(ends)[1]] -= 1
        while readings and readings[0][0] <= now - READING_DELAY_SECONDS:
            read_at, engine_id, load = readings.popleft()
            loads.readings.record(engine_id, load, read_at)
        starts.advance(now)
        prefixes.advance(now)
        thing = 0 if rng.random() < HOT_SHARE else rng.randrange(PREFIXES)
        prompt = make_prompt("system", f"thing-{thing}", "own", tokens=PART_TOKENS)
        call = make_call(now, head=make_head(prompt=prompt))
        placer = rng.choice(placers)
        placement = placer.place(call, (), now, HOSTS)
        placer.record_sent(call, placement, now, HOSTS)
        engine_id = placement.record.engine.engine_id
        is_held = now - kept_at.get((engine_id, thing), -KEPT_SECONDS) < KEPT_SECONDS
        kept_at[engine_id, thing] = now
        running[engine_id] += 1
        tokens = PART_TOKENS * (1 if is_held else 3)
        reading = tokens / READ_TOKENS_PER_SECOND
        steps = 1 + tokens / STEP_TOKENS
        wait = max(0.0, free_at[engine_id] - now)
        free_at[engine_id] = now + wait + reading
        heapq.heappush(ends, (now + rng.expovariate(1 / RUN_SECONDS), engine_id))
        readings.append((now, engine_id, running[engine_id]))
        if now > WARM_UP_SECONDS:
            mean = running.total() / ENGINES
            result.placed += 1
            result.above_cap += running[engine_id] > 2 * mean + 3
            result.held += is_held
            result.wait_seconds += wait + STEP_SECONDS * running[engine_id] * steps
            result.read_seconds += reading
    return result


class LatePromptTests(testtools.TestCase):
    """Compare the choice with the former one."""

    def test_evacuated_zone(self) -> None:
        """At most 3 in 100 requests may come above the cap with a zone gone.

        What is read again may cost no more than is saved in waiting.
        """
        former = play(FormerPlacer, is_evacuated=True)
        result = play(Placer, is_evacuated=True)
        others = [play(Placer, is_evacuated=True, seed=seed) for seed in (2, 3)]
        placed = sum(each.placed for each in (result, *others))
        above_cap = sum(each.above_cap for each in (result, *others))
        self.assertGreater(former.above_cap / former.placed, 0.03, former)
        self.assertLessEqual(above_cap / placed, 0.03, others)
        former_read, former_wait = (
            seconds / former.placed
            for seconds in (former.read_seconds, former.wait_seconds)
        )
        read = result.read_seconds / result.placed - former_read
        saved = former_wait - result.wait_seconds / result.placed
        self.assertLessEqual(read, saved, (former, result))

    def test_normal_operation(self) -> None:
        """No more may come above the cap, and no fewer prompts be held."""
        former = play(FormerPlacer, is_evacuated=False)
        result = play(Placer, is_evacuated=False)
        self.assertLessEqual(
            result.above_cap / result.placed, former.above_cap / former.placed
        )
        self.assertGreaterEqual(
            result.held / result.placed, former.held / former.placed
        )


class EndedRequestsTests(testtools.TestCase):
    """Compare an upstream with the mean of requests that still run."""

    def test_requests_that_ended_do_not_raise_the_cap(self) -> None:
        """A full upstream must not get more because others had many before."""
        state, prefixes = RoutingState(), PrefixTracker()
        state.update_configuration(make_configuration())
        loads = LoadTracker(peer_age_seconds=3.0)
        for number in range(4):
            state.update_engine(make_engine(f"e{number}"), 0.0)
            loads.record_reading(f"e{number}", 0, 0.0)
            for _ in range(8):
                loads.record_start(f"e{number}", 0.1)
        loads.record_reading("e0", 8, 2.9)
        prompt = make_prompt("system", "thing", "own")
        call = make_call(2.9, head=make_head(prompt=prompt))
        prefixes.record(PrefixUse(prefix_key(call.service, "thing"), "e0", 2.8))
        trackers = HealthTracker(), ColdBudget(1.5, 5.0), prefixes
        placer = Placer(state, loads, *trackers, "zone-a", 2.0, random.Random(1))
        placement = placer.place(call, (), 2.9, HOSTS)
        self.assertNotEqual("e0", placement.record.engine.engine_id)


class DecisionTests(testtools.TestCase):
    """Weigh an upstream that holds the prompt against one that does not."""

    def test_short_and_long_prompts(self) -> None:
        """A prompt moves only if waiting costs more than reading it again."""
        loads = [12.0, 6.0, 6.0]
        for seconds, is_moved in ((AVOIDED_SECONDS / 2, True), (1.3, False)):
            weights = weigh_prompt([0.0, seconds, seconds], loads, 14.0)
            self.assertEqual(is_moved, weights[0] < weights[1], weights)

    def test_cap(self) -> None:
        """No upstream above the cap is chosen while others are below it."""
        weights = weigh_prompt([0.0, 1.3], [20.0, 6.0], 14.0)
        self.assertEqual(0.0, weights[0])

    def test_few_below_the_cap(self) -> None:
        """Hosts must not all send to the least loaded engine."""
        for cap in (3.0, 5.0):
            weights = weigh_prompt([0.0] * 3, [9, 9, 4], cap)
            self.assertGreater(min(weights), 0.0)
            self.assertLess(weights[2] / sum(weights), 0.8)

    def test_more_room_is_chosen_more_often(self) -> None:
        """Engines that hold a popular prompt must not be filled to the cap."""
        weights = weigh_prompt([0.0] * 3, [8, 11, 2], 10.0)
        self.assertEqual(0.0, weights[1])
        self.assertAlmostEqual(0.15, weights[0] / sum(weights), delta=0.03)

    def test_popular_prompts(self) -> None:
        """The requests for a popular prompt share the cost of reading it."""
        self.assertEqual(0.0875, read_seconds(700, 0.0, 40))
        self.assertLess(read_seconds(700, 35.0, 40), 0.0025)

    def test_upstreams_of_popular_prompts(self) -> None:
        """A prompt with more requests is spread over more upstreams."""
        self.assertEqual(1, spread_count(0.0, 2.5, 8.0))
        self.assertEqual(13, spread_count(10.0, 2.5, 8.0))
        self.assertEqual(5, spread_count(10.0, 12.0, 27.0))
