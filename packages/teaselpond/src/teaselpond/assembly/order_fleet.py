"""Show the owner's engines to those who give orders."""

from collections.abc import Mapping

from teaselpond_model.contracts import Address, LoadReport

from ..owner import SlotBroker
from .fleet_follower import FleetFollower


class OwnedFleet:
    """Answer what orders need to know, and hold engines that change."""

    def __init__(self, broker: SlotBroker, fleet: FleetFollower) -> None:
        self._broker = broker
        self._fleet = fleet

    def owned_engines(self) -> Mapping[str, Address]:
        """Return the engines that this daemon is sure to own."""
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

        Engines that this daemon holds are among them: a rollout counts
        them by the places that they take.
        """
        engines = self._broker.dispatcher.directory.engines_by_id
        return {
            engine_id: profile.slots
            for engine_id, profile in engines.items()
            if profile.model == model
            and (profile.takes_work or self._fleet.is_held(engine_id))
        }

    def outstanding_requests(self, model: str) -> int:
        """Return the fleet's running and queued requests of a model."""
        return self._broker.outstanding_requests(model)

    def hold(self, engine_id: str) -> None:
        """Give an owned engine no new work."""
        self._fleet.hold(engine_id)

    def resume(self, engine_id: str) -> None:
        """Let an owned engine take work again."""
        self._fleet.resume(engine_id)

    def in_flight(self, engine_id: str) -> int:
        """Return the requests that run on an owned engine."""
        engine = self._broker.dispatcher.engines.get(engine_id)
        return engine.slots.in_flight if engine else 0
