"""Decide whether a call is sent to an upstream, to which one, or what else.

A call is sent for the first time, again after a failed attempt, or again while
its earlier attempts are silent. Nothing is sent here.
"""

from collections.abc import Callable

from attrs import define, field, frozen

from .calls import Call
from .crash_reports import CrashReports
from .drain import Drain
from .journal import Journal
from .liveness import LivenessChecker
from .metrics import Metrics
from .overload.connection_shares import ConnectionShares
from .overload.control import Hold, OverloadControl, Rejection
from .placement import NoPlacement, Placement, Placer
from .progress import Progress
from .replies import Refusal
from .retry_budgets import RetryBudgets

# Limits how many upstreams a call is sent to, counting those that shed it.
MAX_PLACEMENTS = 4
# Pause before a call that may have run is offered again to upstreams that shed
# it. It cannot be refused any more, and they may have room by then.
SHED_AGAIN_SECONDS = 0.1
# How often a call that may have run checks whether the trial of another one
# has ended, and after which time it gives up.
TRIAL_CHECK_SECONDS = 0.1
MAX_TRIAL_WAIT_SECONDS = 1.0
# The same for peers that confirm what this host has used of the retry budget.
# They do within a round trip and the time between two heartbeats.
CONFIRMATION_CHECK_SECONDS = 0.02
MAX_CONFIRMATION_WAIT_SECONDS = 0.3
# There are upstreams for the call, but they may not get it now.
OVERLOAD_REASONS = ("all-cold", "all-full", "all-back-off", "version-unproven")
# With less time remaining, a call is not sent at all.
MIN_REMAINING_SECONDS = 0.01


@frozen
class Wait:
    """Tell a call to ask again after some seconds."""

    seconds: float


@frozen
class NoAttempt:
    """Explain why a call is not sent, or not sent again.

    ``retry_seconds`` is when an upstream may be used again, if known.
    """

    refusal: Refusal
    retry_seconds: float | None = None


