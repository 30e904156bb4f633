"""Admit requests to an owner's engines, queue them or refuse them."""

from collections import Counter

from attrs import define, field

from .directory import EngineDirectory, EngineLocation
from .engines import OwnedEngine
from .grants import GrantRegistry
from .messages import (
    Decision,
    Grant,
    Queued,
    Redirect,
    Refusal,
    SlotRequest,
)
from .placement import DisplacedChats, Placement
from .pools import ModelPool
from .queue import URGENCY_BY_CLASS, QueuedRequest
from .reasons import RefusalReason
from .settings import PolicySettings
from .takeover import OwnedEngines

RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_LIMIT_SECONDS = 60.0
QUEUE_CHECK_SECONDS = 0.25


def refuse(
    request: SlotRequest,
    reason: RefusalReason,
    retry_after: float = RETRY_AFTER_SECONDS,
) -> Refusal:
    """Return a refusal that suggests when to retry, in seconds."""
    retry_after = min(retry_after, RETRY_AFTER_LIMIT_SECONDS)
    return Refusal(request.request_id, reason, retry_after)


@define
class Admission:
    """Decide whether to grant, redirect, queue or refuse a request."""

    daemon_id: str
    directory: EngineDirectory
    engines: OwnedEngines
    grants: GrantRegistry
    settings: PolicySettings
    placement: Placement
    _displaced: DisplacedChats
    _shed: list[Refusal] = field(factory=list)

    @classmethod
    def create(
        cls,
        daemon_id: str,
        directory: EngineDirectory,
        engines: OwnedEngines,
        grants: GrantRegistry,
    ) -> "Admission":
        """Create an admission with the default settings."""
        settings = PolicySettings()
        placement = Placement(directory, settings)
        displaced = DisplacedChats(settings.displaced_chats)
        return cls(
            daemon_id, directory, engines, grants, settings, placement, displaced
        )

    def configure(self, settings: PolicySettings) -> None:
        """Apply new policy settings."""
        self.settings = settings
        self.placement.settings = settings
        self._displaced.capacity = settings.displaced_chats

    @property
    def has_shed_refusals(self) -> bool:
        """Return whether refusals of shed requests are waiting to be sent."""
        return bool(self._shed)

    def pop_shed_refusals(self) -> list[Refusal]:
        """Return and clear the refusals of requests shed from a full queue."""
        shed, self._shed = self._shed, []
        return shed

    def advance(self, pool: ModelPool, now: float) -> list[Grant | Redirect | Refusal]:
        """Grant queued requests while slots are free, then review the others.

        The review runs at most once per ``QUEUE_CHECK_SECONDS``.
        """
        decisions: list[Grant | Redirect | Refusal] = list(
            self._grant_queued(pool, now)
        )
        if len(pool.queue) and now >= pool.reviewed_at + QUEUE_CHECK_SECONDS:
            pool.reviewed_at = now
            decisions.extend(self._review_queue(pool, now))
        return decisions

    def decide(self, pool: ModelPool, request: SlotRequest, now: float) -> Decision:
        """Grant, redirect, queue or refuse a new request."""
        is_first = request.attempt == 1
        if is_first and (location := self._remembered_location(request)) is not None:
            return Redirect(request.request_id, location.owner_id, location.engine_id)
        if is_first and self.placement.is_new(request, pool):
            decision = self._redirect_new_chat(pool, request, now)
            if decision is not None:
                return decision
        engine = self._choose_engine(pool, request, now)
        if engine is not None and not pool.queue.has_subqueue(request):
            return self._grant(pool, request, engine, now)
        if engine is None and request.attempt < self.settings.attempts_per_request:
            redirect = self._redirect(pool, request, self.settings.load_multiple, now)
            if redirect is not None:
                return redirect
        return self._enqueue(pool, request, now)

    def _redirect_new_chat(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> Redirect | None:
        """Redirect a new chat to a less loaded owner.

        Return None if one of this owner's engines is eligible under the cap
        for new chats (``new_chat_multiple``), or if no other owner has room.
        """
        multiple = self.settings.new_chat_multiple
        if pool.eligible_engines(request, multiple, now).engines:
            return None
        return self._redirect(pool, request, multiple, now)

    def _remembered_location(self, request: SlotRequest) -> EngineLocation | None:
        """Return where a chat was redirected before, or None.

        A hint in the request takes precedence, and engines of this owner are
        not returned.
        """
        engine_id = self._displaced.engine_for(request.workspace, request.chat)
        profile = self.directory.engines_by_id.get(engine_id)
        if request.hint_engine or profile is None:
            return None
        if not profile.takes_work or engine_id in request.excluded:
            return None
        location = self.directory.location_of(engine_id)
        if location is None or location.owner_id == self.daemon_id:
            return None
        return location

    def _choose_engine(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> OwnedEngine | None:
        eligible = pool.eligible_engines(request, self.settings.load_multiple, now)
        engine = self.placement.choose(request, eligible, now)
        if engine is None or not self._exceeds_share(pool, request, now):
            return engine
        return None

    def _exceeds_share(self, pool: ModelPool, request: SlotRequest, now: float) -> bool:
        free = pool.free_slots(now)
        factor = self.settings.share_factor
        return not pool.shares.may_acquire(request.workspace, free, factor)

    def _redirect(
        self, pool: ModelPool, request: SlotRequest, multiple: float, now: float
    ) -> Redirect | None:
        location = self.placement.find_other_owner(
            request, pool, self.daemon_id, multiple, now
        )
        if location is None:
            location = self._former_owner_location(pool)
        if location is None:
            return None
        self._displaced.remember(request.workspace, request.chat, location.engine_id)
        return Redirect(request.request_id, location.owner_id, location.engine_id)

    def _former_owner_location(self, pool: ModelPool) -> EngineLocation | None:
        for engine in pool.engines_by_id.values():
            location = self.engines.former_owner(engine)
            if location is not None:
                return location
        return None

    def _grant(
        self, pool: ModelPool, request: SlotRequest, engine: OwnedEngine, now: float
    ) -> Grant:
        cached = self.placement.cached_tokens(request, engine)
        grant, use = self.grants.issue(
            request,
            engine.engine_id,
            URGENCY_BY_CLASS[request.request_class],
            cached,
            engine.add_prefill(request.prompt_tokens - cached, now),
            now,
        )
        engine.slots.acquire(use, now)
        pool.count_grant()
        pool.shares.acquire(request.workspace)
        return grant

    def _enqueue(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> Queued | Refusal:
        if not pool.can_serve(request, now):
            return refuse(request, RefusalReason.ENGINES_UNAVAILABLE)
        ahead = pool.queue.ahead_of(request)
        wait = self._estimate_wait(
            pool, request, ahead, pool.queue.subqueue_length(request), now
        )
        if now + wait > request.deadline:
            return refuse(request, RefusalReason.DEADLINE_OUT_OF_REACH, wait)
        if not self._ensure_queue_space(pool, request, now):
            return refuse(request, RefusalReason.QUEUE_FULL, wait)
        pool.queue.push(request, now)
        return Queued(request.request_id, ahead + 1)

    def _estimate_wait(
        self,
        pool: ModelPool,
        request: SlotRequest,
        ahead: int,
        ahead_in_subqueue: int,
        now: float,
    ) -> float:
        """Estimate the seconds until a request gets a slot.

        A workspace above its share has to wait for its own slots to be
        released.
        """
        wait = pool.wait_seconds(ahead, now)
        if self._exceeds_share(pool, request, now):
            wait = max(
                wait, pool.workspace_wait_seconds(request.workspace, ahead_in_subqueue)
            )
        return wait

    def _ensure_queue_space(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> bool:
        """Return whether the queue has space, after shedding if necessary.

        From a full queue, a request with lower priority is removed.
        """
        capacity = max(1, int(self.settings.queue_per_slot * pool.own_load(now).slots))
        if len(pool.queue) < capacity:
            return True
        last = pool.queue.least_urgent()
        if last is None or not self._has_priority_over(pool, request, last):
            return False
        pool.queue.remove(last.request.request_id)
        wait = pool.wait_seconds(len(pool.queue), now)
        self._shed.append(refuse(last.request, RefusalReason.SHED, wait))
        return True

    def _has_priority_over(
        self, pool: ModelPool, request: SlotRequest, last: QueuedRequest
    ) -> bool:
        urgency = URGENCY_BY_CLASS[request.request_class]
        if urgency != last.urgency:
            return urgency < last.urgency
        length = pool.queue.subqueue_length(request)
        return length + 1 < pool.queue.subqueue_length(last.request)

    def _grant_queued(self, pool: ModelPool, now: float) -> list[Grant]:
        grants: list[Grant] = []
        granted = True
        while granted and len(pool.queue):
            granted = False
            for queued in pool.queue.heads_in_order(
                pool.shares.in_use_by_workspace, now
            ):
                engine = self._choose_engine(pool, queued.request, now)
                if engine is not None:
                    pool.queue.remove(queued.request.request_id)
                    grants.append(self._grant(pool, queued.request, engine, now))
                    granted = True
                    break
        return grants

    def _review_queue(self, pool: ModelPool, now: float) -> list[Redirect | Refusal]:
        """Redirect or refuse queued requests that should not wait here."""
        decisions: list[Redirect | Refusal] = []
        ahead_by_urgency: Counter[int] = Counter()
        ahead_by_subqueue: Counter[tuple[int, str]] = Counter()
        for queued in pool.queue:
            urgency, request = queued.urgency, queued.request
            ahead = sum(n for other, n in ahead_by_urgency.items() if other <= urgency)
            subqueue = (urgency, request.workspace)
            wait = self._estimate_wait(
                pool, request, ahead, ahead_by_subqueue[subqueue], now
            )
            decision = self._redirect_queued(pool, request, now)
            if decision is None:
                decision = self._refuse_unservable(pool, request, wait, now)
            if decision is not None:
                pool.queue.remove(request.request_id)
                decisions.append(decision)
                continue
            ahead_by_urgency[urgency] += 1
            ahead_by_subqueue[subqueue] += 1
        return decisions

    def _redirect_queued(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> Redirect | None:
        """Redirect a queued request to an owner that has a free slot now."""
        if request.attempt >= self.settings.attempts_per_request:
            return None
        return self._redirect(pool, request, self.settings.load_multiple, now)

    def _refuse_unservable(
        self, pool: ModelPool, request: SlotRequest, wait: float, now: float
    ) -> Refusal | None:
        """Return a refusal if a queued request can't be served in time."""
        if not pool.engines_by_id:
            return refuse(request, RefusalReason.NOT_OWNER)
        if not pool.can_serve(request, now):
            return refuse(request, RefusalReason.ENGINES_UNAVAILABLE)
        if request.deadline <= now:
            return refuse(request, RefusalReason.DEADLINE_PASSED, wait)
        if now + wait > request.deadline:
            return refuse(request, RefusalReason.DEADLINE_OUT_OF_REACH, wait)
        return None
