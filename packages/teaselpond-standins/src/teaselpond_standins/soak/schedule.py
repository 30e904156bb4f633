"""Draw a seeded schedule of what goes wrong in a soak."""

import random
from collections.abc import Callable

from attrs import frozen

from ..drill.scheduling import draw_in_turn
from ..service.listed import ListedFaultKind

# The first seconds are calm, so that the gateways learn of each other.
CALM_SECONDS = 3.0


@frozen
class Disturbance:
    """Strike at a time after the start, for some seconds."""

    at: float
    seconds: float


@frozen
class KillGateways(Disturbance):
    """Kill gateways in a series, and start each again afterwards."""

    names: tuple[str, ...]
    gap_seconds: float


@frozen
class PauseGateways(Disturbance):
    """Stop the processes of gateways and let them go on afterwards."""

    names: tuple[str, ...]


@frozen
class StopGateways(Disturbance):
    """Stop gateways as planned, one after another, and start them again."""

    names: tuple[str, ...]
    gap_seconds: float


@frozen
class ReloadGateways(Disturbance):
    """Tell gateways to read their settings again."""

    names: tuple[str, ...]


@frozen
class SpoilStoreWay(Disturbance):
    """Spoil the way of some gateways to the store."""

    names: tuple[str, ...]
    how: str


@frozen
class SpoilStore(Disturbance):
    """Spoil the platform's store for everybody.

    The operator may take a key away meanwhile.
    """

    how: str
    revokes_key: bool


@frozen
class CrashEngine(Disturbance):
    """Crash an engine, which comes back as a new incarnation."""

    engine_id: str


@frozen
class RemoveEngine(Disturbance):
    """Take an engine out of the list, announced or not, for some seconds."""

    engine_id: str
    is_announced: bool


@frozen
class SpoilEngineWay(Disturbance):
    """Spoil the way to an engine."""

    engine_id: str
    how: str


@frozen
class SpoilAnswers(Disturbance):
    """Spoil the next answers of an engine."""

    engine_id: str
    kind: ListedFaultKind
    events: int
    count: int


@frozen
class RevokeKey(Disturbance):
    """Take a workspace's key away, and give it another."""


@frozen
class ChangeRoutes(Disturbance):
    """Write configurations in quick succession."""

    count: int


@frozen
class WriteRubbish(Disturbance):
    """Write entries that nobody can read."""


REVOKED_IN_OUTAGE_SHARE = 0.5
STORE_WAYS = ("refuse", "reset", "silence", "slow", "cut", "cut-back")
STORE_FAULTS = ("down", "silent", "slow", "forget", "lose-answers")
ENGINE_WAYS = ("refuse", "reset", "silence", "slow", "cut", "cut-back")


@frozen
class Drawing:
    """Draw disturbances of each kind from one seeded source."""

    random: random.Random
    gateways: tuple[str, ...]
    engine_ids: tuple[str, ...]

    def kill_gateways(self, at: float) -> Disturbance:
        """Draw gateways to kill."""
        seconds = self._seconds(0.3, 6)
        return KillGateways(at, seconds, self._gateways(1.0), self._seconds(0, 1.5))

    def pause_gateways(self, at: float) -> Disturbance:
        """Draw gateways to pause."""
        return PauseGateways(at, self._seconds(0.5, 8), self._gateways(0.5))

    def stop_gateways(self, at: float) -> Disturbance:
        """Draw gateways to stop."""
        seconds = self._seconds(0.3, 3)
        return StopGateways(at, seconds, self._gateways(1.0), self._seconds(0.2, 2))

    def reload_gateways(self, at: float) -> Disturbance:
        """Draw gateways to reload."""
        return ReloadGateways(at, 0, self._gateways(1.0))

    def spoil_store_way(self, at: float) -> Disturbance:
        """Draw gateways that the store turns away."""
        how = self.random.choice(STORE_WAYS)
        return SpoilStoreWay(at, self._seconds(1, 10), self._gateways(0.5), how)

    def spoil_store(self, at: float) -> Disturbance:
        """Draw a fault of the store."""
        how = self.random.choice(STORE_FAULTS)
        revokes_key = self.random.random() < REVOKED_IN_OUTAGE_SHARE
        return SpoilStore(at, self._seconds(1, 12), how, revokes_key)

    def crash_engine(self, at: float) -> Disturbance:
        """Draw an engine to crash."""
        return CrashEngine(at, self._seconds(0.5, 5), self._engine())

    def remove_engine(self, at: float) -> Disturbance:
        """Draw an engine to take out of the list."""
        is_announced = self.random.random() < 0.5
        return RemoveEngine(at, self._seconds(5, 9), self._engine(), is_announced)

    def spoil_engine_way(self, at: float) -> Disturbance:
        """Draw an engine whose connections suffer."""
        how = self.random.choice(ENGINE_WAYS)
        return SpoilEngineWay(at, self._seconds(0.5, 5), self._engine(), how)

    def spoil_answers(self, at: float) -> Disturbance:
        """Draw answers of an engine to spoil."""
        kind = self.random.choice(tuple(ListedFaultKind))
        events = self.random.randint(0, 4)
        return SpoilAnswers(
            at, 0, self._engine(), kind, events, self.random.randint(1, 6)
        )

    def revoke_key(self, at: float) -> Disturbance:
        """Draw a key to take away."""
        return RevokeKey(at, 0)

    def change_routes(self, at: float) -> Disturbance:
        """Draw how many configurations follow each other."""
        return ChangeRoutes(at, 0, self.random.randint(1, 12))

    def write_rubbish(self, at: float) -> Disturbance:
        """Draw entries that nobody can read."""
        return WriteRubbish(at, self._seconds(1, 4))

    def _seconds(self, least: float, most: float) -> float:
        return round(self.random.uniform(least, most), 2)

    def _gateways(self, most_share: float) -> tuple[str, ...]:
        most = max(1, round(most_share * len(self.gateways)))
        return tuple(self.random.sample(self.gateways, self.random.randint(1, most)))

    def _engine(self) -> str:
        return self.random.choice(self.engine_ids)


DRAWERS: tuple[Callable[[Drawing, float], Disturbance], ...] = (
    Drawing.kill_gateways,
    Drawing.kill_gateways,
    Drawing.pause_gateways,
    Drawing.stop_gateways,
    Drawing.stop_gateways,
    Drawing.reload_gateways,
    Drawing.spoil_store_way,
    Drawing.spoil_store_way,
    Drawing.spoil_store,
    Drawing.spoil_store,
    Drawing.crash_engine,
    Drawing.remove_engine,
    Drawing.remove_engine,
    Drawing.spoil_engine_way,
    Drawing.spoil_engine_way,
    Drawing.spoil_answers,
    Drawing.spoil_answers,
    Drawing.spoil_answers,
    Drawing.revoke_key,
    Drawing.revoke_key,
    Drawing.change_routes,
    Drawing.change_routes,
    Drawing.write_rubbish,
)


def draw_schedule(
    drawing: Drawing, seconds: float, mean_gap_seconds: float
) -> tuple[Disturbance, ...]:
    """Return disturbances at random times, drawing all kinds in turn."""
    return draw_in_turn(drawing, DRAWERS, CALM_SECONDS, seconds, mean_gap_seconds)
