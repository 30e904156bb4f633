"""Simulate a roll-out over many hosts on simulated time, without a network."""

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, field

from teaselpond.gateway.configuration import RouteType
from teaselpond.gateway.health import Result
from teaselpond.gateway.rollouts.orders import RolloutOrder, RolloutState, Stage
from teaselpond.gateway.rollouts.rollout import Rollout
from teaselpond.gateway.rollouts.tracker import Rollouts
from teaselpond.gateway.routing_state import EngineRecord

from .gateways import (
    make_call,
    make_engine,
    make_head,
    make_route,
)

ROUND_SECONDS = 0.2
RECEIVERS = 5
LOSS_RATIO = 0.01
STORE_SECONDS = 0.05
ROUTES = (
    (make_route(name="common", type=RouteType.SAFE), 0.6),
    (make_route(name="once", type=RouteType.UNSAFE, max_attempts=1), 0.3),
    (make_route(name="rare", type=RouteType.SAFE), 0.1),
)


@define(eq=False)
class Version:
    """Describe how a version answers.

    ``fail_ratio`` returns the portion of failures by the seconds since the
    order, the requests that its upstream has, and the route.
    """

    fail_ratio: Callable[[float, int, str], float] = lambda age, load, route: 0.005
    slowness: float = 1.0


