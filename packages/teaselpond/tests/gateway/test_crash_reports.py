"""Test what the end of an attempt says of its request's traits."""

import asyncio
import math
import random
import time

import testtools

from teaselpond.gateway.attempts import Attempt
from teaselpond.gateway.crash_reports import UNDERWAY_SECONDS, CrashReports
from teaselpond.gateway.health import HealthTracker, Result
from teaselpond.gateway.loads import LoadTracker
from teaselpond.gateway.placement import Placement
from teaselpond.gateway.poison import QUARANTINE_TRIAL_SECONDS, PoisonTracker
from teaselpond.gateway.progress import Progress
from teaselpond.gateway.routing_state import EngineRecord
from teaselpond.gateway.traits import Scope, traits_of
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.exchanges import SilentJournal
from teaselpond_standins.testing.gateways import (
    make_call,
    make_engine,
    make_head,
    make_prompt,
    make_prompt_traits,
)

CRASHES = 3
SILENT_SECONDS = 2.0


class CrashReportsTests(testtools.TestCase):
    """End some attempts of different prompts with one part in the same way."""

    def setUp(self) -> None:
        super().setUp()
        self.poison = PoisonTracker()
        self.reports = CrashReports(
            self.poison,
            LoadTracker(),
            HealthTracker(),
            SilentJournal("", 0),
            lambda: self.now,
        )
        self.now = 100.0

    def make_attempt(self, number: int) -> tuple:
        """Return a call with the part, and an attempt of it that was sent."""
        prompt = make_prompt("first", "part", f"own{number}")
        call = make_call(head=make_head(prompt=prompt), body=b"%d" % number)
        engine = make_engine(f"e{number}")
        placement = Placement(EngineRecord(engine, 0.0, 0.0), 0, 0.0, 1, 0)
        attempt = Attempt(placement, self.now)
        return call, Progress(traits_of(call)), attempt

    def refused_scopes(self) -> list[Scope]:
        """Return the scopes of a new prompt's traits that are refused."""
        call, _, _ = self.make_attempt(99)
        return [
            trait.scope
            for trait in traits_of(call)
            if self.poison.is_poisonous((trait,), self.now)
        ]

    def break_off(self, *, events_seconds: float | None) -> None:
        """Break attempts off one after another.

        Their events came for ``events_seconds``; there were none if None.
        """
        for number in range(CRASHES):
            call, progress, attempt = self.make_attempt(number)
            if events_seconds is not None:
                self.reports.record_events(call, progress, attempt, self.now)
                self.now += events_seconds
                self.reports.record_events(call, progress, attempt, self.now)
            self.now += 0.5
            self.reports.record_broken(call, progress, attempt, self.now)

    def fall_silent(self, *, after_seconds: float) -> None:
        """Let upstreams fall silent some time after they were sent a call."""
        for number in range(CRASHES):
            call, progress, attempt = self.make_attempt(number)
            attempt.heard_at += after_seconds
            self.now += SILENT_SECONDS
            self.reports.record_silence(call, progress, attempt, self.now)

    def test_attempts_that_had_not_begun_accuse_the_part(self) -> None:
        """Prompts with the same last shared part are refused."""
        self.break_off(events_seconds=None)
        self.assertEqual([Scope.LAST_SHARED_PART], self.refused_scopes())

    def test_upstreams_that_crash_after_the_first_events_accuse_the_part(self) -> None:
        """They had begun to write, and may have sent what they had."""
        self.break_off(events_seconds=0.05)
        self.assertEqual([Scope.LAST_SHARED_PART], self.refused_scopes())

    def test_upstreams_that_crash_some_events_later_accuse_the_part(self) -> None:
        """They crashed on the fifth event, 0.15 s after the one before."""
        self.break_off(events_seconds=0.6)
        self.assertEqual([Scope.LAST_SHARED_PART], self.refused_scopes())

    def test_attempts_that_had_begun_accuse_no_part(self) -> None:
        """The upstream did not crash on a part that it wrote on before."""
        self.break_off(events_seconds=UNDERWAY_SECONDS)
        self.assertEqual([], self.refused_scopes())

    def test_upstreams_that_fell_silent_after_a_head_accuse_the_part(self) -> None:
        """They lived when they were sent the prompt."""
        self.fall_silent(after_seconds=0.1)
        self.assertEqual([Scope.LAST_SHARED_PART], self.refused_scopes())

    def test_upstreams_that_sent_nothing_accuse_no_part(self) -> None:
        """They may have been silent before, as in the loss of a zone."""
        self.fall_silent(after_seconds=0.0)
        self.assertEqual([], self.refused_scopes())

    def test_upstream_that_answered_others_since_is_not_accused(self) -> None:
        """It is slow."""
        for number in range(CRASHES):
            health = self.reports.health.get(f"e{number}")
            health.record(Result.SUCCESS, math.inf)
        self.fall_silent(after_seconds=0.1)
        self.assertEqual([], self.refused_scopes())

    def test_call_is_sent_in_spite_of_a_quarantine_once(self) -> None:
        """The next one is refused until its result is known."""
        self.break_off(events_seconds=None)
        self.now += QUARANTINE_TRIAL_SECONDS
        call, progress, attempt = self.make_attempt(CRASHES)
        self.assertFalse(self.reports.is_refused(call, progress, self.now))
        progress.may_run = True
        self.assertTrue(self.reports.is_refused(call, progress, self.now))
        next_call, next_progress, _ = self.make_attempt(CRASHES + 1)
        self.assertTrue(self.reports.is_refused(next_call, next_progress, self.now))
        self.reports.record_events(call, progress, attempt, self.now + 0.1)
        self.assertTrue(self.reports.is_refused(call, progress, self.now + 0.1))
        later = self.now + 0.1 + UNDERWAY_SECONDS
        self.reports.record_events(call, progress, attempt, later)
        self.assertFalse(self.reports.is_refused(call, progress, later))

    def test_trial_that_no_upstream_ran_goes_on(self) -> None:
        """Upstreams that have crashed are still listed for a while."""
        self.break_off(events_seconds=None)
        self.now += QUARANTINE_TRIAL_SECONDS
        call, progress, _ = self.make_attempt(CRASHES)
        other_call, other_progress, _ = self.make_attempt(CRASHES + 1)
        for _ in range(3):
            self.assertFalse(self.reports.is_refused(call, progress, self.now))
            self.assertTrue(
                self.reports.is_refused(other_call, other_progress, self.now)
            )
        progress.may_run = True
        self.assertTrue(self.reports.is_refused(call, progress, self.now))


