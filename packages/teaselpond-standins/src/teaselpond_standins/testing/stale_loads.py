"""Play hosts that choose alone among upstreams whose load they know late.

A small model of one service on simulated time, without a network: requests,
slots and queues. What a host chooses is given by a policy.
"""

import functools
import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from teaselpond.gateway.balancing.rejections import Rejections
from teaselpond.gateway.balancing.slowness import SlownessReadings

PLAYED_SECONDS = 20.0
# What happens, happens between these times.
TROUBLE_SECONDS = (8.0, 14.0)
# Samples of the load, and the window over which arrivals are averaged.
SAMPLE_SECONDS = 0.05
SLOW_FACTOR = 3.0
# A machine that upstreams share is slow this much, long and often.
SHARED_SLOWNESS = 2.5
SHARED_SLOW_SECONDS = 0.6
SHARED_SLOW_RATIO = 0.15
RETURN_SECONDS = 0.3


@frozen
class Profile:
    """Describe a service and its requests.

    ``late_seconds`` is the time after which an answer is late.
    """

    upstreams: int
    slots: int
    queue: int
    work_seconds: float
    rate: float
    late_seconds: float
    is_shared: bool = False


@define(eq=False)
class Upstream:
    """Serve requests in slots, and keep some waiting."""

    number: int
    profile: Profile
    is_gone: bool = False
    slowness: float = 1.0
    running: int = 0
    waiting: deque = field(factory=deque)
    # The load and the slowness at each change, for hosts that learn it late.
    history: deque[tuple[float, int, float]] = field(
        factory=lambda: deque([(-math.inf, 0, 1.0)])
    )
    # When a host got an answer, the host, and how long the answer took.
    answers: deque[tuple[float, str, float]] = field(factory=deque)

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + len(self.waiting)

    def note(self, now: float) -> None:
        """Keep the load for later."""
        self.history.append((now, self.load, self.slowness))

    def known(self, at: float) -> tuple[int, float]:
        """Return load and slowness at an earlier time; times only grow."""
        while len(self.history) > 1 and self.history[1][0] <= at:
            self.history.popleft()
        return self.history[0][1:]


@define(eq=False)
class Host:
    """Choose for the callers of one host."""

    own: list[int]
    rng: random.Random
    name: str = ""
    rejections: Rejections = field(factory=Rejections)
    slowness: SlownessReadings = field(factory=SlownessReadings)
    credits: list[float] = field(factory=list)
    started_at: float = -math.inf


@frozen
class View:
    """Hold what a host sees of one upstream that may be chosen."""

    upstream: Upstream
    load: float
    slowness: float = 1.0


Policy = Callable[[Host, Sequence[View], float, float], int]


@define
class Outcome:
    """Count what callers got, and keep samples of the spread.

    ``spreads`` are those of the loads at a moment, ``window_spreads`` of the
    requests that arrived within the age of the figures.
    """

    requests: int = 0
    late: int = 0
    refused: int = 0
    rejected: int = 0
    spreads: list[float] = field(factory=list)
    window_spreads: list[float] = field(factory=list)
    idle_seconds: float = 0.0

    def text(self) -> str:
        """Return the figures as cells of a table."""
        late, refused, rejected = (
            f"{100 * count / max(1, self.requests):.1f}"
            for count in (self.late, self.refused, self.rejected)
        )
        spread, window = (
            f"{quantile(each, 0.99):.2f}"
            for each in (self.spreads, self.window_spreads)
        )
        idle = f"{self.idle_seconds:.2f}"
        return " | ".join((late, refused, rejected, spread, window, idle))


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value that a share of the values does not exceed."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


