"""Get slots for requests from this daemon's engines or from other owners."""

import asyncio
import itertools
import time
from collections.abc import Callable

from attrs import evolve, frozen

from teaselpond_model.contracts import Address, CacheEventPage, LoadReport

from ..delivery.verdicts import RefusalCause, refuse, refuse_admission
from ..exceptions import Refused
from ..links import AnswerLost, LinkError, LinkManager
from ..links.peers import Identity
from ..metrics import Metrics
from ..policy import (
    Dispatcher,
    Grant,
    Handover,
    HeldGrants,
    Home,
    Queued,
    Redirect,
    Refusal,
    RefusalReason,
    Release,
    SlotRequest,
)
from .messages import CancelSlot, SlotAsk

ADVANCE_SECONDS = 0.05
HELD_SECONDS = 5.0
OWNER_RETRY_SECONDS = 0.2
HANDOVER_SECONDS = 5.0
# The loop reads the clock far more often than this. Peers take longer to find
# that a daemon has gone silent.
PAUSE_SECONDS = 3.0
ASKS_LIMIT = 8
# An owner is told of held grants for this long after it was last asked, so
# that a grant whose answer was lost is freed.
OWNER_MEMORY_SECONDS = 30.0


@frozen
class HeldSlot:
    """Remember which owner gave a grant."""

    grant: Grant
    owner_id: str


@frozen
class EarlyHandover:
    """Hold what a former owner told before this daemon owned the engine."""

    handover: Handover
    received_at: float


