"""Choose the hosts for callers according to the hosts' capacity.

This handles fleets whose hosts differ in size. Callers keep an answer for a
while and pick one of its addresses at random for each connection, so that a
host's share follows from how often it is in an answer and how long that is.
"""

import random
from collections import defaultdict
from collections.abc import Mapping, Sequence

from attrs import frozen

MAX_HOSTS = 64
# Shorter answers follow capacities more closely, but callers must find a host
# that runs when some have failed.
MIN_HOSTS = 8
# Hosts count as alike up to this ratio of the largest to the smallest.
ALIKE_RATIO = 1.25
# Hosts from this utilization on are named less, down to the least share for
# one that has nothing left. They stay named, to see when they recover.
BUSY_UTILIZATION = 0.7
LEAST_SHARE = 0.25
# A zone with less than this part of a mean zone's capacity is helped, and so
# is one whose utilization is high and exceeds that of the others by this much.
SHORT_RATIO = 0.6
SHORT_UTILIZATION = 0.85
UTILIZATION_GAP = 0.15
# Most of the callers stay in their zone while it has hosts: traffic between
# zones costs more.
MAX_HELP = 0.5


@frozen
class HostCapacityReading:
    """Hold what a host can carry, in cores, and how much of that it uses.

    ``utilization`` is None if it is not known lately.
    """

    cores: float
    utilization: float | None = None

    @property
    def weight(self) -> float:
        """Return the capacity that callers should be sent to."""
        busy = (self.utilization or 0.0) - BUSY_UTILIZATION
        if busy <= 0.0:
            return self.cores
        return self.cores * max(LEAST_SHARE, 1.0 - busy / (1.0 - BUSY_UTILIZATION))


@frozen
class UsableHost:
    """Describe a host that callers may use; its capacity may be unknown."""

    ip: str
    availability_zone: str
    reading: HostCapacityReading | None = None


def choose_by_capacity(
    hosts: Sequence[UsableHost], caller_zone: str, rng: random.Random
) -> list[str] | None:
    """Return the IP addresses for callers of a zone.

    Return None if the hosts are alike, or most capacities are unknown.
    """
    readings = [host.reading for host in hosts if host.reading is not None]
    if 2 * len(readings) <= len(hosts):
        return None
    smallest = min(reading.cores for reading in readings)
    if max(reading.cores for reading in readings) <= ALIKE_RATIO * smallest:
        return None
    # An unknown host must not get more than it can carry.
    unknown = HostCapacityReading(smallest)
    readings_by_ip = {host.ip: host.reading or unknown for host in hosts}
    zones_by_ip = {host.ip: host.availability_zone for host in hosts}
    weights_by_ip = _weigh(readings_by_ip, zones_by_ip, caller_zone)
    total = sum(weights_by_ip.values())
    count = int(total / max(weights_by_ip.values()))
    count = min(len(weights_by_ip), MAX_HOSTS, max(MIN_HOSTS, count))
    return sample_by_weight(weights_by_ip, count, rng)


def _weigh(
    readings_by_ip: Mapping[str, HostCapacityReading],
    zones_by_ip: Mapping[str, str],
    caller_zone: str,
) -> dict[str, float]:
    """Return the weights of the hosts that may be in an answer."""
    near, far = {}, {}
    for ip, reading in readings_by_ip.items():
        weights = near if zones_by_ip[ip] == caller_zone else far
        weights[ip] = reading.weight
    if not near or not far:
        return near or far
    help_share = _help_share(readings_by_ip, zones_by_ip, caller_zone)
    near_sum, far_sum = sum(near.values()), sum(far.values())
    if len(near) < MIN_HOSTS <= len(readings_by_ip):
        # Too few to survive failures: others of any zone make up for them.
        help_share = max(help_share, 1.0 - len(near) / MIN_HOSTS)
    if help_share <= 0.0:
        return near
    # Never more than the hosts' own capacities.
    factor = min(1.0, help_share / (1.0 - help_share) * near_sum / far_sum)
    return near | {ip: weight * factor for ip, weight in far.items()}


def _help_share(
    readings_by_ip: Mapping[str, HostCapacityReading],
    zones_by_ip: Mapping[str, str],
    caller_zone: str,
) -> float:
    """Return which share of a zone's callers other zones should serve."""
    cores_by_zone: dict[str, float] = defaultdict(float)
    used_by_zone: dict[str, float] = defaultdict(float)
    for ip, reading in readings_by_ip.items():
        zone = zones_by_ip[ip]
        cores_by_zone[zone] += reading.cores
        used_by_zone[zone] += reading.cores * (reading.utilization or 0.0)
    total_cores = sum(cores_by_zone.values())
    cores = cores_by_zone[caller_zone]
    mean_cores = total_cores / len(cores_by_zone)
    share = 0.0
    if cores < SHORT_RATIO * mean_cores:
        share = 1.0 - cores / mean_cores
    utilization = used_by_zone[caller_zone] / cores
    others = (sum(used_by_zone.values()) - used_by_zone[caller_zone]) / (
        total_cores - cores
    )
    if utilization >= SHORT_UTILIZATION and utilization - others >= UTILIZATION_GAP:
        share = max(share, 1.0 - BUSY_UTILIZATION / utilization)
    return min(MAX_HELP, share)


def sample_by_weight(
    weights_by_ip: Mapping[str, float], count: int, rng: random.Random
) -> list[str]:
    """Return ``count`` addresses, each in proportion to its weight.

    One whose weight exceeds its part of the answer is always chosen. This is
    systematic sampling in random order, which keeps the proportions exactly.
    """
    chances_by_ip = _chances(weights_by_ip, count)
    ips = list(weights_by_ip)
    rng.shuffle(ips)
    chosen = []
    position = rng.random()
    reached = 0.0
    for ip in ips:
        reached += chances_by_ip[ip]
        if reached > position:
            chosen.append(ip)
            position += 1.0
    # Rounding may leave out the last one.
    missing = [ip for ip in ips if ip not in chosen][: count - len(chosen)]
    return chosen + missing


def _chances(weights_by_ip: Mapping[str, float], count: int) -> dict[str, float]:
    """Return how likely each address is in an answer of ``count``."""
    chances_by_ip = {}
    remaining = sum(weights_by_ip.values())
    for ip in sorted(weights_by_ip, key=weights_by_ip.__getitem__, reverse=True):
        weight = weights_by_ip[ip]
        chance = min(1.0, count * weight / remaining) if remaining > 0.0 else 1.0
        chances_by_ip[ip] = chance
        if chance == 1.0:
            count -= 1
            remaining -= weight
        # Once one is below 1, the proportion holds for all smaller ones.
    return chances_by_ip