@define(eq=False)
class Model:
    """Play one service with one policy on simulated time."""

    profile: Profile
    policy: Policy
    host_count: int
    age: float
    situation: str = "normal"
    seed: int = 1
    now: float = 0.0
    outcome: Outcome = field(factory=Outcome)
    rng: random.Random = field(init=False)
    upstreams: list[Upstream] = field(init=False)
    hosts: list[Host] = field(init=False)
    _events: list = field(factory=list)
    _count: int = 0
    _arrivals: deque[tuple[float, int]] = field(factory=deque)
    _idle_since: float | None = None

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        size = self.profile.upstreams
        self.upstreams = [Upstream(number, self.profile) for number in range(size)]
        self.hosts = [
            Host([0] * size, random.Random(self.rng.random()), f"host-{number}")
            for number in range(self.host_count)
        ]

    def play(self) -> Outcome:
        """Return what callers got."""
        self._at(0.0, self._arrive)
        self._at(2.0, self._sample)
        start, end = TROUBLE_SECONDS
        victim = self.upstreams[0]
        if self.situation == "zone-gone":
            self._at(start, functools.partial(self._set, victim, is_gone=True))
            self._at(end, functools.partial(self._set, victim, is_gone=False))
        elif self.situation == "slow-engine":
            self._at(start, functools.partial(self._set, victim, slowness=SLOW_FACTOR))
            self._at(end, functools.partial(self._set, victim, slowness=1.0))
        elif self.situation == "restart":
            self._at(start, self._restart)
        if self.profile.is_shared:
            for upstream in self.upstreams:
                self._slow_down(upstream)
        while self._events and self._events[0][0] < PLAYED_SECONDS:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, action))

    def _set(self, upstream: Upstream, **values: object) -> None:
        for name, value in values.items():
            setattr(upstream, name, value)
        upstream.note(self.now)

    def _slow_down(self, upstream: Upstream) -> None:
        is_slow = upstream.slowness > 1.0
        self._set(upstream, slowness=1.0 if is_slow else SHARED_SLOWNESS)
        usual = SHARED_SLOW_SECONDS * (1 / SHARED_SLOW_RATIO - 1)
        mean = usual if is_slow else SHARED_SLOW_SECONDS
        length = self.rng.expovariate(1 / mean)
        self._at(self.now + length, functools.partial(self._slow_down, upstream))

    def _restart(self) -> None:
        """Replace all hosts by new ones, which serve what waited for them."""
        size = self.profile.upstreams
        for host in self.hosts:
            host.__init__([0] * size, host.rng, host.name, started_at=self.now)
        for _ in range(int(self.profile.rate * RETURN_SECONDS)):
            self._send(self.rng.choice(self.hosts), self.now, ())

    def _arrive(self) -> None:
        self._send(self.rng.choice(self.hosts), self.now, ())
        self._at(self.now + self.rng.expovariate(self.profile.rate), self._arrive)

    def _send(self, host: Host, arrived_at: float, tried: Sequence[int]) -> None:
        """Send a request to an upstream, or once more to another one."""
        self.outcome.requests += not tried
        views = [
            self._view(host, upstream)
            for upstream in self.upstreams
            if not upstream.is_gone and upstream.number not in tried
        ]
        if not views or len(tried) > 1:
            self.outcome.refused += 1
            return
        upstream = views[self.policy(host, views, self.now, self.age)].upstream
        if len(upstream.waiting) >= self.profile.queue:
            self.outcome.rejected += 1
            host.rejections.record_rejection(str(upstream.number), self.now)
            self._send(host, arrived_at, (*tried, upstream.number))
            return
        self._arrivals.append((self.now, upstream.number))
        host.own[upstream.number] += 1
        upstream.waiting.append((host, host.own, arrived_at, self.now))
        self._run(upstream)

    def _view(self, host: Host, upstream: Upstream) -> View:
        at = self.now - self.age
        if at < host.started_at:
            return View(upstream, 0)
        return View(upstream, *upstream.known(at))

    def _run(self, upstream: Upstream) -> None:
        while upstream.waiting and upstream.running < self.profile.slots:
            request = upstream.waiting.popleft()
            upstream.running += 1
            seconds = self.profile.work_seconds * upstream.slowness
            end = self.now + seconds * self.rng.uniform(0.8, 1.2)
            self._at(end, functools.partial(self._finish, upstream, request))
        upstream.note(self.now)

    def _finish(self, upstream: Upstream, request: tuple) -> None:
        host, own, arrived_at, sent_at = request
        own[upstream.number] -= 1
        upstream.running -= 1
        host.rejections.record_success(str(upstream.number))
        host.slowness.record(str(upstream.number), upstream.slowness, self.now)
        upstream.answers.append((self.now, host.name, self.now - sent_at))
        self.outcome.late += self.now - arrived_at > self.profile.late_seconds
        self._run(upstream)

    def _sample(self) -> None:
        """Sample the spread, and time in which one idles beside a full one."""
        self._at(self.now + SAMPLE_SECONDS, self._sample)
        used = [each for each in self.upstreams if not each.is_gone]
        loads = [each.load for each in used]
        self.outcome.spreads.append(max(loads) * len(loads) / max(1, sum(loads)))
        while self._arrivals and self._arrivals[0][0] < self.now - max(0.6, self.age):
            self._arrivals.popleft()
        counts = [0] * len(self.upstreams)
        for _, number in self._arrivals:
            counts[number] += 1
        counts = [counts[each.number] for each in used]
        window = max(counts) * len(counts) / max(1, sum(counts))
        self.outcome.window_spreads.append(window)
        is_uneven = min(loads) == 0 and max(loads) > self.profile.slots
        if not is_uneven:
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = self.now
        idle = self.now - self._idle_since
        self.outcome.idle_seconds = max(self.outcome.idle_seconds, idle)
