"""Decide whether a call that has not run is offered, waits or is rejected.

Handles overload at a service whose upstreams reject requests, from one busy
host to hundreds with a few calls a second each. Nothing is sent here.
"""

import copy
import random
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from ..calls import Call
from ..engines import Engine, EngineState
from .capacity import ServiceCapacity
from .waiting import WaitingCalls, objective_at, workspace_of
from .workspaces import WorkspaceUsages

# Limits of all waiting calls of a host. A smallest host has 152 MB.
MAX_WAITING_CALLS = 64
MAX_WAITING_BYTES = 4 * 1024 * 1024
# Calls that go before others may exceed the limit until those look again.
MAX_EXCESS_RATIO = 2
# Bounds of the time between two checks of a waiting call.
MIN_CHECK_SECONDS = 0.005
MAX_CHECK_SECONDS = 0.05
# A call that cannot meet its objective any more waits for this part of it at
# most: a rejection is of use to its caller only if it comes early.
LATE_WAIT_RATIO = 0.125
# No interval between two offers exceeds this part of a route's objective.
MAX_INTERVAL_RATIO = 0.5
# Offers for each call that upstreams run, above which the calls that go last
# are offered less.
OFFERS_PER_ANSWER = 1.1
# They are not while a host rejects less than this part of all calls, as a few
# rejections by upstreams are no lack of capacity.
MIN_LACKING_RATIO = 0.1
# No workspace gets less than this share of its calls, so that nothing starves.
MIN_SHARE = 0.1


@frozen
class Hold:
    """Tell a call to ask again after some seconds."""

    seconds: float


@frozen
class Rejection:
    """Tell that a call is rejected; ``retry_seconds`` is when to come back."""

    reason: str
    retry_seconds: float


