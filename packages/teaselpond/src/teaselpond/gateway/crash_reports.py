"""Report what attempts tell of requests that crash upstreams."""

import asyncio
import heapq
import random
from collections.abc import Callable, Iterable

from attrs import define, field

from .attempts import Attempt
from .calls import Call
from .health import HealthTracker
from .journal import Journal
from .liveness import answered_at
from .loads import LoadTracker
from .poison import PoisonTracker, QuarantineChange
from .progress import Progress
from .traits import Trait

# A host hears of a trial at another one within a few milliseconds.
MAX_TRIAL_DELAY_SECONDS = 0.1
# An upstream that crashes on a part of a prompt may have sent some events
# before. Streams that last longer accuse no part when another crash ends them.
UNDERWAY_SECONDS = 1.0
# An upstream that may still answer is suspected to have ended only if it is
# later than it should be by this time.
SLOW_SECONDS = 1.5
# Bounds a line of the log: those that ended most processes are named.
MAX_LOGGED_TRAITS = 16


@define(eq=False)
class CrashReports:
    """Record how attempts ended as evidence for and against their traits."""

    poison: PoisonTracker
    loads: LoadTracker
    health: HealthTracker
    journal: Journal
    clock: Callable[[], float]
    rng: random.Random = field(factory=random.Random)

    async def space_trials(self, progress: Progress) -> None:
        """Wait for a moment if a call may be sent in spite of a quarantine.

        One of several hosts that have such a call at the same time can tell
        the others. Two trials at one upstream would show nothing.
        """
        now = self.clock()
        if (
            not progress.is_quarantine_trial
            and self.poison.is_poisonous(progress.traits, now)
            and self.poison.may_try(progress.traits, now)
        ):
            await asyncio.sleep(self.rng.uniform(0, MAX_TRIAL_DELAY_SECONDS))

    def is_refused(self, call: Call, progress: Progress, now: float) -> bool:
        """Return whether a call is quarantined, and not to be tried again."""
        if progress.is_quarantine_trial and not progress.may_run:
            # It was sent to upstreams that did not run it.
            return False
        if not self.poison.is_poisonous(progress.traits, now):
            return False
        if not self.poison.start_trial(progress.traits, now):
            return True
        progress.is_quarantine_trial = True
        self.journal.write("quarantine-trial", now, id=call.head.request_id)
        return False

    def is_on_probation(self, progress: Progress) -> bool:
        """Return whether a call must be tried before it is sent."""
        return not progress.is_trial and self.poison.probation.holds(progress.traits)

    async def try_on_probation(self, call: Call, progress: Progress) -> bool:
        """Return whether a call is the next one to be sent on probation.

        It waits first, so that one of several hosts that have such a call at
        the same time can tell the others.
        """
        if not self.poison.probation.is_free(progress.traits, self.clock()):
            return False
        await asyncio.sleep(self.rng.uniform(0, MAX_TRIAL_DELAY_SECONDS))
        now = self.clock()
        progress.is_trial = self.poison.try_on_probation(progress.traits, now)
        if progress.is_trial:
            self.journal.write("probation-trial", now, id=call.head.request_id)
        return progress.is_trial

    def record_broken(
        self, call: Call, progress: Progress, attempt: Attempt, now: float
    ) -> None:
        """Record that an upstream broke an attempt off."""
        traits = _suspected_traits(progress, attempt)
        self._record_ended_process(call, progress, attempt, traits, now)

    def record_silence(
        self, call: Call, progress: Progress, attempt: Attempt, now: float
    ) -> None:
        """Record that an upstream ended if it has answered nobody since."""
        if now - attempt.heard_at < shortest_wait(call):
            return
        last_at = answered_at(attempt.engine.engine_id, self.health, self.loads)
        if last_at > attempt.heard_at:
            return
        traits = _suspected_traits(progress, attempt)
        if attempt.heard_at <= attempt.sent_at:
            # The upstream may have fallen silent before it got the call. All
            # prompts with a popular part may meet several such upstreams.
            traits = _without_parts(traits)
        self._record_ended_process(call, progress, attempt, traits, now)

    def record_events(
        self, call: Call, progress: Progress, attempt: Attempt, now: float
    ) -> None:
        """Record that events of an attempt's answer have come.

        Once they have come for a while, no part of the prompt crashes
        upstreams.
        """
        if attempt.begun_at is None:
            attempt.begun_at = now
        if attempt.is_underway or now - attempt.begun_at < UNDERWAY_SECONDS:
            return
        attempt.is_underway = True
        changes = self.poison.record_underway(progress.traits, now)
        self._log_changes(call, changes, now)

    def record_answer(self, call: Call, progress: Progress, now: float) -> None:
        """Record that the call was answered whole."""
        changes = self.poison.record_answer(progress.traits, now)
        self._log_changes(call, changes, now)

    def _record_ended_process(
        self,
        call: Call,
        progress: Progress,
        attempt: Attempt,
        traits: Iterable[Trait],
        now: float,
    ) -> None:
        progress.is_trial = False
        traits = tuple(traits)
        engine = attempt.engine
        refused = self.poison.record_own(traits, engine, attempt.sent_at, now)
        suspected = heapq.nlargest(MAX_LOGGED_TRAITS, traits, self.poison.count_ends)
        self.journal.write(
            "process-ended",
            now,
            id=call.head.request_id,
            engine=engine.engine_id,
            born_ms=engine.born_ms,
            ran_seconds=round(now - attempt.sent_at, 3),
            path=call.head.path,
            suspected=[
                f"{trait.scope.name.lower()} {trait.fingerprint.hex()}"
                for trait in suspected
            ],
            ends=[self.poison.count_ends(trait) for trait in suspected],
            trait_count=len(traits),
        )
        changes = [QuarantineChange(trait, True) for trait in refused]
        self._log_changes(call, changes, now)

    def _log_changes(
        self, call: Call, changes: Iterable[QuarantineChange], now: float
    ) -> None:
        for change in changes:
            is_quarantined = change.is_quarantined
            self.journal.write(
                "request-quarantined" if is_quarantined else "request-cleared",
                now,
                id=call.head.request_id,
                fingerprint=change.trait.fingerprint.hex(),
                scope=change.trait.scope.name.lower(),
                source="own",
            )


def shortest_wait(call: Call) -> float:
    """Return the shortest time in seconds that a call's upstream may take."""
    return min(call.route.objective_seconds, call.route.pause_seconds)


def _suspected_traits(progress: Progress, attempt: Attempt) -> tuple[Trait, ...]:
    """Return what may have ended the upstream of an attempt.

    A part that crashes upstreams does so before the answer is well underway.
    """
    return _without_parts(progress.traits) if attempt.is_underway else progress.traits


def _without_parts(traits: Iterable[Trait]) -> tuple[Trait, ...]:
    return tuple(trait for trait in traits if not trait.is_part)
