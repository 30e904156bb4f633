"""Decide for the engines that one daemon owns."""

from collections.abc import Iterable

from teaselpond_model.contracts import (
    CacheEvent,
    CacheEventPage,
    Host,
    LoadReport,
)

from .directory import EngineDirectory, Home
from .engines import OwnedEngine
from .grants import GrantBook
from .messages import (
    Decision,
    Grant,
    Handover,
    HeldGrants,
    LoadSum,
    Outcome,
    Queued,
    Redirect,
    Refusal,
    Release,
    SlotRequest,
)
from .placement import DisplacedChats, Placement
from .pools import ModelPool
from .profiles import EngineProfile
from .queue import URGENCY_BY_CLASS, Waiting
from .reasons import RefusalReason
from .settings import PolicySettings
from .takeover import OwnedEngines

RETRY_AFTER_SECONDS = 1.0
QUEUE_CHECK_SECONDS = 0.25
HELD_GRACE_SECONDS = 2.0


class Dispatcher:
    """Admit work to the engines that a daemon owns, and queue or refuse it."""

    def __init__(self, daemon_id: str, incarnation: str) -> None:
        self.daemon_id = daemon_id
        self.settings = PolicySettings()
        self.directory = EngineDirectory()
        self.pools_by_model: dict[str, ModelPool] = {}
        self.engines = OwnedEngines(daemon_id, self.directory)
        self.grants = GrantBook(f"{daemon_id}.{incarnation}")
        self._placement = Placement(self.directory, self.settings)
        self._displaced = DisplacedChats(self.settings.displaced_chats)
        self._shed: list[Refusal] = []
        self._sum_version = 0

    # What the daemon learns of the fleet.

    def configure(
        self, settings: PolicySettings, engines: Iterable[EngineProfile], now: float
    ) -> tuple[Handover, ...]:
        """Take the configuration in force; return engines handed over."""
        self.settings = settings
        self.directory.set_engines(engines)
        self._placement = Placement(self.directory, settings)
        self._displaced.capacity = settings.displaced_chats
        return self._follow_ownership(now)

    def set_daemons(self, daemons: Iterable[Host], now: float) -> tuple[Handover, ...]:
        """Take the daemons in sight; return engines handed over."""
        former = dict(self.directory.daemons_by_id)
        self.directory.set_daemons(daemons)
        handovers = self._follow_ownership(now)
        self.engines.contest(former, self.settings, now)
        for host_id in former.keys() - self.directory.daemons_by_id.keys():
            for pool in self.pools_by_model.values():
                pool.sums.forget(host_id)
        return handovers

    def accept(self, handover: Handover, now: float) -> None:
        """Take over an engine from the owner that has let it go."""
        engine = self.engines.by_id.get(handover.engine_id)
        if engine is not None:
            engine.accept(handover, now)

    def observe_load(self, engine_id: str, report: LoadReport, now: float) -> None:
        """Take an engine's load report."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.observe_load(report, now)

    def observe_cache(self, engine_id: str, page: CacheEventPage, now: float) -> bool:
        """Take cache events; return True when a snapshot is due."""
        engine = self.engines.get(engine_id)
        return engine is not None and engine.observe_cache(page, now)

    def observe_snapshot(
        self,
        engine_id: str,
        incarnation: str,
        last_sequence: int,
        prefixes: Iterable[CacheEvent],
        now: float,
    ) -> None:
        """Take a snapshot of an engine's cache, as events that stored it."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.observe_snapshot(incarnation, last_sequence, prefixes, now)

    def observe_sum(self, load_sum: LoadSum, now: float) -> None:
        """Take another owner's sum."""
        if load_sum.owner_id != self.daemon_id:
            self._pool(load_sum.model).sums.observe(load_sum, now)

    def sums(self, now: float) -> tuple[LoadSum, ...]:
        """Return the sums that the other daemons need."""
        self._sum_version += 1
        return tuple(
            load_sum
            for pool in self.pools_by_model.values()
            for load_sum in pool.sums_by_zone(self.daemon_id, self._sum_version, now)
        )

    # What callers and entry daemons ask.

    def locate(
        self, workspace: str, chat: str, model: str, hint_engine: str, now: float
    ) -> Home | None:
        """Return the engine, and its owner, that a chat should go to.

        A chat without a hint gets the first of its candidates below the mean.
        Its caller should then send that engine as its hint.
        """
        home = self.directory.home(workspace, chat, model, hint_engine)
        if home is None or home.engine_id == hint_engine:
            return home
        pool = self._pool(model)
        multiple = self.settings.new_chat_multiple
        place = self._placement.below(pool, workspace, chat, multiple, now)
        return place or home

    def request(self, request: SlotRequest, now: float) -> Decision:
        """Decide on a request; asking again gives the same answer."""
        grant = self.grants.by_request(request.request_id)
        if grant is not None:
            return grant
        pool = self._pool(request.model)
        if request.request_id in pool.queue:
            return Queued(request.request_id, pool.queue.ahead_of(request))
        if request.deadline <= now:
            return self._refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)
        if not self.directory.has_model(request.model):
            return self._refuse(request, RefusalReason.NO_ENGINE)
        pool.shares.see(request.workspace, now)
        return self._decide(pool, request, now)

    def release(self, release: Release, now: float) -> None:
        """Take back a slot; a second release of it changes nothing."""
        use = self.grants.close(release.grant_id)
        if use is None:
            return
        pool = self._pool(use.request.model)
        pool.shares.give_back(use.request.workspace)
        engine = self.engines.get(use.engine_id)
        if engine is None:
            return
        engine.slots.give_back(release.grant_id, now)
        engine.finish(use, release, pool.may_eject(now), now)
        if release.outcome is Outcome.COMPLETED:
            pool.learn_service(now - use.granted_at)
        self.engines.forget_idle()

    def cancel(self, request_id: str, now: float) -> None:
        """Forget a request that nobody awaits, queued or granted."""
        for pool in self.pools_by_model.values():
            pool.queue.remove(request_id)
        grant = self.grants.by_request(request_id)
        if grant is not None:
            self.release(Release(grant.grant_id, Outcome.CANCELLED), now)

    def drop_origin(self, daemon_id: str, now: float) -> None:
        """Free all that an entry daemon held that is gone."""
        for pool in self.pools_by_model.values():
            for waiting in pool.queue:
                if waiting.request.origin_daemon == daemon_id:
                    pool.queue.remove(waiting.request.request_id)
        for grant_id in self.grants.by_origin(daemon_id):
            self.release(Release(grant_id, Outcome.CANCELLED), now)

    def reconcile(self, held: HeldGrants, now: float) -> None:
        """Free grants that an entry daemon does not know of any more."""
        lost = self.grants.not_held(
            held.origin_daemon, held.grant_ids, now - HELD_GRACE_SECONDS
        )
        for grant_id in lost:
            self.release(Release(grant_id, Outcome.CANCELLED), now)

    # What time brings.

    def advance(self, now: float) -> tuple[Grant | Redirect | Refusal, ...]:
        """Grant, pass on or give up what is queued, as soon as it is due."""
        for engine in self.engines.by_id.values():
            engine.advance(now)
        decisions: list[Grant | Redirect | Refusal] = list(self._shed)
        self._shed.clear()
        for pool in self.pools_by_model.values():
            decisions.extend(self._drain(pool, now))
            decisions.extend(self._give_up(pool, now))
        return tuple(decisions)

    def next_deadline(self, now: float) -> float:
        """Return when ``advance`` is due at the latest."""
        if self._shed:
            return now
        due = min(
            (engine.claim.next_change() for engine in self.engines.by_id.values()),
            default=float("inf"),
        )
        if any(len(pool.queue) for pool in self.pools_by_model.values()):
            due = min(due, now + QUEUE_CHECK_SECONDS)
        return due

    # How it decides.

    def _decide(self, pool: ModelPool, request: SlotRequest, now: float) -> Decision:
        is_first = request.attempt == 1
        if is_first and (place := self._known_place(request)) is not None:
            return Redirect(request.request_id, place.owner_id, place.engine_id)
        if is_first and self._placement.is_new(request, pool):
            decision = self._spread(pool, request, now)
            if decision is not None:
                return decision
        engine = self._engine_for(pool, request, now)
        if engine is not None and not pool.queue.has_line(request):
            return self._grant(pool, request, engine, now)
        if engine is None and request.attempt < self.settings.attempts_per_request:
            redirect = self._redirect(pool, request, self.settings.load_multiple, now)
            if redirect is not None:
                return redirect
        return self._enqueue(pool, request, now)

    def _spread(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> Redirect | None:
        """Send a new chat to an owner below the mean, when this one is not."""
        multiple = self.settings.new_chat_multiple
        if pool.roomy(request, multiple, now):
            return None
        return self._redirect(pool, request, multiple, now)

    def _known_place(self, request: SlotRequest):
        engine_id = self._displaced.place(request.workspace, request.chat)
        profile = self.directory.engines_by_id.get(engine_id)
        if request.hint_engine or profile is None:
            return None
        if not profile.takes_work or engine_id in request.excluded:
            return None
        home = self.directory.home_at(engine_id)
        if home is None or home.owner_id == self.daemon_id:
            return None
        return home

    def _engine_for(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> OwnedEngine | None:
        roomy = pool.roomy(request, self.settings.load_multiple, now)
        engine = self._placement.choose(request, roomy, now)
        if engine is None or not self._over_share(pool, request, now):
            return engine
        return None

    def _over_share(self, pool: ModelPool, request: SlotRequest, now: float) -> bool:
        free = pool.capacity(now) - pool.in_use()
        factor = self.settings.share_factor
        return not pool.shares.may_take(request.workspace, free, factor)

    def _redirect(
        self, pool: ModelPool, request: SlotRequest, multiple: float, now: float
    ) -> Redirect | None:
        place = self._placement.elsewhere(request, pool, self.daemon_id, multiple, now)
        if place is None:
            place = self._waiting_place(pool)
        if place is None:
            return None
        self._displaced.remember(request.workspace, request.chat, place.engine_id)
        return Redirect(request.request_id, place.owner_id, place.engine_id)

    def _waiting_place(self, pool: ModelPool):
        for engine in pool.engines_by_id.values():
            place = self.engines.former_owner(engine)
            if place is not None:
                return place
        return None

    def _grant(
        self, pool: ModelPool, request: SlotRequest, engine: OwnedEngine, now: float
    ) -> Grant:
        cached = self._placement.cached_tokens(request, engine)
        grant, use = self.grants.issue(
            request,
            engine.engine_id,
            URGENCY_BY_CLASS[request.request_class],
            cached,
            engine.add_prefill(request.prompt_tokens - cached, now),
            now,
        )
        engine.slots.take(use, now)
        pool.shares.take(request.workspace)
        return grant

    def _enqueue(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> Queued | Refusal:
        if not any(True for _ in pool.able(now)):
            return self._refuse(request, RefusalReason.ENGINES_UNAVAILABLE)
        ahead = pool.queue.ahead_of(request)
        if not self._make_room(pool, request, now):
            wait = pool.wait_seconds(ahead, now)
            return self._refuse(request, RefusalReason.QUEUE_FULL, wait)
        wait = pool.wait_seconds(ahead, now)
        if now + wait > request.deadline:
            return self._refuse(request, RefusalReason.DEADLINE_OUT_OF_REACH, wait)
        pool.queue.push(request, now)
        return Queued(request.request_id, ahead + 1)

    def _make_room(self, pool: ModelPool, request: SlotRequest, now: float) -> bool:
        room = max(1, int(self.settings.queue_per_slot * pool.capacity(now)))
        if len(pool.queue) < room:
            return True
        last = pool.queue.least_urgent()
        if last is None or not self._goes_before(pool, request, last):
            return False
        pool.queue.remove(last.request.request_id)
        wait = pool.wait_seconds(len(pool.queue), now)
        self._shed.append(self._refuse(last.request, RefusalReason.SHED, wait))
        return True

    def _goes_before(
        self, pool: ModelPool, request: SlotRequest, last: Waiting
    ) -> bool:
        urgency = URGENCY_BY_CLASS[request.request_class]
        if urgency != last.urgency:
            return urgency < last.urgency
        length = pool.queue.line_length(request)
        return length + 1 < pool.queue.line_length(last.request)

    def _drain(self, pool: ModelPool, now: float) -> list[Grant]:
        grants: list[Grant] = []
        granted = True
        while granted and len(pool.queue):
            granted = False
            for waiting in pool.queue.in_order(pool.shares.in_use_by_workspace, now):
                engine = self._engine_for(pool, waiting.request, now)
                if engine is not None:
                    pool.queue.remove(waiting.request.request_id)
                    grants.append(self._grant(pool, waiting.request, engine, now))
                    granted = True
                    break
        return grants

    def _give_up(self, pool: ModelPool, now: float) -> list[Redirect | Refusal]:
        refusals: list[Redirect | Refusal] = []
        for waiting in pool.queue:
            redirect = self._pass_on(pool, waiting.request, now)
            if redirect is not None:
                refusals.append(redirect)
                continue
            reason = self._reason_to_give_up(pool, waiting, now)
            if reason is not None:
                pool.queue.remove(waiting.request.request_id)
                wait = min(pool.wait_seconds(len(pool.queue), now), 60.0)
                refusals.append(self._refuse(waiting.request, reason, wait))
        return refusals

    def _pass_on(
        self, pool: ModelPool, request: SlotRequest, now: float
    ) -> Redirect | None:
        """Send a queued request to an owner that has room by now."""
        if request.attempt >= self.settings.attempts_per_request:
            return None
        redirect = self._redirect(pool, request, self.settings.load_multiple, now)
        if redirect is not None:
            pool.queue.remove(request.request_id)
        return redirect

    def _reason_to_give_up(
        self, pool: ModelPool, waiting: Waiting, now: float
    ) -> RefusalReason | None:
        if not pool.engines_by_id:
            return RefusalReason.NOT_OWNER
        if not any(True for _ in pool.able(now)):
            return RefusalReason.ENGINES_UNAVAILABLE
        if waiting.request.deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        if now + pool.wait_seconds(0, now) > waiting.request.deadline:
            return RefusalReason.DEADLINE_OUT_OF_REACH
        return None

    def _refuse(
        self,
        request: SlotRequest,
        reason: RefusalReason,
        retry_after: float = RETRY_AFTER_SECONDS,
    ) -> Refusal:
        return Refusal(request.request_id, reason, min(retry_after, 60.0))

    def _pool(self, model: str) -> ModelPool:
        if model not in self.pools_by_model:
            self.pools_by_model[model] = ModelPool.create(model, self.settings)
        return self.pools_by_model[model]

    def _follow_ownership(self, now: float) -> tuple[Handover, ...]:
        handovers = self.engines.update(self.settings, now)
        members: dict[str, dict[str, OwnedEngine]] = {}
        for engine_id, engine in self.engines.by_id.items():
            members.setdefault(engine.profile.model, {})[engine_id] = engine
        for model in self.pools_by_model.keys() | members.keys():
            pool = self._pool(model)
            pool.settings = self.settings
            pool.engines_by_id = members.get(model, {})
        return handovers