@define(eq=False)
class NextAttempts:
    """Decide on the next attempt of calls."""

    placer: Placer
    crash_reports: CrashReports
    liveness: LivenessChecker
    retries: RetryBudgets
    drain: Drain
    journal: Journal
    metrics: Metrics
    clock: Callable[[], float]
    host_count: Callable[[], int]
    overload: OverloadControl = field(factory=OverloadControl)
    connections: ConnectionShares | None = None

    async def decide(
        self, call: Call, progress: Progress, open_count: int
    ) -> Placement | Wait | NoAttempt:
        """Return where to send a call now, or why not.

        ``open_count`` is the number of its attempts that may still answer.
        With a placement, nothing more may be asked before the call is sent.
        Raise TimeoutError if the call has no time left.
        """
        now = self.clock()
        if call.expires_at - now < MIN_REMAINING_SECONDS:
            raise TimeoutError
        if not _may_run_again(call, progress, open_count):
            failed = progress.last_failure
            was_shed = failed is not None and failed.not_run
            if not was_shed:
                return NoAttempt(Refusal.BROKEN)
            return self._reject(call, progress, now)
        if not self.drain.may_send(
            now, call.route.objective_seconds, may_have_run=progress.may_run
        ):
            return NoAttempt(Refusal.LEAVING)
        is_retry = bool(progress.arrivals or open_count)
        if is_retry and not self._may_retry(call, progress, now):
            # Others may go first while it waits for the budget.
            self.overload.forget(call)
            if self._may_wait_for_confirmation(call, progress, now):
                return Wait(CONFIRMATION_CHECK_SECONDS)
            return self._reject(call, progress, now)
        if not progress.may_run and not open_count:
            step = self._wait_for_turn(call, progress, now)
            if step is not None:
                return step
        await self.crash_reports.space_trials(progress)
        if not progress.position.is_known:
            # An upstream that was silent has sent more meanwhile.
            return NoAttempt(Refusal.BROKEN)
        now = self.clock()
        if self.crash_reports.is_refused(call, progress, now):
            return NoAttempt(Refusal.POISONOUS)
        full_ids: frozenset[str] = frozenset()
        if self.connections is not None:
            full_ids = self.connections.full_ids(call.service, now)
            full_ids -= progress.tried_ids
        placement = self.placer.place(
            call, progress.tried_ids | full_ids, now, self.host_count()
        )
        if isinstance(placement, NoPlacement):
            may_wait = bool(progress.shed_ids or full_ids) and not open_count
            if may_wait and self._may_wait_for_capacity(call, progress, placement, now):
                since = progress.held_for_capacity_since
                step = self.overload.hold_again(call, now, since)
                return self._hold(call, progress, step, now)
            return self._wait_for_placement(call, progress, placement, open_count, now)
        if progress.held_for_capacity_since is not None:
            self._record_turn(call, progress, now)
        if self.liveness.must_check(progress, placement.record.engine):
            await self.liveness.check(call, progress, placement.record.engine)
            return Wait(0.0)
        if self.crash_reports.is_on_probation(progress):
            if await self.crash_reports.try_on_probation(call, progress):
                return Wait(0.0)
            if self._may_wait_for_trial(call, progress):
                return Wait(TRIAL_CHECK_SECONDS)
            return NoAttempt(Refusal.SUSPECTED)
        if is_retry:
            self.retries.record_retry(call.service, now)
        return placement

    def _reject(self, call: Call, progress: Progress, now: float) -> NoAttempt:
        """Reject a call that is not sent again; tell when to come back."""
        if progress.may_run:
            return NoAttempt(Refusal.SHED)
        return NoAttempt(Refusal.SHED, self.overload.send_back(call, now))

    def _wait_for_turn(
        self, call: Call, progress: Progress, now: float
    ) -> Wait | NoAttempt | None:
        """Return what a call does before it is offered, None if nothing."""
        step = self.overload.admit(call, now, has_offers=progress.placements > 0)
        if step is None:
            return None
        return self._hold(call, progress, step, now)

    def _hold(
        self, call: Call, progress: Progress, step: Hold | Rejection, now: float
    ) -> Wait | NoAttempt:
        since = progress.held_for_capacity_since
        if isinstance(step, Hold):
            if since is None:
                progress.held_for_capacity_since = now
            return Wait(step.seconds)
        held_seconds = now - since if since is not None else 0.0
        self.metrics.record_held(step.reason, held_seconds)
        self.journal.write(
            "held-rejected",
            now,
            id=call.head.request_id,
            reason=step.reason,
            held_seconds=round(held_seconds, 4),
            offers=progress.placements,
            retry_seconds=round(step.retry_seconds, 3),
            **self.overload.describe(call, now),
        )
        return NoAttempt(Refusal.OVERLOADED, step.retry_seconds)

    def _may_wait_for_capacity(
        self, call: Call, progress: Progress, no_placement: NoPlacement, now: float
    ) -> bool:
        """Return whether a call that all its upstreams rejected may wait.

        It is not held if it may not be offered again, or if the upstreams
        said when they want it.
        """
        if (
            progress.may_run
            or not may_become_free(no_placement)
            or progress.placements >= MAX_PLACEMENTS
            or (progress.arrivals and not self._may_retry(call, progress, now))
        ):
            return False
        progress.tried_ids -= progress.shed_ids
        progress.shed_ids.clear()
        return True

    def _record_turn(self, call: Call, progress: Progress, now: float) -> None:
        held_seconds = now - progress.held_for_capacity_since
        progress.held_for_capacity_since = None
        self.metrics.record_held("offered", held_seconds)
        self.journal.write(
            "held-offered",
            now,
            id=call.head.request_id,
            held_seconds=round(held_seconds, 4),
            offers=progress.placements,
            **self.overload.describe(call, now),
        )

    def _may_retry(self, call: Call, progress: Progress, now: float) -> bool:
        """Return whether the retry budget has room; log once if not."""
        host_count = self.host_count()
        if self.retries.may_retry(call.service, now, host_count):
            return True
        if progress.is_retry_refused:
            return False
        progress.is_retry_refused = True
        budget = self.retries.for_service(call.service, now)
        self.metrics.record_attempt_failure("retry-budget-empty")
        self.journal.write(
            "retry-refused",
            now,
            id=call.head.request_id,
            service=call.service,
            requests=budget.request_count(now),
            retries=budget.retry_count(now),
            remaining=round(budget.remaining(now, host_count), 2),
            excess_of_others=round(
                self.retries.excess_of_others(call.service, now, host_count), 2
            ),
            former_is_unknown=self.retries.is_asking(now),
            must_report=budget.must_report(now),
            sharing_hosts=host_count,
        )
        return False

    def _may_wait_for_confirmation(
        self, call: Call, progress: Progress, now: float
    ) -> bool:
        if not self.retries.awaits_confirmation(call.service, now, self.host_count()):
            return False
        if progress.unconfirmed_since is None:
            progress.unconfirmed_since = now
        return now - progress.unconfirmed_since < MAX_CONFIRMATION_WAIT_SECONDS

    def _wait_for_placement(
        self,
        call: Call,
        progress: Progress,
        no_placement: NoPlacement,
        open_count: int,
        now: float,
    ) -> Wait | NoAttempt:
        if self._may_offer_again(progress):
            progress.tried_ids -= progress.shed_ids
            progress.shed_ids.clear()
            return Wait(SHED_AGAIN_SECONDS)
        if self._may_wait(call, progress, no_placement, now):
            return Wait(no_placement.retry_seconds)
        if not open_count:
            self.journal.write(
                "not-placed",
                now,
                id=call.head.request_id,
                service=call.service,
                reason=no_placement.reason,
                listed=no_placement.listed,
                offers=progress.placements,
            )
        if progress.shed_ids and no_placement.reason == "all-tried":
            return self._reject(call, progress, now)
        return NoAttempt(refusal_for(no_placement), no_placement.retry_seconds)

    def _may_offer_again(self, progress: Progress) -> bool:
        """Return whether to go back to upstreams that shed a call.

        A call that cannot have run waits for capacity instead, or is rejected:
        its caller may come back to any host.
        """
        return (
            bool(progress.shed_ids)
            and progress.may_run
            and progress.placements < MAX_PLACEMENTS
        )

    def _may_wait(
        self, call: Call, progress: Progress, no_placement: NoPlacement, now: float
    ) -> bool:
        """Return whether to wait until an upstream may be used again.

        A call that cannot have run is refused instead, as its caller may come
        back to any host.
        """
        seconds = no_placement.retry_seconds
        return (
            seconds is not None
            and progress.may_run
            and now + seconds < call.expires_at - MIN_REMAINING_SECONDS
        )

    def _may_wait_for_trial(self, call: Call, progress: Progress) -> bool:
        """Return whether to wait until another call's trial has ended.

        A call that cannot have run is refused instead, as its caller may come
        back to any host.
        """
        now = self.clock()
        progress.held_since = progress.held_since or now
        return (
            progress.may_run
            and now - progress.held_since < MAX_TRIAL_WAIT_SECONDS
            and now + TRIAL_CHECK_SECONDS < call.expires_at - MIN_REMAINING_SECONDS
        )


def refusal_for(no_placement: NoPlacement) -> Refusal:
    """Return why a call is refused that no upstream was chosen for."""
    if no_placement.reason in OVERLOAD_REASONS:
        return Refusal.OVERLOADED
    return Refusal.NO_UPSTREAM


def may_become_free(no_placement: NoPlacement) -> bool:
    """Return whether upstreams that have no room may have some soon."""
    return no_placement.reason not in ("all-back-off", "none-listed")


def _may_run_again(call: Call, progress: Progress, open_count: int) -> bool:
    if not progress.position.is_known:
        # From the start, the caller would get the same events once more.
        return False
    runs = progress.runs + open_count
    if progress.placements >= MAX_PLACEMENTS or (runs and not call.may_repeat):
        return False
    return runs < call.route.max_attempts
