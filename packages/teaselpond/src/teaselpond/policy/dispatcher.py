"""Schedule requests on the engines that one daemon owns."""

from collections.abc import Iterable

from teaselpond_model.contracts import (
    CacheEvent,
    CacheEventPage,
    Host,
    LoadReport,
)

from .admission import QUEUE_CHECK_SECONDS, Admission, refuse
from .cap import SumTable
from .directory import EngineDirectory, EngineLocation
from .engines import OwnedEngine
from .grants import GrantRegistry
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
from .pools import ModelPool
from .profiles import EngineProfile
from .reasons import RefusalReason
from .settings import PolicySettings
from .takeover import OwnedEngines

HELD_GRACE_SECONDS = 2.0


class Dispatcher:
    """Grant, queue, redirect or refuse requests for a daemon's engines.

    Every method that depends on the time gets it as ``now``, in seconds.
    """

    def __init__(self, daemon_id: str, incarnation: str) -> None:
        self.daemon_id = daemon_id
        self.settings = PolicySettings()
        self.directory = EngineDirectory()
        self.pools_by_model: dict[str, ModelPool] = {}
        self.engines = OwnedEngines(daemon_id, self.directory)
        self.grants = GrantRegistry(f"{daemon_id}.{incarnation}")
        self._admission = Admission.create(
            daemon_id, self.directory, self.engines, self.grants
        )
        self._sum_version = 0

    # Updates of the fleet's state.

    def configure(
        self, settings: PolicySettings, engines: Iterable[EngineProfile], now: float
    ) -> tuple[Handover, ...]:
        """Apply a configuration; return handovers of engines given up."""
        self.settings = settings
        self.directory.set_engines(engines)
        self._admission.configure(settings)
        return self._update_ownership(now)

    def set_daemons(self, daemons: Iterable[Host], now: float) -> tuple[Handover, ...]:
        """Replace the live daemons; return handovers of engines given up."""
        former = dict(self.directory.daemons_by_id)
        self.directory.set_daemons(daemons)
        handovers = self._update_ownership(now)
        self.engines.contest(former, self.settings, now)
        for host_id in former.keys() - self.directory.daemons_by_id.keys():
            for pool in self.pools_by_model.values():
                pool.sums.remove_owner(host_id)
        return handovers

    def restart_claims(self, now: float) -> None:
        """Restart every claim and drop all load sums, after a process pause.

        During the pause the other daemons may have declared this one dead and
        claimed its engines.
        """
        for engine in self.engines.by_id.values():
            engine.claim = engine.claim.begin(self.settings, now)
        for pool in self.pools_by_model.values():
            pool.sums = SumTable(self.settings.sum_stale_seconds)

    def accept(self, handover: Handover, now: float) -> None:
        """Apply a former owner's handover to an engine that is owned now."""
        engine = self.engines.by_id.get(handover.engine_id)
        if engine is not None:
            engine.accept(handover, now)
            self._pool(engine.profile.model).invalidate()

    def observe_load(self, engine_id: str, report: LoadReport, now: float) -> None:
        """Apply an engine's load report."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.observe_load(report, now)
            self._pool(engine.profile.model).invalidate()

    def observe_cache(self, engine_id: str, page: CacheEventPage, now: float) -> bool:
        """Apply cache events; return True if a snapshot has to be fetched."""
        engine = self.engines.get(engine_id)
        if engine is None:
            return False
        self._pool(engine.profile.model).invalidate()
        return engine.observe_cache(page, now)

    def observe_snapshot(
        self,
        engine_id: str,
        incarnation: str,
        last_sequence: int,
        prefixes: Iterable[CacheEvent],
        now: float,
    ) -> None:
        """Apply a snapshot of an engine's cache, given as STORED events."""
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.observe_snapshot(incarnation, last_sequence, prefixes, now)
            self._pool(engine.profile.model).invalidate()

    def observe_sum(self, load_sum: LoadSum, now: float) -> None:
        """Store another owner's load sum."""
        if load_sum.owner_id != self.daemon_id:
            self._pool(load_sum.model).sums.observe(load_sum, now)

    def sums(self, now: float) -> tuple[LoadSum, ...]:
        """Return the load sums to send to the other daemons."""
        self._sum_version += 1
        return tuple(
            load_sum
            for pool in self.pools_by_model.values()
            for load_sum in pool.sums_by_zone(self.daemon_id, self._sum_version, now)
        )

    # Calls of callers and entry daemons.

    def locate(
        self, workspace: str, chat: str, model: str, hint_engine: str, now: float
    ) -> EngineLocation | None:
        """Return the engine, and its owner, that should serve a chat.

        A chat without a usable hint gets the first of its candidates whose
        owner's load is not above the mean times ``new_chat_multiple``. Its
        caller should send that engine as the hint of the chat's next requests.
        """
        home = self.directory.home(workspace, chat, model, hint_engine)
        if home is None or home.engine_id == hint_engine:
            return home
        pool = self._pool(model)
        multiple = self.settings.new_chat_multiple
        location = self._admission.placement.find_candidate_below(
            pool, workspace, chat, multiple, now
        )
        return location or home

    def request(self, request: SlotRequest, now: float) -> Decision:
        """Decide on a request.

        A repeated request that is granted or queued is not counted again.
        """
        grant = self.grants.by_request(request.request_id)
        if grant is not None:
            return grant
        pool = self._pool(request.model)
        if request.request_id in pool.queue:
            return Queued(request.request_id, pool.queue.ahead_of(request))
        if request.deadline <= now:
            return refuse(request, RefusalReason.DEADLINE_PASSED, 0.0)
        if not self.directory.has_model(request.model):
            return refuse(request, RefusalReason.NO_ENGINE)
        pool.shares.record_activity(request.workspace, now)
        return self._admission.decide(pool, request, now)

    def release(self, release: Release, now: float) -> None:
        """Free a granted slot and record the result.

        A repeated release is ignored.
        """
        use = self.grants.close(release.grant_id)
        if use is None:
            return
        pool = self._pool(use.request.model)
        pool.shares.release(use.request.workspace)
        engine = self.engines.get(use.engine_id)
        if engine is None:
            return
        usable = engine.usable_slots()
        may_eject = pool.may_eject(now)
        engine.slots.release(release.grant_id, now)
        engine.record_release(use, release, may_eject, now)
        if release.outcome is Outcome.COMPLETED and engine.usable_slots() == usable:
            pool.count_release(engine)
        else:
            pool.invalidate()
        if release.outcome is Outcome.COMPLETED:
            pool.observe_service_seconds(now - use.granted_at)
        self.engines.remove_idle_former()

    def cancel(self, request_id: str, now: float) -> None:
        """Cancel a request, whether it is queued or granted."""
        for pool in self.pools_by_model.values():
            pool.queue.remove(request_id)
        grant = self.grants.by_request(request_id)
        if grant is not None:
            self.release(Release(grant.grant_id, Outcome.CANCELLED), now)

    def drop_origin(self, daemon_id: str, now: float) -> None:
        """Drop the queued requests and grants of a lost entry daemon."""
        for pool in self.pools_by_model.values():
            for queued in pool.queue:
                if queued.request.origin_daemon == daemon_id:
                    pool.queue.remove(queued.request.request_id)
        for grant_id in self.grants.by_origin(daemon_id):
            self.release(Release(grant_id, Outcome.CANCELLED), now)

    def reconcile(self, held: HeldGrants, now: float) -> None:
        """Release the grants that an entry daemon no longer lists as held.

        Grants of the last ``HELD_GRACE_SECONDS`` are kept: the list may have
        been sent before they arrived.
        """
        lost_ids = self.grants.not_held(
            held.origin_daemon, held.grant_ids, now - HELD_GRACE_SECONDS
        )
        for grant_id in lost_ids:
            self.release(Release(grant_id, Outcome.CANCELLED), now)

    # Periodic work.

    def advance(self, now: float) -> tuple[Grant | Redirect | Refusal, ...]:
        """Update time-dependent limits and decide on queued requests.

        Return the grants, redirects and refusals to send.
        """
        for engine in self.engines.by_id.values():
            if engine.advance(now):
                self._pool(engine.profile.model).invalidate()
        decisions: list[Grant | Redirect | Refusal] = []
        decisions.extend(self._admission.pop_shed_refusals())
        for pool in self.pools_by_model.values():
            decisions.extend(self._admission.advance(pool, now))
        return tuple(decisions)

    def next_deadline(self, now: float) -> float:
        """Return the latest time by which ``advance`` has to be called."""
        if self._admission.has_shed_refusals:
            return now
        due = min(
            (engine.claim.next_change() for engine in self.engines.by_id.values()),
            default=float("inf"),
        )
        if any(len(pool.queue) for pool in self.pools_by_model.values()):
            due = min(due, now + QUEUE_CHECK_SECONDS)
        return due

    def _pool(self, model: str) -> ModelPool:
        if model not in self.pools_by_model:
            self.pools_by_model[model] = ModelPool.create(model, self.settings)
        return self.pools_by_model[model]

    def _update_ownership(self, now: float) -> tuple[Handover, ...]:
        handovers = self.engines.update(self.settings, now)
        members: dict[str, dict[str, OwnedEngine]] = {}
        for engine_id, engine in self.engines.by_id.items():
            members.setdefault(engine.profile.model, {})[engine_id] = engine
        for model in self.pools_by_model.keys() | members.keys():
            pool = self._pool(model)
            pool.configure(self.settings, members.get(model, {}))
            pool.configured_load = self.directory.configured_load(model)
        return handovers
