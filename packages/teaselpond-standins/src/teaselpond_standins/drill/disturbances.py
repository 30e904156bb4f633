"""Draw a seeded schedule of the disturbances of a drill."""

import random
from collections.abc import Callable

from attrs import frozen

from ..engine import EngineFaultKind
from ..fleet import FleetPlan
from ..platform import PlatformFaultKind
from ..service import ServiceFaultKind
from .scheduling import draw_in_turn

# No disturbances at the start, to let the engines warm up a little.
CALM_SECONDS = 2.0


@frozen
class Disturbance:
    """Describe a disturbance.

    ``at`` is in seconds after the start of the drill; ``seconds`` is the
    duration, 0 for a disturbance that is not undone.
    """

    at: float
    seconds: float


@frozen
class KillDaemon(Disturbance):
    """Kill a daemon, and start it again after ``seconds``."""

    daemon_id: str


@frozen
class PauseDaemon(Disturbance):
    """Suspend a daemon's process (SIGSTOP) and continue it afterwards."""

    daemon_id: str


@frozen
class StopDaemon(Disturbance):
    """Stop a daemon gracefully (SIGTERM) and start it again afterwards."""

    daemon_id: str


@frozen
class CrashEngine(Disturbance):
    """Crash an engine, which restarts cold."""

    engine_id: str


@frozen
class PauseEngine(Disturbance):
    """Make an engine stall with its connections open."""

    engine_id: str


@frozen
class TurnEngineCold(Disturbance):
    """Reset an engine to its cold capacity without announcing it."""

    engine_id: str


@frozen
class DrainEngine(Disturbance):
    """Register an engine as leaving, and as live again afterwards."""

    engine_id: str


@frozen
class InjectEngineFaults(Disturbance):
    """Inject faults into the next ``count`` answers of an engine.

    ``event`` is the number of the stream event after which the fault occurs;
    0 is before the first.
    """

    engine_id: str
    kind: EngineFaultKind
    event: int
    count: int


@frozen
class InjectServiceFaults(Disturbance):
    """Inject faults into the next calls of a plain service."""

    service_id: str
    kind: ServiceFaultKind
    count: int


@frozen
class StopPlatform(Disturbance):
    """Make the platform refuse every connection."""


@frozen
class InjectPlatformFaults(Disturbance):
    """Inject faults into the next ``count`` calls of the platform."""

    kind: PlatformFaultKind
    operation: str
    count: int


@frozen
class TakeZoneOut(Disturbance):
    """Take an availability zone out of service, and put it back later."""

    zone: str


@frozen
class RaceOperators(Disturbance):
    """Let several operators change one workspace at the same time."""

    workspace: str


@frozen
class SendPoison(Disturbance):
    """Send a request several times that crashes each engine that runs it."""

    word: str


ENGINE_FAULT_KINDS = (
    EngineFaultKind.BREAK,
    EngineFaultKind.FORGET,
    EngineFaultKind.SILENCE,
    EngineFaultKind.TRUNCATE,
    EngineFaultKind.CROSS,
    EngineFaultKind.DUPLICATE,
    EngineFaultKind.RUBBISH,
    EngineFaultKind.REFUSE,
)
SERVICE_FAULT_KINDS = tuple(ServiceFaultKind)
PLATFORM_FAULT_KINDS = (
    PlatformFaultKind.LOSE_ANSWER,
    PlatformFaultKind.DROP,
    PlatformFaultKind.REFUSE,
    PlatformFaultKind.SLOW,
    PlatformFaultKind.RUBBISH,
)


