"""Define the interfaces that chats need from placement and admission."""

from typing import Protocol

from teaselpond_model.contracts import Address

from ..policy import Grant, Release, SlotRequest


class SlotSource(Protocol):
    """Grant slots of engines, also of those that another daemon owns."""

    async def acquire(self, request: SlotRequest) -> Grant:
        """Return the grant of a slot, queueing if necessary; raise Refused.

        Cancelling the call removes the request from the queue.
        """

    async def release(self, release: Release) -> None:
        """Release a slot; never raise."""


class EngineAddresses(Protocol):
    """Look up the addresses and zones of engines."""

    def address_of(self, engine_id: str) -> Address | None:
        """Return an engine's address, or None if it isn't known."""

    def zone_of(self, engine_id: str) -> str:
        """Return an engine's zone, or an empty string if it isn't known."""