@define(eq=False)
class OverloadControl:
    """Hold and order the calls of one host that upstreams have no room for."""

    started_at: float = 0.0
    rng: random.Random = field(factory=random.Random)
    capacity_by_service: dict[str, ServiceCapacity] = field(factory=dict)
    _waiting_by_service: dict[str, WaitingCalls] = field(factory=dict)
    _usages_by_service: dict[str, WorkspaceUsages] = field(factory=dict)

    def copy(self, service: str, rng: random.Random) -> "OverloadControl":
        """Return an independent copy for decisions on one service's calls.

        It draws from ``rng``.
        """
        copied = OverloadControl(self.started_at, rng)
        capacity = self.capacity_by_service.get(service)
        if capacity is not None:
            copied.capacity_by_service[service] = evolve(capacity, rng=rng)
        # The waiting calls of all services count for the limits.
        copied._waiting_by_service = dict(self._waiting_by_service)
        waiting = self._waiting_by_service.get(service)
        if waiting is not None:
            copied._waiting_by_service[service] = waiting.copy()
        usages = self._usages_by_service.get(service)
        if usages is not None:
            copied._usages_by_service[service] = copy.deepcopy(usages)
        return copied

    def record_call(self, call: Call, now: float) -> None:
        """Count a call that arrived."""
        self._usages(call.service).record_call(workspace_of(call), call.priority, now)

    def record_answer(self, call: Call, seconds: float, now: float) -> None:
        """Record that an upstream ran a call, after some seconds."""
        self._capacity(call.service).record_answer(seconds, now)

    def record_rejection(
        self, call: Call, engines: Iterable[Engine], host_count: int, now: float
    ) -> None:
        """Record that an upstream rejected a call for lack of capacity.

        ``engines`` are all upstreams; those of the service count.
        """
        capacity = self._capacity(call.service)
        slots = sum(
            engine.slots
            for engine in engines
            if engine.service == call.service and engine.state is EngineState.READY
        )
        max_interval = MAX_INTERVAL_RATIO * call.route.objective_seconds
        capacity.record_rejection(slots, host_count, max_interval, now)

    def admit(
        self, call: Call, now: float, *, has_offers: bool
    ) -> Hold | Rejection | None:
        """Return None if a call may be offered now, else what it does.

        It waits for its turn if it can be answered in time. ``has_offers`` is
        true if it was offered before.
        """
        capacity = self.capacity_by_service.get(call.service)
        waiting = self._waiting_by_service.get(call.service)
        if capacity is None or not (waiting or capacity.is_limited(now)):
            return None
        if not capacity.is_limited(now):
            # Nothing is known to be full, so all waiting calls may go.
            self.forget(call)
            return None
        waiting = self._waiting_by_service.setdefault(call.service, WaitingCalls())
        usages = self._usages(call.service)
        if call not in waiting and not has_offers:
            share = self._share(call, capacity, usages, now)
            if share < 1.0 and self.rng.random() >= share:
                return Rejection("share", self.send_back(call, now))
        waiting.add(call, now)
        position = waiting.position(
            call, usages, capacity.expected_answer_seconds(), now
        )
        seconds = capacity.seconds_to_turn(position, now)
        if seconds <= 0.0:
            self.forget(call)
            capacity.record_offer(now)
            usages.record_offer(workspace_of(call), now)
            return None
        return self._hold(call, capacity, waiting, position, seconds, now)

    def admitted_share(self, call: Call, now: float) -> float:
        """Return which share of calls like this one may be offered or wait."""
        capacity = self.capacity_by_service.get(call.service)
        if capacity is None or not capacity.is_limited(now):
            return 1.0
        return self._share(call, capacity, self._usages(call.service), now)

    def _share(
        self,
        call: Call,
        capacity: ServiceCapacity,
        usages: WorkspaceUsages,
        now: float,
    ) -> float:
        """Return which share of calls like this one may wait for a turn.

        Few calls wait at a time, so their order alone would let most calls
        of a hot workspace through, or of a lower priority. They get what the
        calls that go first leave, once hosts reject some for lack of turns.
        """
        is_hot = usages.is_hot(workspace_of(call), now)
        first, own = usages.rates(call.priority, is_hot, now)
        lacking = capacity.sent_back_rate(now)
        if not first or lacking < MIN_LACKING_RATIO * (first + own):
            return 1.0
        left = capacity.accepted_rate(now) * OFFERS_PER_ANSWER - first
        return min(1.0, max(MIN_SHARE, left / max(own, 1e-9)))

    def hold_again(
        self, call: Call, now: float, since: float | None = None
    ) -> Hold | Rejection:
        """Return what a call does that all its upstreams rejected.

        ``since`` is when it began to wait, None if it does only now.
        """
        capacity = self._capacity(call.service)
        capacity.record_all_rejected(now)
        waiting = self._waiting_by_service.setdefault(call.service, WaitingCalls())
        waiting.add(call, since if since is not None else now)
        usages = self._usages(call.service)
        position = waiting.position(
            call, usages, capacity.expected_answer_seconds(), now
        )
        seconds = capacity.seconds_to_turn(position, now)
        if not capacity.is_limited(now):
            # No turns are given out, and each check considers all upstreams.
            seconds = max(seconds, MAX_CHECK_SECONDS)
        return self._hold(call, capacity, waiting, position, seconds, now)

    def send_back(self, call: Call, now: float) -> float | None:
        """Return when a rejected call's caller should come back.

        None means that nothing is known.
        """
        capacity = self.capacity_by_service.get(call.service)
        if capacity is None or not capacity.is_limited(now):
            return None
        waiting = self._waiting_by_service.get(call.service, ())
        seconds = capacity.retry_seconds(len(waiting) + 1, now)
        capacity.record_sent_back(now)
        return seconds

    def describe(self, call: Call, now: float) -> dict[str, float | int | bool | None]:
        """Return what decisions about a call are based on, for the journal."""
        capacity = self._capacity(call.service)
        rejected_at = capacity.rejected_at
        return {
            "interval": round(capacity.interval, 4),
            "answer_seconds": round(capacity.answer_seconds, 4),
            "rejected_seconds": (
                round(now - rejected_at, 3) if rejected_at is not None else None
            ),
            "waiting": self.waiting_count(),
            "priority": call.priority,
            "is_hot": self.is_hot(call, now),
        }

    def is_hot(self, call: Call, now: float) -> bool:
        """Return whether a call's workspace sends several times its load."""
        return self._usages(call.service).is_hot(workspace_of(call), now)

    def waiting_count(self) -> int:
        """Return the number of waiting calls."""
        return sum(map(len, self._waiting_by_service.values()))

    def forget(self, call: Call) -> float | None:
        """Remove a call if it waits; return since when it did."""
        waiting = self._waiting_by_service.get(call.service)
        removed = waiting.remove(call) if waiting is not None else None
        return removed.since if removed is not None else None

    def _hold(
        self,
        call: Call,
        capacity: ServiceCapacity,
        waiting: WaitingCalls,
        position: int,
        seconds: float,
        now: float,
    ) -> Hold | Rejection:
        reason = ""
        answered_at = now + seconds + capacity.expected_answer_seconds()
        held_seconds = now - waiting.since(call)
        late_wait = LATE_WAIT_RATIO * call.route.objective_seconds
        if answered_at > call.expires_at:
            reason = "deadline"
        elif answered_at > objective_at(call) and held_seconds + seconds > late_wait:
            reason = "objective"
        elif self._is_queue_full(waiting, position):
            reason = "queue-full"
        if reason:
            self.forget(call)
            return Rejection(reason, self.send_back(call, now) or seconds)
        return Hold(min(MAX_CHECK_SECONDS, max(MIN_CHECK_SECONDS, seconds)))

    def _is_queue_full(self, waiting: WaitingCalls, position: int) -> bool:
        """Return whether the call at a position has no room to wait.

        The last of all gives way to those that go first, at its next look.
        """
        count = self.waiting_count()
        if (
            position >= MAX_WAITING_CALLS
            or count > MAX_EXCESS_RATIO * MAX_WAITING_CALLS
        ):
            return True
        held_bytes = sum(each.held_bytes for each in self._waiting_by_service.values())
        is_over = count > MAX_WAITING_CALLS or held_bytes > MAX_WAITING_BYTES
        return is_over and position == len(waiting) - 1

    def _capacity(self, service: str) -> ServiceCapacity:
        capacity = self.capacity_by_service.get(service)
        if capacity is None:
            capacity = ServiceCapacity(self.rng)
            self.capacity_by_service[service] = capacity
        return capacity

    def _usages(self, service: str) -> WorkspaceUsages:
        usages = self._usages_by_service.get(service)
        if usages is None:
            usages = WorkspaceUsages(self.started_at)
            self._usages_by_service[service] = usages
        return usages
