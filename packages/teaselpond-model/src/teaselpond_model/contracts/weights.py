"""Describe the platform's rate-limited weight store."""

from typing import Protocol

from attrs import frozen


@frozen
class WeightGrant:
    """Answer whether a download may start now.

    ``retry_after`` is in seconds and applies when it may not.
    """

    granted: bool
    retry_after: float


class WeightStore(Protocol):
    """Grant downloads of model weights at a limited rate."""

    async def request(self, host_id: str, model: str, version: str) -> WeightGrant:
        """Request the start of one download; raise StoreUnavailable."""
