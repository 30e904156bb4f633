"""Describe what orders need of the owner's engines."""

from collections.abc import Mapping
from typing import Protocol

from teaselpond_model.contracts import Address, EngineOrder, LoadReport


class EngineFleet(Protocol):
    """Tell about engines, and keep work away from those that change."""

    def owned_engines(self) -> Mapping[str, Address]:
        """Return the engines that this daemon is sure to own."""

    def last_report(self, engine_id: str) -> LoadReport | None:
        """Return the newest report of an owned engine."""

    def slots_by_engine(self, model: str) -> Mapping[str, int]:
        """Return the slots of the fleet's engines that may take work.

        Engines that this daemon holds are among them.
        """

    def outstanding_requests(self, model: str) -> int:
        """Return the fleet's running and queued requests of a model."""

    def hold(self, engine_id: str) -> None:
        """Give an owned engine no new work."""

    def resume(self, engine_id: str) -> None:
        """Let an owned engine take work again."""

    def in_flight(self, engine_id: str) -> int:
        """Return the requests that run on an owned engine."""


class EngineApi(Protocol):
    """Reach engines."""

    async def load(self, address: Address) -> LoadReport:
        """Return the engine's report; raise TeaselpondError."""

    async def order(
        self, address: Address, order: EngineOrder, *, seconds: float
    ) -> None:
        """Give an order; raise UpstreamRefused with 409 for an old fence."""
