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
    # The time from which the bucket counts as full: a virtual schedule.
    _full_at: float = field(default=float("-inf"))

    async def request(self, host_id: str, model: str, version: str) -> WeightGrant:
        """Ask to start one download; raise StoreUnavailable."""
        fault = await self.faults.enter("weights.request", host_id)
        grant = self._decide(self._clock())
        if grant.granted:
            self.grants.append((host_id, model, version))
        await self.faults.leave("weights.request", fault)
        return grant

    def _decide(self, now: float) -> WeightGrant:
        interval = 1.0 / self.downloads_per_second
        full_at = max(self._full_at, now) + interval
        wait = full_at - now - self.burst * interval
        if wait > 1e-9:
            return WeightGrant(False, wait)
        self._full_at = full_at
        return WeightGrant(True, 0.0)
