"""Play prompts with a crashing part in a large fleet, without a network."""

import heapq
import itertools
import random
from collections.abc import Callable

import testtools
from attrs import define, field

from teaselpond.gateway.traits import Trait, traits_of
from teaselpond_standins.testing.exchanges import SimulatedFleet, SimulatedPeer
from teaselpond_standins.testing.gateways import (
    make_call,
    make_engine,
    make_head,
    make_prompt,
)

FLEET_SIZE = 120
ENGINES = 150
SETTLE_SECONDS = 2.0
PLAY_SECONDS = 5.0
STEP_SECONDS = 0.05
# An engine begins to answer a prompt so long after it was sent.
BEGIN_SECONDS = 0.15
DOWN_SECONDS = 3.0
SOUND_PER_SECOND = 200
DOCUMENTS = 200
# So many prompts may be sent later than CONTACT_SECONDS after the fifth crash.
CRASHES = 5
CONTACT_SECONDS = 3.0
ALLOWED_LATE_PROMPTS = 3
# Nearly all hosts hear of a quarantine in this time; some datagrams are lost.
ANNOUNCED_SECONDS = 0.02
MIN_TOLD_SHARE = 0.9


@define(eq=False)
class PlayedEngine:
    """Hold an engine's process, and what it was sent and has not begun."""

    number: int
    started: int = 1
    back_at: float = 0.0
    waiting: list[tuple[SimulatedPeer, tuple[Trait, ...], float]] = field(factory=list)


@define(eq=False)
class CrashingPartPlay:
    """Send prompts to engines, some of which crash them, through all hosts.

    ``late`` are when crashing prompts were sent in spite of all; of the sound
    ones, ``sound_sent`` and ``sound_refused`` count those after the bound.
    """

    fleet: SimulatedFleet
    crashing_per_second: float
    rng: random.Random = field(factory=lambda: random.Random(7))
    engines: list[PlayedEngine] = field(
        factory=lambda: [PlayedEngine(number) for number in range(ENGINES)]
    )
    crashed_at: list[float] = field(factory=list)
    late: list[float] = field(factory=list)
    sound_sent: int = 0
    sound_refused: int = 0
    _numbers: itertools.count = field(factory=itertools.count)
    _due: list[tuple[float, int, Callable[[], None]]] = field(factory=list)

    def run(self, seconds: float) -> None:
        """Send both kinds of prompts for some time."""
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            for is_crashing, rate in (
                (True, self.crashing_per_second),
                (False, SOUND_PER_SECOND),
            ):
                expected = rate * STEP_SECONDS
                count = int(expected) + (self.rng.random() < expected % 1)
                for _ in range(count):
                    self._send(is_crashing)
            self.fleet.run(STEP_SECONDS)
            while self._due and self._due[0][0] <= self.fleet.now:
                heapq.heappop(self._due)[2]()

    def _send(self, is_crashing: bool) -> None:
        now = self.fleet.now
        number = next(self._numbers)
        document = f"document{self.rng.randrange(DOCUMENTS)}"
        parts = ("first", document, *(("bad",) if is_crashing else ()), f"own{number}")
        head = make_head(prompt=make_prompt(*parts))
        traits = traits_of(make_call(head=head, body=b"%d" % number))
        peer = self.rng.choice(self.fleet.live_peers)
        is_refused = peer.host.poison.is_poisonous(traits, now)
        is_late = (
            len(self.crashed_at) >= CRASHES
            and now > self.crashed_at[CRASHES - 1] + CONTACT_SECONDS
        )
        if is_late and not is_crashing:
            self.sound_sent += 1
            self.sound_refused += is_refused
        if is_refused:
            return
        if is_late and is_crashing:
            self.late.append(now)
        engine = self.rng.choice([each for each in self.engines if each.back_at <= now])
        sent = (peer, traits, now)
        engine.waiting.append(sent)
        started = engine.started
        item = (
            now + BEGIN_SECONDS,
            number,
            lambda: self._begin(engine, started, sent, is_crashing),
        )
        heapq.heappush(self._due, item)

    def _begin(
        self,
        engine: PlayedEngine,
        started: int,
        sent: tuple[SimulatedPeer, tuple[Trait, ...], float],
        is_crashing: bool,
    ) -> None:
        if engine.started != started:
            return
        now = self.fleet.now
        if not is_crashing:
            engine.waiting.remove(sent)
            sent[0].host.poison.record_underway(sent[1], now)
            return
        process = make_engine(f"e{engine.number}", born_ms=engine.started)
        for peer, traits, sent_at in engine.waiting:
            peer.host.poison.record_own(traits, process, sent_at, now)
        engine.waiting = []
        engine.started += 1
        engine.back_at = now + DOWN_SECONDS
        self.crashed_at.append(now)


class LargeFleetTests(testtools.TestCase):
    """Find a crashing part in a fleet where no host sees several crashes."""

    def make_fleet(self) -> SimulatedFleet:
        """Return a fleet whose hosts know one another."""
        fleet = SimulatedFleet(FLEET_SIZE)
        fleet.meet()
        fleet.run(SETTLE_SECONDS)
        for peer in fleet.live_peers:
            peer.host.poison.announce = peer.exchange.announce
        return fleet

    def play(self, crashing_per_second: float) -> CrashingPartPlay:
        """Send prompts to a fleet whose hosts know one another."""
        play = CrashingPartPlay(self.make_fleet(), crashing_per_second)
        play.run(PLAY_SECONDS)
        return play

    def check(self, play: CrashingPartPlay) -> None:
        """Check that few crashing prompts came late, and sound ones ran."""
        self.assertGreaterEqual(len(play.crashed_at), 3)
        self.assertLessEqual(len(play.late), ALLOWED_LATE_PROMPTS)
        self.assertEqual(0, play.sound_refused)

    def test_quarantine_is_announced_at_once(self) -> None:
        """Peers refuse the part before their next heartbeats."""
        fleet = self.make_fleet()
        head = make_head(prompt=make_prompt("first", "bad", "own"))
        traits = traits_of(make_call(head=head))
        first = fleet.live_peers[0].host.poison
        for number in range(3):
            sent_at = fleet.now
            fleet.run(0.1)
            engine = make_engine(f"e{number}")
            first.record_own(traits[1:2], engine, sent_at, fleet.now)
        fleet.run(ANNOUNCED_SECONDS)
        refusing = [
            peer
            for peer in fleet.live_peers
            if peer.host.poison.is_poisonous(traits, fleet.now)
        ]
        self.assertGreater(len(refusing), MIN_TOLD_SHARE * FLEET_SIZE)

    def test_few_prompts_with_the_part(self) -> None:
        """Crashes come one by one, at different hosts."""
        self.check(self.play(2.0))

    def test_many_prompts_with_the_part(self) -> None:
        """Many engines crash before any host hears of the second crash."""
        play = self.play(80.0)
        self.check(play)
        self.assertGreater(play.sound_sent, 0)
