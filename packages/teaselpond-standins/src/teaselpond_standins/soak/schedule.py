"""Draw a seeded random schedule of the disturbances of a soak."""

import random
from collections.abc import Callable

from attrs import frozen

from ..drill.scheduling import draw_in_turn
from ..service.listed import ListedFaultKind

# No disturbance starts before the gateways have discovered each other.
FAULT_FREE_START_SECONDS = 3.0
# A series of more gateways has shorter gaps, so that it ends with the soak.
SERIES_GATEWAYS = 12


@frozen
class Disturbance:
    """Describe a disturbance.

    ``at`` is in seconds after the start; ``seconds`` is the duration.
    """

    at: float
    seconds: float


@frozen
class KillGateways(Disturbance):
    """Kill gateways one after another, and restart each afterwards."""

    names: tuple[str, ...]
    gap_seconds: float


@frozen
class PauseGateways(Disturbance):
    """Suspend the processes of gateways, and resume them afterwards."""

    names: tuple[str, ...]


@frozen
class StopGateways(Disturbance):
    """Stop gateways as planned, one after another, and restart them."""

    names: tuple[str, ...]
    gap_seconds: float


@frozen
class ReloadGateways(Disturbance):
    """Make gateways reload their settings."""

    names: tuple[str, ...]


@frozen
class DisruptStoreConnections(Disturbance):
    """Disrupt the connections of some gateways to the store."""

    names: tuple[str, ...]
    fault: str


@frozen
class DisruptStore(Disturbance):
    """Disrupt the platform's store for all hosts.

    With ``revokes_key``, the operator revokes a key meanwhile.
    """

    fault: str
    revokes_key: bool


@frozen
class RestoreStore(Disturbance):
    """Return the store to a copy that is ``seconds`` old."""


@frozen
class CrashEngine(Disturbance):
    """Crash an engine, and restart it as a new incarnation."""

    engine_id: str


@frozen
class RemoveEngine(Disturbance):
    """Remove an engine from service for some seconds.

    If announced, its entry is marked as draining; otherwise it is removed.
    """

    engine_id: str
    is_announced: bool


@frozen
class DisruptEngineConnections(Disturbance):
    """Disrupt the connections to an engine."""

    engine_id: str
    fault: str


@frozen
class DisruptAnswers(Disturbance):
    """Inject a fault into the next ``count`` answers of an engine.

    A stream sends ``events`` events before the fault.
    """

    engine_id: str
    kind: ListedFaultKind
    events: int
    count: int


@frozen
class SlowEngines(Disturbance):
    """Make all engines slow, so that they pause in each stream.

    They pause for ``pause_seconds`` and work on other calls for as long.
    """

    pause_seconds: float


@frozen
class RevokeKey(Disturbance):
    """Revoke a workspace's key, and give it a new one."""


@frozen
class ChangeRoutes(Disturbance):
    """Write ``count`` configurations in quick succession."""

    count: int


@frozen
class WriteMalformedEntries(Disturbance):
    """Write entries to the store that can't be decoded."""


REVOCATION_IN_OUTAGE_RATIO = 0.5
STORE_CONNECTION_FAULTS = ("refuse", "reset", "silence", "slow", "cut", "cut-back")
STORE_FAULTS = ("down", "silent", "slow", "forget", "lose-answers")
ENGINE_CONNECTION_FAULTS = ("refuse", "reset", "silence", "slow", "cut", "cut-back")


