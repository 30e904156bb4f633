"""Describe the platform's rate-limited weight store."""

from typing import Protocol

from attrs import frozen


@frozen
class WeightGrant:
    """Tell whether a download may start now, else after how many seconds."""

    granted: bool
    retry_after: float


class WeightStore(Protocol):
    """Hand out downloads of model weights at a bounded rate."""

    async def request(self, host_id: str, model: str, version: str) -> WeightGrant:
        """Ask to start one download; raise StoreUnavailable."""
