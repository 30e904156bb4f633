"""Test which attempt of a call comes next, without sending anything."""

from attrs import define

from teaselpond.gateway.drain import Drain
from teaselpond.gateway.metrics import Metrics
from teaselpond.gateway.next_attempts import (
    CONFIRMATION_CHECK_SECONDS,
    MAX_CONFIRMATION_WAIT_SECONDS,
    MAX_PLACEMENTS,
    NextAttempts,
    NoAttempt,
    Wait,
)
from teaselpond.gateway.placement import NoPlacement, Placement
from teaselpond.gateway.progress import Progress
from teaselpond.gateway.replies import Refusal
from teaselpond.gateway.routing_state import EngineRecord
from teaselpond.gateway.traits import traits_of
from teaselpond.upstreams.positions import UNKNOWN_POSITION
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.exchanges import SilentJournal, SimulatedFleet
from teaselpond_standins.testing.gateways import make_call, make_engine, make_route

RETRY_SLACK = 54.0
PLACEMENT = Placement(EngineRecord(make_engine(), 0.0, 0.0), 0, 0.0, 1, 0)


@define
class FixedPlacer:
    """Return the same placement for each call."""

    placement: Placement | NoPlacement = PLACEMENT

    def place(self, *args: object) -> Placement | NoPlacement:
        return self.placement


class NoSuspicion:
    """Suspect no call, and check no upstream."""

    async def space_trials(self, *args: object) -> None:
        return None

    def is_refused(self, *args: object) -> bool:
        return False

    def is_on_probation(self, *args: object) -> bool:
        return False

    def must_check(self, *args: object) -> bool:
        return False


class FullShares:
    """Use this host's share of connections at the only upstream."""

    def full_ids(self, service: str, now: float) -> frozenset[str]:
        return frozenset({PLACEMENT.record.engine.engine_id})


