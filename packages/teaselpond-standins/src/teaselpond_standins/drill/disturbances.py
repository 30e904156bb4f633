"""Draw a seeded schedule of what goes wrong in a drill."""

import random
from collections.abc import Callable

from attrs import frozen

from ..engine import EngineFaultKind
from ..fleet import FleetPlan
from ..platform import PlatformFaultKind
from ..service import ServiceFaultKind
from .scheduling import draw_in_turn

# The drill's first seconds are calm, so that the engines warm up a little.
CALM_SECONDS = 2.0


@frozen
class Disturbance:
    """Strike at a time after the start, for some seconds."""

    at: float
    seconds: float


@frozen
class KillDaemon(Disturbance):
    """Kill a daemon and start it again afterwards."""

    daemon_id: str


@frozen
class PauseDaemon(Disturbance):
    """Stop a daemon's process and let it go on afterwards."""

    daemon_id: str


@frozen
class StopDaemon(Disturbance):
    """Stop a daemon as planned and start it again afterwards."""

    daemon_id: str


@frozen
class CrashEngine(Disturbance):
    """Crash an engine, which comes back cold."""

    engine_id: str


@frozen
class PauseEngine(Disturbance):
    """Let an engine stand still with its connections open."""

    engine_id: str


@frozen
class TurnEngineCold(Disturbance):
    """Turn an engine cold without notice."""

    engine_id: str


@frozen
class DrainEngine(Disturbance):
    """List an engine as leaving, and as live again afterwards."""

    engine_id: str


@frozen
class InjectEngineFaults(Disturbance):
    """Spoil the next answers of an engine."""

    engine_id: str
    kind: EngineFaultKind
    event: int
    count: int


@frozen
class InjectServiceFaults(Disturbance):
    """Spoil the next calls of a plain service."""

    service_id: str
    kind: ServiceFaultKind
    count: int


@frozen
class StopPlatform(Disturbance):
    """Let the platform refuse every connection."""


@frozen
class InjectPlatformFaults(Disturbance):
    """Spoil a share of the platform's calls."""

    kind: PlatformFaultKind
    operation: str
    count: int


@frozen
class TakeZoneOut(Disturbance):
    """Take a zone out and bring it back afterwards."""

    zone: str


@frozen
class RaceOperators(Disturbance):
    """Let operators change the same thing at the same time."""

    workspace: str


@frozen
class SendPoison(Disturbance):
    """Send a request that crashes each engine that runs it, repeatedly."""

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
    """Draw disturbances of each kind from one seeded source."""

    random: random.Random
    plan: FleetPlan
    service_ids: tuple[str, ...]
    workspaces: tuple[str, ...]

    def kill_daemon(self, at: float) -> Disturbance:
        """Draw a daemon to kill."""
        return KillDaemon(at, self._seconds(0.5, 3), self._daemon())

    def pause_daemon(self, at: float) -> Disturbance:
        """Draw a daemon to pause, at times past its lease."""
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
        """Draw an engine to turn cold."""
        return TurnEngineCold(at, 0, self._engine())

    def drain_engine(self, at: float) -> Disturbance:
        """Draw an engine to list as leaving."""
        return DrainEngine(at, self._seconds(8, 12), self._engine())

    def inject_engine_faults(self, at: float) -> Disturbance:
        """Draw answers of an engine to spoil."""
        kind = self.random.choice(ENGINE_FAULT_KINDS)
        event = self.random.randint(0, 12)
        count = self.random.randint(1, 4)
        return InjectEngineFaults(at, 0, self._engine(), kind, event, count)

    def inject_service_faults(self, at: float) -> Disturbance:
        """Draw calls of a service to spoil."""
        kind = self.random.choice(SERVICE_FAULT_KINDS)
        service_id = self.random.choice(self.service_ids)
        return InjectServiceFaults(
            at, self._seconds(1, 8), service_id, kind, self.random.randint(1, 3)
        )

    def stop_platform(self, at: float) -> Disturbance:
        """Draw an outage of the platform."""
        return StopPlatform(at, self._seconds(1, 10))

    def inject_platform_faults(self, at: float) -> Disturbance:
        """Draw calls of the platform to spoil."""
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
        """Draw a workspace that operators change."""
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
    """Return disturbances at random times, drawing all kinds in turn."""
    return draw_in_turn(
        generator, DRAW_FUNCTIONS, CALM_SECONDS, seconds, mean_gap_seconds
    )