class SlotBroker:
    """Ask the right owner for slots, and serve those who ask this daemon."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        links: LinkManager,
        metrics: Metrics,
        incarnation: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.dispatcher = dispatcher
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        self._links = links
        self._metrics = metrics
        self._read_clock = clock
        self._read_at = clock()
        self._report_followers: list[Callable[[str, LoadReport], None]] = []
        self.reports_by_engine: dict[str, LoadReport] = {}
        self._early_handovers: dict[str, EarlyHandover] = {}
        self._held_by_grant: dict[str, HeldSlot] = {}
        self._waiters_by_request: dict[str, asyncio.Future] = {}
        self._asked_at_by_owner: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        links.handle(SlotAsk, self._serve_ask)
        links.handle(CancelSlot, self._serve_cancel)
        links.handle(Release, self._serve_release)
        links.handle(HeldGrants, self._serve_held)
        links.handle(Handover, self._serve_handover)

    @property
    def daemon_id(self) -> str:
        """Return this daemon's id."""
        return self.dispatcher.daemon_id

    @property
    def held_count(self) -> int:
        """Return the number of slots that this daemon's requests hold."""
        return len(self._held_by_grant)

    async def run(self) -> None:
        """Advance queues and list held grants until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._advance_forever())
            group.create_task(self._publish_held())

    def _clock(self) -> float:
        """Return the time; what was owned before a pause is doubted first."""
        now = self._read_clock()
        paused = now - self._read_at > PAUSE_SECONDS
        self._read_at = now
        if paused:
            self._metrics.incr("slots.paused")
            self.dispatcher.restart_claims(now)
        return now

    # What requests of this daemon ask.

    async def acquire(self, request: SlotRequest) -> Grant:
        """Return a grant; raise Refused when there is none in time."""
        # A caller may repeat its request id, and a slot that is still being
        # released must not be granted a second time.
        request = evolve(
            request,
            request_id=f"{self.daemon_id}/{self._incarnation}/{next(self._numbers)}",
            chat=request.chat or request.request_id,
        )
        unreachable: set[str] = set()
        home = self._home(request, unreachable)
        for attempt in range(1, ASKS_LIMIT + 1):
            if home is None:
                raise refuse(RefusalCause.NO_CANDIDATE, retry_after=1.0, step="acquire")
            asked = evolve(request, attempt=attempt, origin_daemon=self.daemon_id)
            try:
                decision = await self._ask(home.owner_id, asked)
            except LinkError:
                self._metrics.incr("retries.owner_unreachable")
                unreachable.add(home.owner_id)
                await asyncio.sleep(OWNER_RETRY_SECONDS)
                home = self._home(request, unreachable)
                continue
            if isinstance(decision, Grant):
                self._held_by_grant[decision.grant_id] = HeldSlot(
                    decision, home.owner_id
                )
                return decision
            if isinstance(decision, Refusal):
                if decision.reason is not RefusalReason.NOT_OWNER:
                    raise self._refused(decision)
                # The engines passed to another owner in the meantime.
                self._metrics.incr("retries.owner_changed")
                await asyncio.sleep(OWNER_RETRY_SECONDS)
                home = self._home(request, unreachable)
                continue
            # The next owner keeps the chat at the engine that was chosen.
            request = evolve(request, hint_engine=decision.engine_id)
            home = Home(decision.engine_id, decision.owner_id)
        raise refuse(RefusalCause.ADMISSION_REFUSED, retry_after=1.0, step="acquire")

    async def release(self, release: Release) -> None:
        """Give a slot back, also when its owner cannot be reached."""
        held = self._held_by_grant.pop(release.grant_id, None)
        if held is None:
            return
        if held.owner_id == self.daemon_id:
            self._release_local(release)
            return
        try:
            await self._links.send(held.owner_id, release)
        except LinkError:
            # The owner frees it when this daemon's next list leaves it out.
            self._metrics.incr("slots.release_unsent")

    # What the daemon learns.

    def follow_reports(self, follower: Callable[[str, LoadReport], None]) -> None:
        """Hand each load report to a function as well."""
        self._report_followers.append(follower)

    def observe_load(self, engine_id: str, report: LoadReport) -> None:
        """Take an engine's load report."""
        self.reports_by_engine[engine_id] = report
        for follower in self._report_followers:
            follower(engine_id, report)
        self.dispatcher.observe_load(engine_id, report, self._clock())

    def observe_cache(self, engine_id: str, page: CacheEventPage) -> bool:
        """Take cache events; return True when a snapshot is due."""
        return self.dispatcher.observe_cache(engine_id, page, self._clock())

    def observe_snapshot(self, engine_id: str, page: CacheEventPage) -> None:
        """Take a snapshot of an engine's cache."""
        self.dispatcher.observe_snapshot(
            engine_id, page.incarnation, page.last_sequence, page.events, self._clock()
        )

    def address_of(self, engine_id: str) -> Address | None:
        """Return an engine's address, None when it isn't known."""
        profile = self.dispatcher.directory.engines_by_id.get(engine_id)
        return profile.host.address if profile else None

    def zone_of(self, engine_id: str) -> str:
        """Return an engine's zone, empty when it isn't known."""
        profile = self.dispatcher.directory.engines_by_id.get(engine_id)
        return profile.host.zone if profile else ""

    def requests_in_use(self, model: str) -> int:
        """Return the fleet's running and queued requests of a model."""
        pool = self.dispatcher.pools_by_model.get(model)
        if pool is None:
            return 0
        return pool.fleet_load(self._clock()).in_flight + len(pool.queue)

    def hand_over(self, handovers: tuple[Handover, ...]) -> None:
        """Tell the new owners of engines what this one knew of them."""
        for handover in handovers:
            self._spawn(self._send_quietly(handover.to_owner, handover))
        self._accept_early()

    def drop_origin(self, daemon_id: str) -> None:
        """Free what a daemon held that is gone."""
        self.dispatcher.drop_origin(daemon_id, self._clock())
        self._advance()

    # What other daemons ask.

    async def _serve_ask(self, ask: SlotAsk, sender: Identity):
        request = evolve(
            ask.request,
            deadline=self._clock() + ask.remaining_seconds,
            origin_daemon=sender.daemon_id,
        )
        self._metrics.incr("slots.asked_by_peer")
        return await self._decide(request)

    def _serve_cancel(self, cancel: CancelSlot, sender: Identity) -> None:
        self._cancel_local(cancel.request_id)

    def _serve_release(self, release: Release, sender: Identity) -> None:
        self._release_local(release)

    def _serve_held(self, held: HeldGrants, sender: Identity) -> None:
        named = evolve(held, origin_daemon=sender.daemon_id)
        self.dispatcher.reconcile(named, self._clock())
        self._advance()

    def _serve_handover(self, handover: Handover, sender: Identity) -> None:
        # The former owner may learn of the change before this daemon does.
        self._early_handovers[handover.engine_id] = EarlyHandover(
            handover, self._clock()
        )
        self._accept_early()

    def _accept_early(self) -> None:
        now = self._clock()
        for engine_id, early in list(self._early_handovers.items()):
            if engine_id in self.dispatcher.engines.by_id:
                self.dispatcher.accept(early.handover, now)
                del self._early_handovers[engine_id]
            elif now - early.received_at > HANDOVER_SECONDS:
                del self._early_handovers[engine_id]
        self._advance()

    # How it works.

    def _home(self, request: SlotRequest, unreachable: set[str]) -> Home | None:
        directory = self.dispatcher.directory
        candidates = directory.candidates(
            request.workspace, request.chat, request.model
        )
        for engine_id in itertools.chain(self._hinted(request), candidates):
            home = directory.home_at(engine_id)
            if home is None or engine_id in request.excluded:
                continue
            if home.owner_id not in unreachable:
                return home
        return None

    def _hinted(self, request: SlotRequest) -> tuple[str, ...]:
        # The hint comes from the caller: it may choose among engines that
        # could serve the request anyway, and the owner still decides.
        profile = self.dispatcher.directory.engines_by_id.get(request.hint_engine)
        if (
            profile is None
            or profile.model != request.model
            or not profile.takes_work
            or request.hint_engine in request.excluded
        ):
            return ()
        return (request.hint_engine,)

    async def _ask(self, owner_id: str, request: SlotRequest):
        if owner_id == self.daemon_id:
            self._metrics.incr("slots.asked_locally")
            return await self._decide(request)
        self._metrics.incr("slots.asked_remotely")
        self._asked_at_by_owner[owner_id] = self._clock()
        remaining = max(0.0, request.deadline - self._clock())
        ask = SlotAsk(evolve(request, deadline=0.0), remaining)
        try:
            return await self._links.call(owner_id, ask, remaining + 1.0)
        except (AnswerLost, asyncio.CancelledError):
            # A grant may be on its way to nobody.
            self._spawn(self._send_quietly(owner_id, CancelSlot(request.request_id)))
            raise

    async def _decide(self, request: SlotRequest) -> Grant | Redirect | Refusal:
        decision = self.dispatcher.request(request, self._clock())
        if not isinstance(decision, Queued):
            return decision
        self._metrics.incr("slots.queued")
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_request[request.request_id] = waiter
        try:
            return await waiter
        except asyncio.CancelledError:
            self._cancel_local(request.request_id)
            raise
        finally:
            self._waiters_by_request.pop(request.request_id, None)

    def _release_local(self, release: Release) -> None:
        self.dispatcher.release(release, self._clock())
        self._advance()

    def _cancel_local(self, request_id: str) -> None:
        self.dispatcher.cancel(request_id, self._clock())
        self._advance()

    def _advance(self) -> None:
        for decision in self.dispatcher.advance(self._clock()):
            waiter = self._waiters_by_request.get(decision.request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, Grant):
                # Its caller has left in the meantime.
                self.dispatcher.cancel(decision.request_id, self._clock())

    def _refused(self, refusal: Refusal) -> Refused:
        self._metrics.incr(f"policy.refusals.{refusal.reason.value}")
        return refuse_admission(refusal)

    async def _advance_forever(self) -> None:
        while True:
            await asyncio.sleep(ADVANCE_SECONDS)
            self._advance()

    async def _publish_held(self) -> None:
        while True:
            await asyncio.sleep(HELD_SECONDS)
            oldest = self._clock() - OWNER_MEMORY_SECONDS
            grants_by_owner: dict[str, list[str]] = {
                owner_id: []
                for owner_id, asked_at in self._asked_at_by_owner.items()
                if asked_at > oldest
            }
            for grant_id, held in self._held_by_grant.items():
                if held.owner_id != self.daemon_id:
                    grants_by_owner.setdefault(held.owner_id, []).append(grant_id)
            for owner_id, grant_ids in grants_by_owner.items():
                held_grants = HeldGrants(self.daemon_id, tuple(grant_ids))
                await self._send_quietly(owner_id, held_grants)

    async def _send_quietly(self, owner_id: str, message) -> None:
        try:
            await self._links.send(owner_id, message)
        except LinkError:
            self._metrics.incr("links.unsent")

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
