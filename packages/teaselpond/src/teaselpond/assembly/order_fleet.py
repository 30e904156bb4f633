"""Give the engine reconciler access to this daemon's engines."""

from collections.abc import Mapping

from teaselpond_model.contracts import Address, LoadReport

from ..owner import SlotBroker
from .fleet_follower import FleetFollower


class OwnedFleet:
    """Implement EngineFleet with the slot broker and the fleet follower."""

    def __init__(self, broker: SlotBroker, fleet: FleetFollower) -> None:
        self._broker = broker
        self._fleet = fleet

    def owned_engines(self) -> Mapping[str, Address]:
        """Return the addresses of the engines whose ownership is confirmed."""
        return {
            engine_id: engine.profile.host.address
            for engine_id, engine in self._broker.dispatcher.engines.by_id.items()
            if engine.is_confirmed
        }

    def last_report(self, engine_id: str) -> LoadReport | None:
        """Return the newest report of an owned engine."""
        return self._broker.reports_by_engine.get(engine_id)

    def slots_by_engine(self, model: str) -> Mapping[str, int]:
        """Return the slots of the fleet's engines that may take work.

        Engines on hold are included, because a rollout counts them towards
        its concurrency limit and towards the total slots of the model.
        """
        engines = self._broker.dispatcher.directory.engines_by_id
        return {
            engine_id: profile.slots
            for engine_id, profile in engines.items()
            if profile.model == model
            and (profile.takes_work or self._fleet.is_held(engine_id))
        }

    def outstanding_requests(self, model: str) -> int:
        """Return how many requests of a model run or wait in the fleet."""
        return self._broker.outstanding_requests(model)

    def hold(self, engine_id: str) -> None:
        """Stop giving an owned engine new work."""
        self._fleet.hold(engine_id)

    def resume(self, engine_id: str) -> None:
        """Resume giving an owned engine new work."""
        self._fleet.resume(engine_id)

    def in_flight(self, engine_id: str) -> int:
        """Return the number of requests that run on an owned engine.

        Return 0 if this daemon does not own the engine.
        """
        engine = self._broker.dispatcher.engines.get(engine_id)
        return engine.slots.in_flight if engine else 0
