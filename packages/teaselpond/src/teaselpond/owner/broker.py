"""Acquire slots from this daemon's engines or from other owners."""

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
    EngineLocation,
    Grant,
    Handover,
    HeldGrants,
    Queued,
    Redirect,
    Refusal,
    RefusalReason,
    Release,
    SlotRequest,
)
from .messages import AcquireSlot, CancelSlot

QUEUE_ADVANCE_INTERVAL_SECONDS = 0.05
HELD_GRANTS_INTERVAL_SECONDS = 5.0
OWNER_RETRY_SECONDS = 0.2
EARLY_HANDOVER_LIFETIME_SECONDS = 5.0
# The process was paused if the event loop didn't read the clock for this long.
# It normally reads it far more often, and peers take longer to detect a
# silent daemon.
PAUSE_THRESHOLD_SECONDS = 3.0
MAX_ACQUIRE_ATTEMPTS = 8
# Send an owner the list of held grants for this long after the last request
# to it, even an empty list: the owner then frees a grant whose answer was
# lost.
HELD_GRANTS_REPORT_SECONDS = 30.0


@frozen
class HeldSlot:
    """Store a grant and the owner that issued it."""

    grant: Grant
    owner_id: str


@frozen
class EarlyHandover:
    """Store a handover that arrived before this daemon owned the engine."""

    handover: Handover
    received_at: float