class NextAttemptsTests(AsyncTestCase):
    """Decide for calls of one of three hosts that share a budget."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = SimulatedFleet(3, retry_slack=RETRY_SLACK)
        self.fleet.run(3.0)
        self.peer = self.fleet.live_peers[0]
        self.placer = FixedPlacer()
        self.drain = Drain(8.0)
        self.next_attempts = NextAttempts(
            self.placer,
            NoSuspicion(),
            NoSuspicion(),
            self.peer.host.retries,
            self.drain,
            SilentJournal("", 0),
            Metrics(),
            lambda: self.fleet.now,
            self.peer.host.host_count,
        )
        self.call = make_call(self.fleet.now, route=make_route(max_attempts=3))
        self.progress = Progress(traits_of(self.call))

    async def decide(self, open_count: int = 0) -> Placement | Wait | NoAttempt:
        """Return the next step of the call."""
        return await self.next_attempts.decide(self.call, self.progress, open_count)

    def use_unreported_retries(self) -> None:
        """Use all retries that peers need not have heard of."""
        retries = self.peer.host.retries
        retries.record_request(self.call.service, self.fleet.now)
        self.fleet.now += CONFIRMATION_CHECK_SECONDS
        arguments = (self.call.service, self.fleet.now, self.peer.host.host_count())
        while retries.try_acquire(*arguments):
            continue
        self.assertTrue(retries.awaits_confirmation(*arguments))

    async def test_first_attempt_is_no_retry(self) -> None:
        """It needs no budget."""
        self.use_unreported_retries()
        self.assertIs(PLACEMENT, await self.decide())

    async def test_retry_waits_for_a_confirmation(self) -> None:
        """Guard against calls refused a round trip before they may retry."""
        self.use_unreported_retries()
        self.progress.arrivals = self.progress.runs = 1
        self.progress.may_run = True
        self.assertIsInstance(await self.decide(), Wait)
        self.fleet.run(MAX_CONFIRMATION_WAIT_SECONDS)
        self.assertIs(PLACEMENT, await self.decide())

    async def test_retry_does_not_wait_for_ever(self) -> None:
        """A call is refused when no peer confirms anything."""
        self.use_unreported_retries()
        self.progress.arrivals = self.progress.runs = 1
        self.progress.may_run = True
        self.assertIsInstance(await self.decide(), Wait)
        self.fleet.now += MAX_CONFIRMATION_WAIT_SECONDS + CONFIRMATION_CHECK_SECONDS
        self.assertIsInstance(await self.decide(), NoAttempt)

    async def test_attempt_beside_an_open_one_is_a_retry(self) -> None:
        """It counts in the budget."""
        retries = self.peer.host.retries.for_service(self.call.service, self.fleet.now)
        self.assertIs(PLACEMENT, await self.decide(open_count=1))
        self.assertEqual(1, retries.retry_count(self.fleet.now))

    async def test_open_attempts_count_as_runs(self) -> None:
        """A call runs at no more upstreams than its route allows."""
        self.progress.runs = self.progress.arrivals = 1
        self.assertIs(PLACEMENT, await self.decide(open_count=1))
        self.assertEqual(NoAttempt(Refusal.BROKEN), await self.decide(open_count=2))

    async def test_stream_at_an_unknown_position(self) -> None:
        """Guards against a stream that is begun again (ORDER)."""
        self.progress.position = UNKNOWN_POSITION
        self.assertEqual(NoAttempt(Refusal.BROKEN), await self.decide())
        self.assertEqual(NoAttempt(Refusal.BROKEN), await self.decide(open_count=1))

    async def test_stream_that_goes_on_before_its_next_attempt(self) -> None:
        """Guards against one that is begun again by then (ORDER)."""

        async def send_more(progress: Progress) -> None:
            progress.position = UNKNOWN_POSITION

        self.next_attempts.crash_reports.space_trials = send_more
        self.assertEqual(NoAttempt(Refusal.BROKEN), await self.decide(open_count=1))

    async def test_call_that_must_not_run_twice(self) -> None:
        """It has one attempt at a time."""
        self.call = make_call(
            self.fleet.now, route=make_route(max_attempts=3, is_resumable=False)
        )
        self.assertIs(PLACEMENT, await self.decide())
        self.assertIsInstance(await self.decide(open_count=1), NoAttempt)

    async def test_placements_are_limited(self) -> None:
        """Upstreams that shed a call count too."""
        self.progress.placements = MAX_PLACEMENTS
        self.assertIsInstance(await self.decide(open_count=1), NoAttempt)

    async def test_late_in_a_planned_stop(self) -> None:
        """No attempt is made whose answer may come after the grace."""
        self.drain.start_stop(self.fleet.now - 7.0)
        self.progress.may_run = True
        self.assertEqual(NoAttempt(Refusal.LEAVING), await self.decide(open_count=1))

    async def test_no_other_upstream(self) -> None:
        """Nothing is used of the budget."""
        self.placer.placement = NoPlacement("all-tried", 1)
        step = await self.decide(open_count=1)
        self.assertEqual(NoAttempt(Refusal.NO_UPSTREAM), step)
        retries = self.peer.host.retries.for_service(self.call.service, self.fleet.now)
        self.assertEqual(0, retries.retry_count(self.fleet.now))

    async def test_upstreams_whose_connections_are_used(self) -> None:
        """Guards against a wait until the deadline, and a look each 5 ms.

        No upstream has rejected anything, so no capacity is known to lack.
        """
        self.next_attempts.connections = FullShares()
        self.placer.placement = NoPlacement("all-tried", 1)
        objective_seconds = self.call.route.objective_seconds
        self.call = make_call(
            self.fleet.now,
            route=self.call.route,
            expires_at=self.fleet.now + 10 * objective_seconds,
        )
        started_at, looks = self.fleet.now, 0
        while isinstance(step := await self.decide(), Wait):
            self.fleet.now += step.seconds
            looks += 1
        self.assertIs(Refusal.OVERLOADED, step.refusal)
        held_seconds = self.fleet.now - started_at
        self.assertLess(held_seconds, 1.2 * objective_seconds)
        self.assertLess(looks, 30 * held_seconds)

    async def test_upstream_that_was_tried_and_resets(self) -> None:
        """Guards against a wait for an upstream that the call may not use."""
        self.next_attempts.connections = FullShares()
        self.placer.placement = NoPlacement("all-tried", 1)
        self.progress.tried_ids.add(PLACEMENT.record.engine.engine_id)
        self.assertEqual(NoAttempt(Refusal.NO_UPSTREAM), await self.decide())