class TrialsOfSeveralHostsTests(AsyncTestCase):
    """Have prompts with a refused part at several hosts at the same time."""

    def make_reports(self, seed: int) -> CrashReports:
        """Return the reports of a host that refuses the part."""
        reports = CrashReports(
            PoisonTracker(),
            LoadTracker(),
            HealthTracker(),
            SilentJournal("", 0),
            time.monotonic,
            random.Random(seed),
        )
        at = time.monotonic() - QUARANTINE_TRIAL_SECONDS
        part = make_prompt_traits("first", "part")[1]
        reports.poison.quarantine(part, at, at)
        return reports

    async def test_one_of_several_hosts_tries_the_part(self) -> None:
        """It guards against trials that crash the upstream of each other."""
        hosts = [self.make_reports(seed) for seed in range(4)]
        for host in hosts:
            host.poison.announce = lambda host=host: [
                other.poison.merge_news(
                    host.poison.pack_news(time.monotonic()), time.monotonic()
                )
                for other in hosts
                if other is not host
            ]

        async def is_sent(number: int) -> bool:
            traits = make_prompt_traits("first", "part", number=number)
            progress = Progress(traits)
            await hosts[number].space_trials(progress)
            now = time.monotonic()
            return not hosts[number].is_refused(make_call(), progress, now)

        sent = await asyncio.gather(*(is_sent(number) for number in range(len(hosts))))
        self.assertEqual(1, sum(sent))
