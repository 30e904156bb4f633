"""Remember how many hosts share the budgets of the fleet.

A host's share of a budget must not grow because it hears less: hosts that are
cut off from it still send, and a process that has just started has heard few.
So the greatest number counts that any host heard, or read from the platform's
list of hosts, within the last minutes.
"""

from collections import deque

from attrs import define, field, frozen

# Hosts that left count for this long. Partitions that last longer are covered
# by the list of hosts, which the readers of the store repeat.
MEMORY_SECONDS = 120.0
# How often a reader of the store reads the list of hosts.
LIST_SECONDS = 10.0


@frozen
class SizeReading:
    """Hold a number of hosts and when it was observed, on the boot clock."""

    hosts: int
    observed_at: float


@define
class FleetSize:
    """Keep the greatest recent number of hosts."""

    # Each reading is smaller and newer than the one before it.
    _readings: deque[SizeReading] = field(factory=deque)

    def record(self, hosts: int, observed_at: float) -> None:
        """Record a number of hosts, this one included.

        Readings of peers may be older than those that are known.
        """
        readings = list(self._readings)
        if any(
            each.hosts >= hosts and each.observed_at >= observed_at for each in readings
        ):
            return
        kept = [
            each
            for each in readings
            if each.hosts > hosts or each.observed_at > observed_at
        ]
        kept.append(SizeReading(hosts, observed_at))
        self._readings = deque(sorted(kept, key=lambda each: each.observed_at))

    def largest(self, now: float) -> SizeReading:
        """Return the greatest recent number of hosts, at least one."""
        while self._readings and now - self._readings[0].observed_at >= MEMORY_SECONDS:
            self._readings.popleft()
        return self._readings[0] if self._readings else SizeReading(1, now)