class SlotBroker:
    """Request slots from engines' owners, and answer requests of peers.

    The owner of an engine decides about its slots; ``dispatcher`` decides for
    the engines that this daemon owns.
    """

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
        self._last_read_at = clock()
        self._report_subscribers: list[Callable[[str, LoadReport], None]] = []
        self.reports_by_engine: dict[str, LoadReport] = {}
        self._early_handovers: dict[str, EarlyHandover] = {}
        self._held_by_grant: dict[str, HeldSlot] = {}
        self._waiters_by_request: dict[str, asyncio.Future] = {}
        self._requested_at_by_owner: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()
        links.handle(AcquireSlot, self._serve_acquire)
        links.handle(CancelSlot, self._serve_cancel)
        links.handle(Release, self._serve_release)
        links.handle(HeldGrants, self._serve_held_grants)
        links.handle(Handover, self._serve_handover)

    @property
    def daemon_id(self) -> str:
        """Return this daemon's id."""
        return self.dispatcher.daemon_id

    @property
    def held_count(self) -> int:
        """Return the number of slots held by requests of this daemon."""
        return len(self._held_by_grant)

    async def run(self) -> None:
        """Advance queues and send lists of held grants until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._advance_periodically())
            group.create_task(self._publish_held_grants())

    def _now(self) -> float:
        """Return the time; after a pause, make ownership be confirmed again.

        Other daemons may have taken over the engines during the pause.
        """
        now = self._read_clock()
        paused = now - self._last_read_at > PAUSE_THRESHOLD_SECONDS
        self._last_read_at = now
        if paused:
            self._metrics.incr("slots.paused")
            self.dispatcher.restart_claims(now)
        return now

    # Requests of this daemon.

    async def acquire(self, request: SlotRequest) -> Grant:
        """Return a grant; raise Refused if none is given before the deadline.

        Follow redirects and ownership changes for a limited number of
        attempts.
        """
        # Use a unique id: a caller may repeat its request id while the slot of
        # the first request is still being released, and that slot must not
        # be granted a second time.
        request = evolve(
            request,
            request_id=f"{self.daemon_id}/{self._incarnation}/{next(self._numbers)}",
            chat=request.chat or request.request_id,
        )
        unreachable: set[str] = set()
        location = self._select_location(request, unreachable)
        for attempt in range(1, MAX_ACQUIRE_ATTEMPTS + 1):
            if location is None:
                raise refuse(RefusalCause.NO_CANDIDATE, retry_after=1.0, step="acquire")
            attempt_request = evolve(
                request, attempt=attempt, origin_daemon=self.daemon_id
            )
            try:
                decision = await self._request_decision(
                    location.owner_id, attempt_request
                )
            except LinkError:
                self._metrics.incr("retries.owner_unreachable")
                unreachable.add(location.owner_id)
                await asyncio.sleep(OWNER_RETRY_SECONDS)
                location = self._select_location(request, unreachable)
                continue
            if isinstance(decision, Grant):
                self._held_by_grant[decision.grant_id] = HeldSlot(
                    decision, location.owner_id
                )
                return decision
            if isinstance(decision, Refusal):
                if decision.reason is not RefusalReason.NOT_OWNER:
                    raise self._refusal_error(decision)
                # The engine's owner has changed since it was selected.
                self._metrics.incr("retries.owner_changed")
                await asyncio.sleep(OWNER_RETRY_SECONDS)
                location = self._select_location(request, unreachable)
                continue
            # Make the next owner prefer the engine that this one chose.
            request = evolve(request, hint_engine=decision.engine_id)
            location = EngineLocation(decision.engine_id, decision.owner_id)
        raise refuse(RefusalCause.ADMISSION_REFUSED, retry_after=1.0, step="acquire")

    async def release(self, release: Release) -> None:
        """Release a slot, also if its owner is unreachable."""
        held = self._held_by_grant.pop(release.grant_id, None)
        if held is None:
            return
        if held.owner_id == self.daemon_id:
            self._release_local(release)
            return
        try:
            await self._links.send(held.owner_id, release)
        except LinkError:
            # The owner frees the slot when the next list of held grants omits
            # it.
            self._metrics.incr("slots.release_unsent")

    # Engine state and membership.

    def subscribe_reports(self, subscriber: Callable[[str, LoadReport], None]) -> None:
        """Call a function with each engine id and load report received."""
        self._report_subscribers.append(subscriber)

    def observe_load(self, engine_id: str, report: LoadReport) -> None:
        """Record an engine's load report and pass it to all subscribers."""
        self.reports_by_engine[engine_id] = report
        for subscriber in self._report_subscribers:
            subscriber(engine_id, report)
        self.dispatcher.observe_load(engine_id, report, self._now())

    def observe_cache(self, engine_id: str, page: CacheEventPage) -> bool:
        """Record cache events; return True if a snapshot must be fetched."""
        return self.dispatcher.observe_cache(engine_id, page, self._now())

    def observe_snapshot(self, engine_id: str, page: CacheEventPage) -> None:
        """Replace what is known of an engine's cache by a snapshot."""
        self.dispatcher.observe_snapshot(
            engine_id, page.incarnation, page.last_sequence, page.events, self._now()
        )

    def address_of(self, engine_id: str) -> Address | None:
        """Return an engine's address, None if the engine is unknown."""
        profile = self.dispatcher.directory.engines_by_id.get(engine_id)
        return profile.host.address if profile else None

    def zone_of(self, engine_id: str) -> str:
        """Return an engine's zone, empty if the engine is unknown."""
        profile = self.dispatcher.directory.engines_by_id.get(engine_id)
        return profile.host.zone if profile else ""

    def outstanding_requests(self, model: str) -> int:
        """Return the number of a model's running and queued requests."""
        pool = self.dispatcher.pools_by_model.get(model)
        if pool is None:
            return 0
        return pool.fleet_load(self._now()).in_flight + len(pool.queue)

    def hand_over(self, handovers: tuple[Handover, ...]) -> None:
        """Send the state of engines to their new owners.

        Also accept handovers that arrived before this daemon owned the
        engine.
        """
        for handover in handovers:
            self._spawn(self._send_best_effort(handover.to_owner, handover))
        self._accept_early_handovers()

    def drop_origin(self, daemon_id: str) -> None:
        """Free all slots held by a daemon that has left or failed."""
        self.dispatcher.drop_origin(daemon_id, self._now())
        self._advance()

    # Requests of other daemons.

    async def _serve_acquire(self, message: AcquireSlot, sender: Identity):
        request = evolve(
            message.request,
            deadline=self._now() + message.remaining_seconds,
            origin_daemon=sender.daemon_id,
        )
        self._metrics.incr("slots.asked_by_peer")
        return await self._decide(request)

    def _serve_cancel(self, cancel: CancelSlot, sender: Identity) -> None:
        self._cancel_local(cancel.request_id)

    def _serve_release(self, release: Release, sender: Identity) -> None:
        self._release_local(release)

    def _serve_held_grants(self, held: HeldGrants, sender: Identity) -> None:
        attributed = evolve(held, origin_daemon=sender.daemon_id)
        self.dispatcher.reconcile(attributed, self._now())
        self._advance()

    def _serve_handover(self, handover: Handover, sender: Identity) -> None:
        # The former owner may see the change of ownership before this daemon.
        self._early_handovers[handover.engine_id] = EarlyHandover(handover, self._now())
        self._accept_early_handovers()

    def _accept_early_handovers(self) -> None:
        now = self._now()
        for engine_id, early in list(self._early_handovers.items()):
            if engine_id in self.dispatcher.engines.by_id:
                self.dispatcher.accept(early.handover, now)
                del self._early_handovers[engine_id]
            elif now - early.received_at > EARLY_HANDOVER_LIFETIME_SECONDS:
                del self._early_handovers[engine_id]
        self._advance()

    # Internals.

    def _select_location(
        self, request: SlotRequest, unreachable: set[str]
    ) -> EngineLocation | None:
        directory = self.dispatcher.directory
        candidates = directory.candidates(
            request.workspace, request.chat, request.model
        )
        for engine_id in itertools.chain(self._hinted_engines(request), candidates):
            location = directory.location_of(engine_id)
            if location is None or engine_id in request.excluded:
                continue
            if location.owner_id not in unreachable:
                return location
        return None

    def _hinted_engines(self, request: SlotRequest) -> tuple[str, ...]:
        # The hint comes from the caller, so it only counts for an engine that
        # could serve the request anyway. The owner still decides.
        profile = self.dispatcher.directory.engines_by_id.get(request.hint_engine)
        if (
            profile is None
            or profile.model != request.model
            or not profile.takes_work
            or request.hint_engine in request.excluded
        ):
            return ()
        return (request.hint_engine,)

    async def _request_decision(self, owner_id: str, request: SlotRequest):
        if owner_id == self.daemon_id:
            self._metrics.incr("slots.asked_locally")
            return await self._decide(request)
        self._metrics.incr("slots.asked_remotely")
        self._requested_at_by_owner[owner_id] = self._now()
        remaining = max(0.0, request.deadline - self._now())
        message = AcquireSlot(evolve(request, deadline=0.0), remaining)
        try:
            return await self._links.call(owner_id, message, remaining + 1.0)
        except (AnswerLost, asyncio.CancelledError):
            # The owner may have granted a slot that no caller will receive.
            self._spawn(
                self._send_best_effort(owner_id, CancelSlot(request.request_id))
            )
            raise

    async def _decide(self, request: SlotRequest) -> Grant | Redirect | Refusal:
        decision = self.dispatcher.request(request, self._now())
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
        self.dispatcher.release(release, self._now())
        self._advance()

    def _cancel_local(self, request_id: str) -> None:
        self.dispatcher.cancel(request_id, self._now())
        self._advance()

    def _advance(self) -> None:
        for decision in self.dispatcher.advance(self._now()):
            waiter = self._waiters_by_request.get(decision.request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, Grant):
                # Its caller stopped waiting in the meantime.
                self.dispatcher.cancel(decision.request_id, self._now())

    def _refusal_error(self, refusal: Refusal) -> Refused:
        self._metrics.incr(f"policy.refusals.{refusal.reason.value}")
        return refuse_admission(refusal)

    async def _advance_periodically(self) -> None:
        while True:
            await asyncio.sleep(QUEUE_ADVANCE_INTERVAL_SECONDS)
            self._advance()

    async def _publish_held_grants(self) -> None:
        while True:
            await asyncio.sleep(HELD_GRANTS_INTERVAL_SECONDS)
            cutoff = self._now() - HELD_GRANTS_REPORT_SECONDS
            grants_by_owner: dict[str, list[str]] = {
                owner_id: []
                for owner_id, requested_at in self._requested_at_by_owner.items()
                if requested_at > cutoff
            }
            for grant_id, held in self._held_by_grant.items():
                if held.owner_id != self.daemon_id:
                    grants_by_owner.setdefault(held.owner_id, []).append(grant_id)
            for owner_id, grant_ids in grants_by_owner.items():
                held_grants = HeldGrants(self.daemon_id, tuple(grant_ids))
                await self._send_best_effort(owner_id, held_grants)

    async def _send_best_effort(self, owner_id: str, message) -> None:
        try:
            await self._links.send(owner_id, message)
        except LinkError:
            self._metrics.incr("links.unsent")

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
