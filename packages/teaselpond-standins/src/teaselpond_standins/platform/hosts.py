"""Keep a host list in memory whose readers see changes after a delay."""

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
    """Implement HostDirectory in memory.

    Readers see each change ``lag_seconds`` after it was made.
    """

    faults: PlatformFaults = field(factory=PlatformFaults)
    lag_seconds: float = 0.0
    _clock: Callable[[], float] = time.monotonic
    _hosts_by_id: dict[str, Host] = field(factory=dict)
    _snapshots: list[_Snapshot] = field(factory=list)

    async def list_hosts(self) -> tuple[Host, ...]:
        """Return the hosts as of ``lag_seconds`` ago.

        Raise StoreUnavailable.
        """
        fault = await self.faults.before_call("hosts.list")
        hosts = self._list_hosts_at(self._clock() - self.lag_seconds)
        await self.faults.after_call("hosts.list", fault)
        return hosts

    async def register(self, host: Host) -> None:
        """Add or update a host; raise StoreUnavailable."""
        fault = await self.faults.before_call("hosts.register", host.host_id)
        self._hosts_by_id[host.host_id] = host
        self._record_snapshot(self._clock())
        await self.faults.after_call("hosts.register", fault)

    async def remove(self, host_id: str) -> None:
        """Remove a host; raise StoreUnavailable."""
        fault = await self.faults.before_call("hosts.remove", host_id)
        self._hosts_by_id.pop(host_id, None)
        self._record_snapshot(self._clock())
        await self.faults.after_call("hosts.remove", fault)

    def _record_snapshot(self, now: float) -> None:
        hosts = sorted(self._hosts_by_id.values(), key=lambda host: host.host_id)
        self._snapshots.append(_Snapshot(now, tuple(hosts)))

    def _list_hosts_at(self, time: float) -> tuple[Host, ...]:
        for snapshot in reversed(self._snapshots):
            if snapshot.time <= time:
                return snapshot.hosts
        return ()