@define(eq=False)
class FleetModel:
    """Run one roll-out from the order to its deadline.

    ``is_cut`` returns whether a host hears and tells nothing.
    """

    seed: int
    seconds: float = 12.0
    size: int = 70
    rate: float = 215.0
    old: Version = field(factory=Version)
    new: Version = field(factory=Version)
    to_version: str = "v2"
    new_engines: int = 10
    is_cut: Callable[[int, float], bool] = lambda number, now: False
    now: float = 92.0
    order_at: float = 101.0
    hosts: list[Rollouts] = field(init=False)
    sent_to_new: list[float] = field(factory=list)
    bad_answers: list[float] = field(factory=list)
    requests: int = 0
    sent_by_host: dict[int, int] = field(factory=dict)
    finished: tuple[RolloutState, float] | None = None
    fixed_at_end: int = 0
    loads: dict[str, int] = field(factory=dict)
    fixed_loads: dict[str, int] = field(factory=dict)
    records: list[EngineRecord] = field(init=False)
    orders: list[RolloutOrder] = field(factory=list)
    rng: random.Random = field(init=False)
    _events: list = field(factory=list)
    _numbers: itertools.count = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.records = [
            EngineRecord(make_engine(f"old-{n}", version="v1"), 0.0, 0.0)
            for n in range(10)
        ] + [
            EngineRecord(make_engine(f"new-{n}", version="v2"), 0.0, 0.0)
            for n in range(self.new_engines)
        ]
        self.hosts = [self.make_host() for _ in range(self.size)]
        for number in range(self.size):
            self.at(self.rng.uniform(0, ROUND_SECONDS), self.run_round, number)
            # Readers pass changes of the operator's rows on at once.
            delay = self.order_at - self.now + self.rng.uniform(0.0, 0.3)
            self.at(delay, self.order, number, self.to_version, 5)
        self.at(0.0, self.arrive)

    def make_host(self) -> Rollouts:
        """Return the roll-outs of one host."""
        host = Rollouts(
            host_count=lambda: self.size,
            engines=lambda: self.records,
            rng=random.Random(self.rng.random()),
        )
        host.configure(0.1, 50.0)
        return host

    def at(self, delay: float, action: Callable[..., None], *arguments) -> None:
        """Schedule an action."""
        event = (self.now + delay, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, until: float | None = None) -> "FleetModel":
        """Run until some seconds after the order, by default its deadline."""
        end = self.order_at + (self.seconds if until is None else until)
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end
        return self

    def order(
        self, number: int, version: str, row_version: int, is_found: bool = False
    ) -> None:
        """Show the order to a host."""
        order = RolloutOrder("model", version, self.seconds)
        self.hosts[number].record_order(
            order,
            row_version,
            1,
            self.now,
            unconfirmed_seconds=self.rng.uniform(0.1, 0.6),
            is_found=is_found,
        )

    def restart(self, number: int) -> None:
        """Start a host's process again, which finds the order."""
        self.hosts[number] = self.make_host()
        self.order(number, self.to_version, 5, True)

    def rollout(self, number: int = 0) -> Rollout | None:
        """Return a host's view of the roll-out."""
        return self.hosts[number].rollouts_by_service.get("model")

    @property
    def exposure_bound(self) -> float:
        """Return how many requests a bad version may get."""
        return 0.1 * self.requests + 50

    @property
    def state(self) -> RolloutState | None:
        """Return the status that was written last."""
        return self.finished[0] if self.finished else None

    def seconds_after_bad(self) -> float:
        """Return how long after the 50th bad answer requests were sent."""
        if len(self.bad_answers) < 50 or not self.sent_to_new:
            return 0.0
        return max(0.0, max(self.sent_to_new) - sorted(self.bad_answers)[49])

    def run_round(self, number: int) -> None:
        """Send one host's heartbeats, and let readers write the status."""
        self.at(ROUND_SECONDS * self.rng.uniform(0.9, 1.1), self.run_round, number)
        host = self.hosts[number]
        packed = host.pack(self.now)
        if number < 3:
            self._keep_status(number)
        if not packed or self.is_cut(number, self.now):
            return
        for to in self.rng.sample(range(self.size), RECEIVERS):
            lost = self.rng.random() < LOSS_RATIO or self.is_cut(to, self.now)
            if to != number and not lost:
                self.hosts[to].merge(packed, f"host-{number}", self.now)

    def _keep_status(self, number: int) -> None:
        rollout = self.rollout(number)
        if rollout is None or self.is_cut(number, self.now):
            return
        state = rollout.wanted_state(self.now, self.size)
        if state is RolloutState.RUNNING:
            return
        if self.finished is None:
            self.finished = (state, self.now + STORE_SECONDS - self.order_at)
            self.fixed_at_end = sum(
                count for key, count in self.fixed_loads.items() if "old" in key
            )
        host = self.hosts[number]
        if rollout.status is None:
            host.record_status(rollout, self.finished[0], 9, 0, self.now)

    def arrive(self) -> None:
        """Send one request through a random host."""
        self.at(self.rng.expovariate(self.rate), self.arrive)
        number = self.rng.randrange(self.size)
        host = self.hosts[number]
        weights = [weight for _, weight in ROUTES]
        route = self.rng.choices([route for route, _ in ROUTES], weights)[0]
        head = make_head(request_id=f"r{self.rng.getrandbits(40)}")
        call = make_call(self.now, head=head, route=route)
        groups = host.candidates(call, self.records, (), self.now)
        if self.now < self.order_at:
            groups = [self.records[:10]]
        group = next((each for each in groups if each), None)
        if group is None:
            return
        record = min(group, key=lambda each: (self._load(each), self.rng.random()))
        run = host.begin(call, record, self.now, is_held=False)
        is_new = record.engine.version == "v2"
        if self.now >= self.order_at:
            self.requests += 1
            if is_new:
                self.sent_to_new.append(self.now)
                self.sent_by_host[number] = self.sent_by_host.get(number, 0) + 1
        engine_id = record.engine.engine_id
        self.loads[engine_id] = self.loads.get(engine_id, 0) + 1
        self._count_fixed(call, engine_id, 1)
        version = self.new if is_new else self.old
        load = self.loads[engine_id]
        has_failed = self.rng.random() < version.fail_ratio(
            self.now - self.order_at, load, route.name
        )
        seconds = self.rng.lognormvariate(-1.9, 0.4) * version.slowness
        is_bad = is_new and (has_failed or version.slowness > 2)
        self.at(seconds, self.end, number, run, call, engine_id, has_failed, is_bad)

    def end(self, number, run, call, engine_id, has_failed, is_bad) -> None:
        """End one request."""
        self.loads[engine_id] -= 1
        self._count_fixed(call, engine_id, -1)
        if is_bad:
            self.bad_answers.append(self.now)
        run.record_result(Result.FAILED if has_failed else Result.SUCCESS, self.now)
        run.record_end(self.now)

    def _load(self, record: EngineRecord) -> int:
        return self.loads.get(record.engine.engine_id, 0)

    def _count_fixed(self, call, engine_id: str, change: int) -> None:
        if not call.may_repeat:
            count = self.fixed_loads.get(engine_id, 0) + change
            self.fixed_loads[engine_id] = count


def fails(ratio: float, *, after: float = 0.0, load: int = 0, route: str = ""):
    """Return a version that fails, perhaps late, loaded or on one route."""

    def fail_ratio(age: float, current_load: int, name: str) -> float:
        is_bad = age >= after and current_load >= load and name.startswith(route)
        return ratio if is_bad else 0.005

    return Version(fail_ratio)


def stages(model: FleetModel) -> list[Stage]:
    """Return the stage of each host that knows the order."""
    return [model.rollout(n).stage for n in range(model.size) if model.rollout(n)]
