"""Tell peers what a host can carry, and how busy it is.

A host hears most others directly only every few seconds, so that each passes
on the newest readings of a few others where hosts differ.
"""

import heapq
import math
import struct
import time
from collections.abc import Callable
from operator import attrgetter

from attrs import define, field, frozen

from ..ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_long_age
from ..members import Members, member_id
from ..settings import HostCapacity
from .choosing import ALIKE_RATIO, HostCapacityReading

# Process id, hundredths of a core, utilization in percent, and age.
READING = struct.Struct("<IHBH")
CORE_UNITS = 100
PERCENT = 100
# With its own, a heartbeat has at most 5 readings: 45 bytes. Of 131 simulated
# hosts, readings have a median age of 0.9 s then, and 0.6 s with 8 at twice
# the bytes.
MAX_RELAYED = 4
# Older ones say little of a host's utilization; they are not passed on.
FRESH_SECONDS = 6.0
# Readings of hosts that are gone are dropped.
EXPIRY_SECONDS = 60.0
SMOOTHING_SECONDS = 2.0
# The longest time between two rounds of heartbeats on an idle event loop.
ROUND_SECONDS = 0.22
# An event loop that runs this much late is counted as fully used.
LATE_SECONDS = 0.1
# What a core's worth of callers needs. The smallest and the largest host of
# the deployments have 13.8 and 46 Mbit/s, and 3,700 descriptors a core.
MBPS_PER_CORE = 13.0
DESCRIPTORS_PER_CORE = 3500.0
RESERVED_DESCRIPTORS = 200


@frozen
class HeardReading:
    """Hold a reading of a host's process and when it was made there."""

    id: int
    cores: float
    utilization: float
    read_at: float


def carried_cores(capacity: HostCapacity) -> float | None:
    """Return what a host can carry in cores, None if it is unknown."""
    if capacity.cores is None or capacity.cores <= 0.0:
        return None
    limits = [capacity.cores]
    if capacity.link_mbps is not None:
        limits.append(capacity.link_mbps / MBPS_PER_CORE)
    if capacity.descriptors is not None:
        usable = capacity.descriptors - RESERVED_DESCRIPTORS
        limits.append(usable / DESCRIPTORS_PER_CORE)
    return max(1.0 / CORE_UNITS, min(limits))


@define
class CapacityTopic:
    """Track the capacities of the hosts, and tell them in heartbeats."""

    members: Members
    incarnation: int
    capacity: HostCapacity
    processor_time: Callable[[], float] = time.process_time
    name: str = "capacity"
    utilization: float = 0.0
    _measured_at: float | None = None
    _used_seconds: float = 0.0
    _readings_by_id: dict[int, HeardReading] = field(factory=dict)

    def pack(self, now: float) -> bytes:
        """Return this host's reading, and the newest of others."""
        cores = carried_cores(self.capacity)
        if cores is None:
            return b""
        self._measure(now)
        own_id = member_id(self.members.host, self.incarnation)
        own = HeardReading(own_id, cores, self.utilization, now)
        self._readings_by_id[own_id] = own
        self._expire(now)
        relayed = []
        if not self._are_alike():
            fresh = [
                each
                for each in self._readings_by_id.values()
                if each.id != own_id and now - each.read_at < FRESH_SECONDS
            ]
            relayed = heapq.nlargest(MAX_RELAYED, fresh, key=attrgetter("read_at"))
        return b"".join(
            READING.pack(
                each.id,
                min(0xFFFF, round(each.cores * CORE_UNITS)),
                min(0xFF, round(each.utilization * PERCENT)),
                encode_long_age(now - each.read_at),
            )
            for each in (own, *relayed)
        )

    def merge(self, packed: bytes, host: str, now: float) -> None:
        """Record the readings of a peer; raise ValueError if malformed."""
        try:
            records = list(READING.iter_unpack(packed))
        except struct.error as error:
            raise ValueError(str(error)) from error
        for identity, cores, utilization, age in records:
            read_at = now - HOP_SECONDS - age * AGE_UNIT_SECONDS
            known = self._readings_by_id.get(identity)
            if cores == 0 or (known is not None and known.read_at >= read_at):
                continue
            self._readings_by_id[identity] = HeardReading(
                identity, cores / CORE_UNITS, utilization / PERCENT, read_at
            )

    def reading(self, host_id: int, now: float) -> HostCapacityReading | None:
        """Return what is known of a process, by its member id."""
        heard = self._readings_by_id.get(host_id)
        if heard is None:
            return None
        is_fresh = now - heard.read_at < FRESH_SECONDS
        return HostCapacityReading(heard.cores, heard.utilization if is_fresh else None)

    def _measure(self, now: float) -> None:
        """Measure how much of the host was used since the last round."""
        used_seconds = self.processor_time()
        measured_at, self._measured_at = self._measured_at, now
        before, self._used_seconds = self._used_seconds, used_seconds
        if measured_at is None or now <= measured_at or self.capacity.cores is None:
            return
        seconds = now - measured_at
        late = max(0.0, seconds - ROUND_SECONDS) / LATE_SECONDS
        used = (used_seconds - before) / seconds / self.capacity.cores
        change = min(1.0, max(used, late)) - self.utilization
        self.utilization += change * (1.0 - math.exp(-seconds / SMOOTHING_SECONDS))

    def _expire(self, now: float) -> None:
        oldest = now - EXPIRY_SECONDS
        for each in list(self._readings_by_id.values()):
            if each.read_at <= oldest:
                del self._readings_by_id[each.id]

    def _are_alike(self) -> bool:
        cores = [each.cores for each in self._readings_by_id.values()]
        return max(cores) <= ALIKE_RATIO * min(cores)
