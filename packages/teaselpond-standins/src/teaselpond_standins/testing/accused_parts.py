"""Play sound prompts beside ones that crash upstreams by a part of theirs.

Hosts exchange heartbeats on simulated time; upstreams are played.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, field, frozen

from teaselpond.gateway.crash_reports import UNDERWAY_SECONDS
from teaselpond.gateway.traits import Trait

from .exchanges import SimulatedFleet, SimulatedPeer
from .gateways import make_engine, make_prompt_traits

SETTLE_SECONDS = 2.0
STEP_SECONDS = 0.01
# So many prompts may be sent later than CONTACT_SECONDS after the fifth crash.
CRASHES = 5
CONTACT_SECONDS = 3.0
ALLOWED_LATE_PROMPTS = 3
# From twice that time on, at least half of the sound prompts are served.
MIN_SOUND_PROMPTS = 20
OTHER_CRASH_GAP_SECONDS = 0.1


@frozen
class Kind:
    """Describe prompts of one kind.

    ``parts`` are the shared ones; ``*`` in a name stands for one of
    ``variants`` numbers.
    """

    parts: tuple[str, ...]
    per_second: float
    variants: int = 1

    def shared_parts(self, rng: random.Random) -> tuple[str, ...]:
        """Return the shared parts of the next prompt."""
        number = str(rng.randrange(self.variants))
        return tuple(part.replace("*", number) for part in self.parts)


@frozen
class Plan:
    """Describe a play: its prompts, hosts and upstreams, and its times.

    ``other_crashes`` upstreams crash for another reason as the trouble begins,
    one after another. Sound prompts of the kind ``beside`` come throughout.
    """

    crashing: Kind
    sound: Kind
    hosts: int = 2
    engines: int = 6
    attempts: int = 2
    crash_seconds: float = 0.03
    answer_seconds: float = 0.18
    return_seconds: float = 3.0
    calm_seconds: float = 5.0
    trouble_seconds: float = 24.0
    is_answered_in_calm: bool = False
    other_crashes: int = 0
    beside: Kind | None = None


@frozen
class Sent:
    """Hold one attempt at an upstream."""

    peer: SimulatedPeer
    traits: tuple[Trait, ...]
    at: float
    crashes: bool
    attempts_left: int


@define(eq=False)
class PlayedEngine:
    """Hold an upstream's process and what it works on."""

    number: int
    started: int = 1
    back_at: float = 0.0
    running: list[Sent] = field(factory=list)


