"""Simulate callers, hosts and the upstreams of a small service under load."""

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, field, frozen

from teaselpond.gateway.budgets import RetryBudget
from teaselpond.gateway.calls import Call
from teaselpond.gateway.configuration import Route, Workspace
from teaselpond.gateway.engines import Engine
from teaselpond.gateway.overload.control import Hold, OverloadControl, Rejection

from .gateways import (
    make_call,
    make_engine,
    make_head,
    make_route,
)

MAX_OFFERS = 4
# A rejection takes this long to reach the host.
REJECTION_SECONDS = 0.002
BUDGET_RATIO = 0.2
BUDGET_SLACK = 162.0
BUDGET_SECONDS = 10.0
# As the gateway asked callers before it estimated when capacity is back.
FORMER_RETRY_SECONDS = 0.5


@define
class SimulatedUpstream:
    """Serve ``slots`` calls at a time, and queue some more."""

    slots: int
    queue_length: int
    answer_seconds: float
    running: int = 0
    queue: list = field(factory=list)


@define
class SimulatedHost:
    """Hold the overload control and the retry budget of one host."""

    control: OverloadControl | None
    budget: RetryBudget


@define
class SimulatedCall:
    """Track one attempt of a caller.

    ``first_at`` is when the caller sent its first one.
    """

    call: Call
    host: SimulatedHost
    first_at: float
    offers: int = 0
    tried: set[int] = field(factory=set)
    known_full_at: float | None = None


@frozen
class Outcome:
    """Tell how an attempt of a caller ended."""

    workspace: str
    result: str
    seconds: float
    was_room: bool = False


