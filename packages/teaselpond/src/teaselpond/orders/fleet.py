"""Define the interfaces to the owned engines that changes depend on."""

from collections.abc import Mapping
from typing import Protocol

from teaselpond_model.contracts import Address, EngineOrder, LoadReport


class EngineFleet(Protocol):
    """Query engines, and stop dispatching to those that are being changed."""

    def owned_engines(self) -> Mapping[str, Address]:
        """Return the address of each engine whose ownership is confirmed."""

    def last_report(self, engine_id: str) -> LoadReport | None:
        """Return an owned engine's latest load report, if there is one."""

    def slots_by_engine(self, model: str) -> Mapping[str, int]:
        """Return the slots of each engine of a model that may take work.

        Cover the whole fleet, including engines that this daemon has put on
        hold.
        """

    def outstanding_requests(self, model: str) -> int:
        """Return the number of running and queued requests of a model.

        Cover the whole fleet.
        """

    def hold(self, engine_id: str) -> None:
        """Stop dispatching requests to an owned engine."""

    def resume(self, engine_id: str) -> None:
        """Allow requests to be dispatched to an owned engine again."""

    def in_flight(self, engine_id: str) -> int:
        """Return the number of requests that run on an owned engine."""


class EngineApi(Protocol):
    """Call the HTTP interface of an engine."""

    async def load(self, address: Address) -> LoadReport:
        """Return the engine's load report; raise TeaselpondError."""

    async def order(
        self, address: Address, order: EngineOrder, *, seconds: float
    ) -> None:
        """Send an order; ``seconds`` is its timeout.

        Raise UpstreamRefused with status 409 if the engine has seen a higher
        fencing token.
        """
