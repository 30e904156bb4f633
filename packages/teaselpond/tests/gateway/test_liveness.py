"""Test which calls are sent only after a health check of their upstream."""

import contextlib

from attrs import evolve

from teaselpond.gateway.assembly import make_sender
from teaselpond.gateway.backoffs import Backoffs
from teaselpond.gateway.balancing.load_reports import LoadReports
from teaselpond.gateway.balancing.metrics import BalancingMetrics
from teaselpond.gateway.engines import Engine
from teaselpond.gateway.health import HealthTracker, Result
from teaselpond.gateway.liveness import LivenessChecker
from teaselpond.gateway.loads import LoadTracker
from teaselpond.gateway.poison import PoisonTracker
from teaselpond.gateway.progress import Progress
from teaselpond.gateway.reports import AnswerReports
from teaselpond.gateway.routing_state import RoutingState
from teaselpond.gateway.traits import traits_of
from teaselpond.platform.adapter import PlatformAdapter
from teaselpond_standins.service import ListedUpstream
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.exchanges import SilentJournal
from teaselpond_standins.testing.gateways import (
    make_call,
    make_configuration,
    make_engine,
)
from teaselpond_standins.testing.relays import Relay, RelayMode


class LivenessCheckerTests(AsyncTestCase):
    """Check an upstream behind a path that accepts connections."""

    async def setup_checker(self, mode: RelayMode) -> None:
        """Create a call, and an upstream that it may be sent to."""
        self.now = 100.0
        self.upstream = await self.enter(ListedUpstream("e1"))
        cleanup = await self.enter(contextlib.AsyncExitStack())
        relay = Relay(self.upstream.address, mode)
        await relay.start()
        cleanup.push_async_callback(relay.stop)
        self.engine = evolve(make_engine("e1"), address=relay.address)
        state = RoutingState()
        state.update_configuration(make_configuration())
        sender = make_sender(PlatformAdapter())
        cleanup.push_async_callback(sender.close)
        self.poison, self.health = PoisonTracker(), HealthTracker()
        loads, journal = LoadTracker(), SilentJournal("", 0)
        self.departures = state.departures
        self.checker = LivenessChecker(
            sender,
            AnswerReports(
                state,
                LoadReports(loads, BalancingMetrics(), journal, 2.0),
                Backoffs(),
                journal,
            ),
            state,
            self.poison,
            self.health,
            loads,
            journal,
            lambda: self.now,
        )
        self.call = make_call()
        self.progress = Progress(traits_of(self.call))

    def end_process(self, engine: Engine) -> None:
        """End a process under the call, and let some time pass."""
        self.poison.record_own(self.progress.traits, engine, self.now - 0.1, self.now)
        self.now += 0.5

    def must_check(self) -> bool:
        """Return whether the call must be checked before it is sent."""
        return self.checker.must_check(self.progress, self.engine)

    async def check(self) -> None:
        """Check the upstream."""
        await self.checker.check(self.call, self.progress, self.engine)

    async def test_call_that_ended_no_process_is_sent_unchecked(self) -> None:
        """This is so for nearly all calls."""
        await self.setup_checker(RelayMode.PASS)
        self.assertFalse(self.must_check())

    async def test_call_that_ended_a_process_is_sent_after_an_answer(self) -> None:
        """The check asks for the service's health, without a request's id."""
        await self.setup_checker(RelayMode.PASS)
        self.end_process(make_engine("e2"))
        self.assertTrue(self.must_check())
        await self.check()
        self.assertFalse(self.must_check())
        self.assertEqual(set(), self.progress.tried_ids)
        self.assertEqual([], self.upstream.seen_calls)

    async def test_upstream_that_leaves_says_so_in_the_answer_to_a_check(self) -> None:
        """It gets no more requests."""
        await self.setup_checker(RelayMode.PASS)
        self.upstream.is_leaving = True
        self.end_process(make_engine("e2"))
        await self.check()
        self.assertTrue(self.departures.contains(self.engine, self.now))

    async def test_upstream_that_answered_others_since_is_not_checked(self) -> None:
        """It lives."""
        await self.setup_checker(RelayMode.PASS)
        self.end_process(make_engine("e2"))
        self.health.get("e1").record(Result.SUCCESS, self.now)
        self.assertFalse(self.must_check())

    async def test_upstream_that_ended_since_its_check_is_checked_again(self) -> None:
        """Each end is followed by a check."""
        await self.setup_checker(RelayMode.PASS)
        self.end_process(make_engine("e2"))
        await self.check()
        self.now += 0.5
        self.end_process(self.engine)
        self.assertTrue(self.must_check())

    async def test_unreachable_upstream_that_answers_the_check_is_used(self) -> None:
        """The call for which it was checked would be refused otherwise."""
        await self.setup_checker(RelayMode.PASS)
        self.end_process(make_engine("e2"))
        self.health.get("e1").record(Result.UNREACHABLE, self.now)
        await self.check()
        self.assertEqual(["e1"], self.health.healthy(["e1"], self.now))

    async def test_upstream_that_resets_the_check_is_left_out(self) -> None:
        """Nothing is sent to it, and its health suffers."""
        await self.setup_checker(RelayMode.REFUSE)
        self.end_process(make_engine("e2"))
        await self.check()
        self.assertEqual({"e1"}, self.progress.tried_ids)
        self.assertEqual(1, self.health.get("e1").consecutive_failures)
        self.assertTrue(self.must_check())

    async def test_upstream_that_is_slow_to_answer_is_left_out(self) -> None:
        """All its slots may be busy, so its health does not suffer."""
        await self.setup_checker(RelayMode.SILENT)
        self.end_process(make_engine("e2"))
        await self.check()
        self.assertEqual({"e1"}, self.progress.tried_ids)
        self.assertEqual(0, self.health.get("e1").consecutive_failures)