@define
class Simulation:
    """Run one service under load; times are in seconds.

    ``rates_by_workspace`` are calls a second over all hosts. Callers count
    whose first attempt is sent from ``measured_from`` on. With
    ``is_former`` hosts act as before the overload control. Callers that are
    rejected come back after Retry-After, or at once, up to ``max_repeats``
    times.
    """

    rates_by_workspace: Callable[[float], dict[str, float]]
    seconds: float = 20.0
    measured_from: float = 0.0
    host_count: int = 61
    is_former: bool = False
    repeats_at_once: frozenset[str] = frozenset()
    max_repeats: int = 2
    budget_ratio: float = BUDGET_RATIO
    budget_slack: float = BUDGET_SLACK
    priority_by_workspace: dict[str, int] = field(factory=dict)
    seed: int = 1
    upstream_count: int = 3
    slots: int = 6
    queue_length: int = 24
    answer_seconds: float = 0.045
    objective_seconds: float = 0.3
    deadline_seconds: float = 2.0
    now: float = 0.0
    offers: int = 0
    outcomes: list[Outcome] = field(factory=list)
    rng: random.Random = field(init=False)
    upstreams: list[SimulatedUpstream] = field(init=False)
    engines: list[Engine] = field(init=False)
    hosts: list[SimulatedHost] = field(init=False)
    route: Route = field(init=False)
    _events: list = field(factory=list)
    _numbers: itertools.count = field(factory=lambda: itertools.count())

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.upstreams = [
            SimulatedUpstream(self.slots, self.queue_length, self.answer_seconds)
            for _ in range(self.upstream_count)
        ]
        self.engines = [
            make_engine(f"u{number}", service="plain", slots=self.slots)
            for number in range(self.upstream_count)
        ]
        self.hosts = [
            SimulatedHost(
                None if self.is_former else OverloadControl(0.0, self.rng),
                RetryBudget(self.budget_ratio, self.budget_slack, BUDGET_SECONDS),
            )
            for _ in range(self.host_count)
        ]
        self.route = make_route(
            objective_seconds=self.objective_seconds,
            services=(),
            is_resumable=False,
        )

    def run(self) -> "Simulation":
        """Run until all calls have ended."""
        for workspace in self.rates_by_workspace(0.0):
            self._schedule_arrival(workspace)
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self

    def share(self, result: str, workspace: str | None = None) -> float:
        """Return the share of attempts with a result."""
        results = [
            outcome.result
            for outcome in self.outcomes
            if workspace in (None, outcome.workspace)
        ]
        return results.count(result) / max(1, len(results))

    def count(self, result: str, workspace: str | None = None) -> int:
        """Return the number of attempts with a result."""
        return sum(
            outcome.result == result and workspace in (None, outcome.workspace)
            for outcome in self.outcomes
        )

    def share_of_calls(self, result: str, workspace: str | None = None) -> float:
        """Return the share of callers' calls that ended with a result.

        An attempt that is sent back is no end of a call.
        """
        ends = ("in time", "late", "rejected")
        total = sum(self.count(end, workspace) for end in ends)
        return self.count(result, workspace) / max(1, total)

    def refusals(self) -> list[Outcome]:
        """Return the attempts that hosts rejected."""
        return [
            each for each in self.outcomes if each.result in ("sent back", "rejected")
        ]

    def offers_per_call(self) -> float:
        """Return how often upstreams were offered a call, repeats included."""
        calls = len(self.outcomes) - self.count("sent back")
        return self.offers / max(1, calls)

    def _at(self, seconds: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), act))

    def _schedule_arrival(self, workspace: str) -> None:
        rate = self.rates_by_workspace(self.now)[workspace]
        gap = self.rng.expovariate(rate)
        if self.now + gap < self.seconds:
            self._at(gap, lambda: self._arrive(workspace))

    def _arrive(self, workspace: str) -> None:
        self._schedule_arrival(workspace)
        self._send(workspace, self.now, 0)

    def _send(self, workspace: str, first_at: float, repeats: int) -> None:
        host = self.rng.choice(self.hosts)
        call = make_call(
            self.now,
            head=make_head(),
            route=self.route,
            service="plain",
            workspace=Workspace(workspace, self.priority_by_workspace.get(workspace)),
            expires_at=first_at + self.deadline_seconds,
        )
        host.budget.record_request(self.now)
        if host.control is not None:
            host.control.record_call(call, self.now)
        self._step(SimulatedCall(call, host, first_at, repeats * 100))

    def _step(self, each: SimulatedCall) -> None:
        offers = each.offers % 100
        control = each.host.control
        if offers >= MAX_OFFERS:
            return self._reject(each)
        if offers and each.host.budget.remaining(self.now, self.host_count) < 1:
            return self._reject(each)
        if control is not None:
            step = control.admit(each.call, self.now, has_offers=offers > 0)
            if step is not None:
                return self._follow(each, step)
        untried = set(range(self.upstream_count)) - each.tried
        if not untried:
            if control is None:
                return self._reject(each)
            each.tried.clear()
            return self._follow(each, control.hold_again(each.call, self.now))
        if offers:
            each.host.budget.record_retry(self.now)
        self._offer(each, self.rng.choice(sorted(untried)))
        return None

    def _follow(self, each: SimulatedCall, step: Hold | Rejection) -> None:
        if isinstance(step, Rejection):
            return self._reject(each, step.retry_seconds)
        self._at(step.seconds, lambda: self._step(each))
        return None

    def _offer(self, each: SimulatedCall, number: int) -> None:
        self.offers += 1
        each.offers += 1
        each.tried.add(number)
        upstream = self.upstreams[number]
        sent_at = self.now
        if upstream.running < upstream.slots:
            self._start(upstream, each, sent_at)
        elif len(upstream.queue) < upstream.queue_length:
            upstream.queue.append((each, sent_at))
        else:
            self._at(REJECTION_SECONDS, lambda: self._record_rejection(each))

    def _record_rejection(self, each: SimulatedCall) -> None:
        if each.known_full_at is None:
            each.known_full_at = self.now
        if each.host.control is not None:
            each.host.control.record_rejection(
                each.call, self.engines, self.host_count, self.now
            )
        self._step(each)

    def _start(
        self, upstream: SimulatedUpstream, each: SimulatedCall, sent_at: float
    ) -> None:
        upstream.running += 1
        seconds = self.rng.uniform(0.5, 1.5) * upstream.answer_seconds
        self._at(seconds, lambda: self._answer(upstream, each, sent_at))

    def _answer(
        self, upstream: SimulatedUpstream, each: SimulatedCall, sent_at: float
    ) -> None:
        upstream.running -= 1
        if upstream.queue:
            self._start(upstream, *upstream.queue.pop(0))
        control = each.host.control
        if control is not None:
            control.forget(each.call)
            control.record_answer(each.call, self.now - sent_at, self.now)
        # The objective counts from the caller's first attempt.
        is_late = self.now - each.first_at > self.objective_seconds
        result = "late" if is_late else "in time"
        self._record(each, result, self.now - each.first_at)

    def _reject(self, each: SimulatedCall, retry_seconds: float | None = None) -> None:
        control = each.host.control
        if control is not None:
            retry_seconds = retry_seconds or control.send_back(each.call, self.now)
            control.forget(each.call)
        if retry_seconds is None:
            wait = FORMER_RETRY_SECONDS * self.rng.uniform(0.5, 1.5)
        else:
            wait = retry_seconds * self.rng.uniform(1.0, 1.5)
        was_room = any(upstream.running < upstream.slots for upstream in self.upstreams)
        workspace = each.call.workspace.name
        repeats = each.offers // 100
        if workspace in self.repeats_at_once:
            wait = 0.005
        remaining = each.call.expires_at - self.now
        held = self.now - each.call.arrived_at
        if repeats < self.max_repeats and wait <= remaining / 3:
            self._at(wait, lambda: self._send(workspace, each.first_at, repeats + 1))
            self._record(each, "sent back", held, was_room)
            return
        self._record(each, "rejected", held, was_room)

    def _record(
        self, each: SimulatedCall, result: str, seconds: float, was_room: bool = False
    ) -> None:
        if each.first_at >= self.measured_from:
            workspace = each.call.workspace.name
            self.outcomes.append(Outcome(workspace, result, seconds, was_room))