@define(eq=False)
class Play:
    """Send the prompts of a plan through a few hosts on simulated time.

    Keep when upstreams crashed and were sent crashing prompts, and when sound
    ones came and whether they were sent.
    """

    plan: Plan
    rng: random.Random
    fleet: SimulatedFleet = field(init=False)
    engines: list[PlayedEngine] = field(init=False)
    crashed_at: list[float] = field(factory=list)
    crashing_sent_at: list[float] = field(factory=list)
    sound: list[tuple[float, bool]] = field(factory=list)
    trouble_at: float = 0.0
    _numbers: itertools.count = field(factory=itertools.count)
    _due: list[tuple[float, int, Callable[[], None]]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.engines = [PlayedEngine(number) for number in range(self.plan.engines)]
        self.fleet = SimulatedFleet(
            self.plan.hosts, zone_count=min(2, self.plan.hosts), seed=1
        )
        self.fleet.meet()
        self.fleet.run(SETTLE_SECONDS)
        for peer in self.fleet.live_peers:
            peer.host.poison.announce = peer.exchange.announce

    def run(self) -> None:
        """Play the calm time, and then the trouble."""
        plan = self.plan
        sound = (plan.sound, False)
        if plan.is_answered_in_calm:
            self._send_for(plan.calm_seconds, [sound, (plan.crashing, False)])
            # No answer on the part that began in calm goes on in the trouble.
            self._send_for(plan.answer_seconds, [sound])
        else:
            self._send_for(plan.calm_seconds, [sound])
        self.trouble_at = self.fleet.now
        for number in range(plan.other_crashes):
            engine = self.engines[number]
            at = self.trouble_at + (number + 1) * OTHER_CRASH_GAP_SECONDS
            self._call_at(at, lambda engine=engine: self._crash(engine))
        self._send_for(
            plan.trouble_seconds, [(plan.sound, False), (plan.crashing, True)]
        )

    @property
    def late_prompts(self) -> int:
        """Return how many crashing prompts were sent later than allowed."""
        if len(self.crashed_at) < CRASHES:
            return 0
        limit = self.crashed_at[CRASHES - 1] + CONTACT_SECONDS
        return sum(at > limit for at in self.crashing_sent_at)

    @property
    def late_sound(self) -> list[bool]:
        """Return which sound prompts were sent once they must be."""
        last = (self.crashed_at[:CRASHES] or [self.trouble_at])[-1]
        since = last + 2 * CONTACT_SECONDS
        return [is_sent for at, is_sent in self.sound if at >= since]

    def _send_for(self, seconds: float, kinds: list[tuple[Kind, bool]]) -> None:
        end = self.fleet.now + seconds
        if self.plan.beside is not None:
            kinds = [*kinds, (self.plan.beside, False)]
        while self.fleet.now < end:
            for kind, crashes in kinds:
                if self.rng.random() < kind.per_second * STEP_SECONDS:
                    self._receive(kind, crashes)
            self.fleet.run(STEP_SECONDS)
            while self._due and self._due[0][0] <= self.fleet.now:
                heapq.heappop(self._due)[2]()

    def _receive(self, kind: Kind, crashes: bool) -> None:
        shared = kind.shared_parts(self.rng)
        traits = make_prompt_traits(*shared, number=next(self._numbers))
        peer = self.rng.choice(self.fleet.live_peers)
        is_sent = self._send(peer, traits, crashes, self.plan.attempts)
        if kind is self.plan.sound and self.trouble_at:
            self.sound.append((self.fleet.now, is_sent))

    def _send(
        self,
        peer: SimulatedPeer,
        traits: tuple[Trait, ...],
        crashes: bool,
        attempts: int,
    ) -> bool:
        now = self.fleet.now
        poison = peer.host.poison
        if poison.is_poisonous(traits, now) and not poison.start_trial(traits, now):
            return False
        up = [engine for engine in self.engines if engine.back_at <= now]
        if not up:
            return False
        engine = self.rng.choice(up)
        sent = Sent(peer, traits, now, crashes, attempts - 1)
        engine.running.append(sent)
        if crashes:
            self.crashing_sent_at.append(now)
        process = engine.started
        if crashes:
            self._call_at(
                now + self.plan.crash_seconds,
                lambda: self._crash(engine, process),
            )
            return True
        if self.plan.answer_seconds > UNDERWAY_SECONDS:
            self._call_at(
                now + UNDERWAY_SECONDS + 0.05,
                lambda: self._pass_on(engine, process, sent),
            )
        self._call_at(
            now + self.plan.answer_seconds,
            lambda: self._answer(engine, process, sent),
        )
        return True

    def _call_at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), action))

    def _pass_on(self, engine: PlayedEngine, process: int, sent: Sent) -> None:
        if engine.started == process and sent in engine.running:
            sent.peer.host.poison.record_underway(sent.traits, self.fleet.now)

    def _answer(self, engine: PlayedEngine, process: int, sent: Sent) -> None:
        if engine.started == process and sent in engine.running:
            engine.running.remove(sent)
            sent.peer.host.poison.record_answer(sent.traits, self.fleet.now)

    def _crash(self, engine: PlayedEngine, process: int | None = None) -> None:
        if process is not None and engine.started != process:
            return
        now = self.fleet.now
        self.crashed_at.append(now)
        ended = make_engine(f"e{engine.number}", born_ms=engine.started)
        cut, engine.running = engine.running, []
        engine.started += 1
        engine.back_at = now + self.plan.return_seconds
        for sent in cut:
            if now - sent.at <= UNDERWAY_SECONDS:
                sent.peer.host.poison.record_own(sent.traits, ended, sent.at, now)
        for sent in cut:
            if sent.attempts_left:
                self._send(sent.peer, sent.traits, sent.crashes, sent.attempts_left)

    def explain_failure(self) -> str:
        """Return which of both promises was broken; empty if none was."""
        sound = self.late_sound
        seen = (
            f"{len(self.crashed_at)} crashes, {self.late_prompts} late prompts,"
            f" {sum(sound)} of {len(sound)} sound ones sent: {self.plan}"
        )
        if self.late_prompts > ALLOWED_LATE_PROMPTS:
            return f"crashing prompts are still sent: {seen}"
        if len(sound) >= MIN_SOUND_PROMPTS and 2 * sum(sound) <= len(sound):
            return f"sound prompts are refused: {seen}"
        return ""
