"""Define the sizes and targets that the fleet is designed for."""

import statistics

from teaselpond.links.loads import LoadSettings
from teaselpond.membership.neighbours import Candidate, choose_neighbours

from .sizes import zone_for_host

DAEMONS = 340
ENGINES = 7_400
HOSTS = DAEMONS + ENGINES
WORKSPACES = 2_800
REQUESTS_PER_SECOND = 16_000
TOKENS_PER_SECOND = 7_000_000
CHANGES_PER_DAY = 9_800
RESTARTS_PER_DAY = 2_500
FAILURES_PER_DAY = 72
ZONES = 17
REGIONS = 5
SECONDS_PER_DAY = 86_400
CONTROL_BYTES_PER_SECOND = 12_000
CONTROL_CORE_SHARE = 0.015
CONTROL_MEMORY_BYTES = 32_000_000
TABLE_WRITES_PER_SECOND = 300
TABLE_READS_PER_SECOND = 2_000
REMOTE_SHARES = (0.0, 0.05, 0.1, 0.25, 1.0)
PREFIXES_PER_ENGINE = 4_096
DISPLACED_CHATS = 4_096


def requests_per_daemon() -> float:
    """Return a daemon's requests per second at peak load."""
    return REQUESTS_PER_SECOND / DAEMONS


def engines_per_daemon() -> float:
    """Return the mean number of engines that a daemon owns."""
    return ENGINES / DAEMONS


def persistent_links_per_daemon() -> float:
    """Return the mean number of persistent links of a daemon.

    The links are those that ``choose_neighbours`` selects for the fleet.
    """
    fleet = [Candidate(f"daemon-{n:03}", zone_for_host(n)) for n in range(DAEMONS)]
    pairs = {
        frozenset((each.daemon_id, peer_id))
        for each in fleet
        for peer_id in choose_neighbours(each, fleet)
    }
    return statistics.mean([2 * len(pairs) / DAEMONS])


def loads_received_per_second() -> float:
    """Return the most load facts that a daemon receives per second."""
    return DAEMONS / LoadSettings().interval(DAEMONS)