@frozen
class Drawing:
    """Draw disturbances of each kind from one seeded random generator."""

    random: random.Random
    gateways: tuple[str, ...]
    engine_ids: tuple[str, ...]

    def kill_gateways(self, at: float) -> Disturbance:
        """Draw gateways to kill."""
        seconds = self._choose_seconds(0.3, 6)
        return KillGateways(
            at, seconds, self._choose_gateways(1.0), self._choose_gap(0, 1.5)
        )

    def pause_gateways(self, at: float) -> Disturbance:
        """Draw gateways to pause."""
        return PauseGateways(
            at, self._choose_seconds(0.5, 8), self._choose_gateways(0.5)
        )

    def stop_gateways(self, at: float) -> Disturbance:
        """Draw gateways to stop."""
        seconds = self._choose_seconds(0.3, 3)
        return StopGateways(
            at, seconds, self._choose_gateways(1.0), self._choose_gap(0.2, 2)
        )

    def reload_gateways(self, at: float) -> Disturbance:
        """Draw gateways to reload."""
        return ReloadGateways(at, 0, self._choose_gateways(1.0))

    def disrupt_store_connections(self, at: float) -> Disturbance:
        """Draw gateways, and a fault of their connections to the store."""
        fault = self.random.choice(STORE_CONNECTION_FAULTS)
        return DisruptStoreConnections(
            at, self._choose_seconds(1, 10), self._choose_gateways(0.5), fault
        )

    def disrupt_store(self, at: float) -> Disturbance:
        """Draw a fault of the store, and whether a key is revoked."""
        fault = self.random.choice(STORE_FAULTS)
        revokes_key = self.random.random() < REVOCATION_IN_OUTAGE_RATIO
        return DisruptStore(at, self._choose_seconds(1, 12), fault, revokes_key)

    def restore_store(self, at: float) -> Disturbance:
        """Draw the age of the copy that the store returns to."""
        return RestoreStore(at, self._choose_seconds(0.5, 4))

    def crash_engine(self, at: float) -> Disturbance:
        """Draw an engine to crash."""
        return CrashEngine(at, self._choose_seconds(0.5, 5), self._choose_engine())

    def remove_engine(self, at: float) -> Disturbance:
        """Draw an engine to remove, and whether it is announced."""
        is_announced = self.random.random() < 0.5
        return RemoveEngine(
            at, self._choose_seconds(5, 9), self._choose_engine(), is_announced
        )

    def disrupt_engine_connections(self, at: float) -> Disturbance:
        """Draw an engine, and a fault of its connections."""
        fault = self.random.choice(ENGINE_CONNECTION_FAULTS)
        return DisruptEngineConnections(
            at, self._choose_seconds(0.5, 5), self._choose_engine(), fault
        )

    def disrupt_answers(self, at: float) -> Disturbance:
        """Draw an engine, and a fault of its next answers."""
        kind = self.random.choice(tuple(ListedFaultKind))
        events = self.random.randint(0, 4)
        return DisruptAnswers(
            at, 0, self._choose_engine(), kind, events, self.random.randint(1, 6)
        )

    def slow_engines(self, at: float) -> Disturbance:
        """Draw how slow all engines are."""
        pause_seconds = self._choose_seconds(0.4, 1.2)
        return SlowEngines(at, self._choose_seconds(0.5, 3), pause_seconds)

    def revoke_key(self, at: float) -> Disturbance:
        """Return a revocation of the newest key; nothing is drawn."""
        return RevokeKey(at, 0)

    def change_routes(self, at: float) -> Disturbance:
        """Draw how many configurations follow each other."""
        return ChangeRoutes(at, 0, self.random.randint(1, 12))

    def write_malformed_entries(self, at: float) -> Disturbance:
        """Draw how long malformed entries stay in the store."""
        return WriteMalformedEntries(at, self._choose_seconds(1, 4))

    def _choose_seconds(self, minimum: float, maximum: float) -> float:
        return round(self.random.uniform(minimum, maximum), 2)

    def _choose_gap(self, minimum: float, maximum: float) -> float:
        """Draw the time between two gateways of a series.

        A series through a large fleet takes as long as through a small one.
        """
        seconds = self._choose_seconds(minimum, maximum)
        return seconds * min(1.0, SERIES_GATEWAYS / len(self.gateways))

    def _choose_gateways(self, max_ratio: float) -> tuple[str, ...]:
        maximum = max(1, round(max_ratio * len(self.gateways)))
        return tuple(self.random.sample(self.gateways, self.random.randint(1, maximum)))

    def _choose_engine(self) -> str:
        return self.random.choice(self.engine_ids)


DRAWERS: tuple[Callable[[Drawing, float], Disturbance], ...] = (
    Drawing.kill_gateways,
    Drawing.kill_gateways,
    Drawing.pause_gateways,
    Drawing.stop_gateways,
    Drawing.stop_gateways,
    Drawing.reload_gateways,
    Drawing.disrupt_store_connections,
    Drawing.disrupt_store_connections,
    Drawing.disrupt_store,
    Drawing.disrupt_store,
    Drawing.restore_store,
    Drawing.crash_engine,
    Drawing.remove_engine,
    Drawing.remove_engine,
    Drawing.disrupt_engine_connections,
    Drawing.disrupt_engine_connections,
    Drawing.disrupt_answers,
    Drawing.disrupt_answers,
    Drawing.disrupt_answers,
    Drawing.slow_engines,
    Drawing.revoke_key,
    Drawing.revoke_key,
    Drawing.change_routes,
    Drawing.change_routes,
    Drawing.write_malformed_entries,
)


def draw_schedule(
    drawing: Drawing, seconds: float, mean_gap_seconds: float
) -> tuple[Disturbance, ...]:
    """Return disturbances at random times, with all kinds in turn."""
    return draw_in_turn(
        drawing, DRAWERS, FAULT_FREE_START_SECONDS, seconds, mean_gap_seconds
    )
