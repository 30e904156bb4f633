"""Keep a list of hosts that readers see late."""

import time
from collections.abc import Callable

from attrs import define, field, frozen

from teaselpond_model.contracts import Host

from .faults import PlatformFaults


@frozen
class _Snapshot:
    time: float
    hosts: tuple[Host, ...]


@define
class MemoryHosts:
    """Implement HostDirectory in memory; changes show ``lag_seconds`` late."""

    faults: PlatformFaults = field(factory=PlatformFaults)
    lag_seconds: float = 0.0
    _clock: Callable[[], float] = time.monotonic
    _hosts_by_id: dict[str, Host] = field(factory=dict)
    _snapshots: list[_Snapshot] = field(factory=list)

    async def list_hosts(self) -> tuple[Host, ...]:
        """Return every host listed a lag ago; raise StoreUnavailable."""
        fault = await self.faults.enter("hosts.list")
        hosts = self._hosts_at(self._clock() - self.lag_seconds)
        await self.faults.leave("hosts.list", fault)
        return hosts

    async def register(self, host: Host) -> None:
        """Add or update a host; raise StoreUnavailable."""
        fault = await self.faults.enter("hosts.register", host.host_id)
        self._hosts_by_id[host.host_id] = host
        self._take_snapshot(self._clock())
        await self.faults.leave("hosts.register", fault)

    async def remove(self, host_id: str) -> None:
        """Take a host off the list; raise StoreUnavailable."""
        fault = await self.faults.enter("hosts.remove", host_id)
        self._hosts_by_id.pop(host_id, None)
        self._take_snapshot(self._clock())
        await self.faults.leave("hosts.remove", fault)

    def _take_snapshot(self, now: float) -> None:
        hosts = sorted(self._hosts_by_id.values(), key=lambda host: host.host_id)
        self._snapshots.append(_Snapshot(now, tuple(hosts)))

    def _hosts_at(self, time: float) -> tuple[Host, ...]:
        for snapshot in reversed(self._snapshots):
            if snapshot.time <= time:
                return snapshot.hosts
        return ()