@frozen
class DisturbanceGenerator:
    """Draw disturbances of each kind from one seeded generator."""

    random: random.Random
    plan: FleetPlan
    service_ids: tuple[str, ...]
    workspaces: tuple[str, ...]

    def kill_daemon(self, at: float) -> Disturbance:
        """Draw a daemon to kill."""
        return KillDaemon(at, self._seconds(0.5, 3), self._daemon())

    def pause_daemon(self, at: float) -> Disturbance:
        """Draw a daemon to pause, sometimes for longer than its lease."""
        return PauseDaemon(at, self._seconds(1, 15), self._daemon())

    def stop_daemon(self, at: float) -> Disturbance:
        """Draw a daemon to stop."""
        return StopDaemon(at, self._seconds(0.5, 3), self._daemon())

    def crash_engine(self, at: float) -> Disturbance:
        """Draw an engine to crash."""
        return CrashEngine(at, 0, self._engine())

    def pause_engine(self, at: float) -> Disturbance:
        """Draw an engine to pause."""
        return PauseEngine(at, self._seconds(1, 8), self._engine())

    def turn_engine_cold(self, at: float) -> Disturbance:
        """Draw an engine to reset to its cold capacity."""
        return TurnEngineCold(at, 0, self._engine())

    def drain_engine(self, at: float) -> Disturbance:
        """Draw an engine to list as leaving."""
        return DrainEngine(at, self._seconds(8, 12), self._engine())

    def inject_engine_faults(self, at: float) -> Disturbance:
        """Draw faults for the answers of an engine."""
        kind = self.random.choice(ENGINE_FAULT_KINDS)
        event = self.random.randint(0, 12)
        count = self.random.randint(1, 4)
        return InjectEngineFaults(at, 0, self._engine(), kind, event, count)

    def inject_service_faults(self, at: float) -> Disturbance:
        """Draw faults for the calls of a service."""
        kind = self.random.choice(SERVICE_FAULT_KINDS)
        service_id = self.random.choice(self.service_ids)
        return InjectServiceFaults(
            at, self._seconds(1, 8), service_id, kind, self.random.randint(1, 3)
        )

    def stop_platform(self, at: float) -> Disturbance:
        """Draw an outage of the platform."""
        return StopPlatform(at, self._seconds(1, 10))

    def inject_platform_faults(self, at: float) -> Disturbance:
        """Draw faults for the calls of the platform."""
        kind = self.random.choice(PLATFORM_FAULT_KINDS)
        operation = self.random.choice(("table.transact", "table.*", "*"))
        return InjectPlatformFaults(
            at, self._seconds(0.5, 4), kind, operation, self.random.randint(1, 10)
        )

    def take_zone_out(self, at: float) -> Disturbance:
        """Draw a zone to take out."""
        return TakeZoneOut(
            at, self._seconds(6, 12), self.random.choice(self.plan.zones)
        )

    def race_operators(self, at: float) -> Disturbance:
        """Draw a workspace that several operators change."""
        return RaceOperators(at, 0, self.random.choice(self.workspaces))

    def send_poison(self, at: float) -> Disturbance:
        """Draw a poison word."""
        return SendPoison(at, 0, f"poison-{self.random.randrange(10**6)}")

    def _seconds(self, least: float, most: float) -> float:
        return round(self.random.uniform(least, most), 2)

    def _daemon(self) -> str:
        return self.random.choice(self.plan.daemon_ids())

    def _engine(self) -> str:
        return self.random.choice(self.plan.engine_ids())


DRAW_FUNCTIONS: tuple[Callable[[DisturbanceGenerator, float], Disturbance], ...] = (
    DisturbanceGenerator.kill_daemon,
    DisturbanceGenerator.pause_daemon,
    DisturbanceGenerator.stop_daemon,
    DisturbanceGenerator.crash_engine,
    DisturbanceGenerator.pause_engine,
    DisturbanceGenerator.turn_engine_cold,
    DisturbanceGenerator.drain_engine,
    DisturbanceGenerator.inject_engine_faults,
    DisturbanceGenerator.inject_engine_faults,
    DisturbanceGenerator.inject_service_faults,
    DisturbanceGenerator.inject_service_faults,
    DisturbanceGenerator.stop_platform,
    DisturbanceGenerator.inject_platform_faults,
    DisturbanceGenerator.take_zone_out,
    DisturbanceGenerator.race_operators,
    DisturbanceGenerator.send_poison,
)


def draw_schedule(
    generator: DisturbanceGenerator, seconds: float, mean_gap_seconds: float
) -> tuple[Disturbance, ...]:
    """Return a random schedule of disturbances of ``seconds`` length."""
    return draw_in_turn(
        generator, DRAW_FUNCTIONS, CALM_SECONDS, seconds, mean_gap_seconds
    )
