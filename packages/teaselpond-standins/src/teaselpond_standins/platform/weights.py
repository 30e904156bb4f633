"""Grant downloads of model weights at a bounded rate."""

import time
from collections.abc import Callable

from attrs import define, field

from teaselpond_model.contracts import WeightGrant

from .faults import PlatformFaults


@define
class MemoryWeights:
    """Implement WeightStore as a token bucket of ``burst`` downloads."""

    faults: PlatformFaults = field(factory=PlatformFaults)
    downloads_per_second: float = 2.0
    burst: int = 2
    grants: list[tuple[str, str, str]] = field(factory=list)
    _clock: Callable[[], float] = time.monotonic
    # When the bucket will be full again if no more downloads are granted.
    _next_full_at: float = field(default=float("-inf"))

    async def request(self, host_id: str, model: str, version: str) -> WeightGrant:
        """Request one download of a model's weights.

        Raise StoreUnavailable.
        """
        fault = await self.faults.before_call("weights.request", host_id)
        grant = self._decide(self._clock())
        if grant.granted:
            self.grants.append((host_id, model, version))
        await self.faults.after_call("weights.request", fault)
        return grant

    def _decide(self, now: float) -> WeightGrant:
        interval = 1.0 / self.downloads_per_second
        full_at = max(self._next_full_at, now) + interval
        wait = full_at - now - self.burst * interval
        if wait > 1e-9:
            return WeightGrant(False, wait)
        self._next_full_at = full_at
        return WeightGrant(True, 0.0)
