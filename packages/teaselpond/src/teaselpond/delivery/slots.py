"""Say what the delivery of chats needs from placement and admission."""

from typing import Protocol

from teaselpond_model.contracts import Address

from ..policy import Grant, Release, SlotRequest


class SlotSource(Protocol):
    """Give out slots of engines, whoever owns these."""

    async def acquire(self, request: SlotRequest) -> Grant:
        """Return a slot, after queueing for it if need be; raise Refused.

        A caller that is cancelled meanwhile leaves the queue.
        """

    async def release(self, release: Release) -> None:
        """Give a slot back; never raise."""


class EngineAddresses(Protocol):
    """Know where engines are."""

    def address_of(self, engine_id: str) -> Address | None:
        """Return an engine's address, None when it isn't known."""

    def zone_of(self, engine_id: str) -> str:
        """Return an engine's zone, empty when it isn't known."""
