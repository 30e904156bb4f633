"""Test that the hosts of a fleet together keep to its budgets.

Hosts are cut off from one another, stop, freeze and restart while upstreams
fail all requests: the fleet's retries must stay within the bound even so. A
host that hears few others must not take their shares.
"""

import itertools
import random
from collections import defaultdict
from collections.abc import Sequence

import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from teaselpond.gateway.budgets import ColdBudget, RetryBudget
from teaselpond.gateway.fleet_size import MEMORY_SECONDS, FleetSize
from teaselpond.gateway.members import Members
from teaselpond_standins.testing.exchanges import (
    BOUNDS,
    SimulatedFleet,
    SimulatedPeer,
)
from teaselpond_standins.testing.gateways import make_heartbeat

SERVICE = "models"
SLACK = 54.0
RATIO = 0.2
WINDOW_SECONDS = 10.0
TICK_SECONDS = 0.1
COLD_PER_SECOND = 20.0


class RetryLoad:
    """Send requests that all fail, and count the fleet's retries.

    A host's requests are lost while it is dead; with ``moves``, the other
    hosts get them.
    """

    def __init__(
        self,
        fleet: SimulatedFleet,
        requests_per_second: float,
        *,
        moves: bool = False,
    ) -> None:
        self.fleet = fleet
        self.per_tick = requests_per_second * TICK_SECONDS
        self.moves = moves
        self.is_failing = True
        self.rng = random.Random(7)
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.retries_by_host: dict[str, list[float]] = defaultdict(list)

    def run(self, seconds: float) -> None:
        """Send for a time."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.fleet.run(TICK_SECONDS)
            for peer in self.fleet.live_peers:
                if peer.frozen_until <= self.fleet.now:
                    self.send(peer)

    def run_then_fail(self, seconds: float) -> None:
        """Send successfully for more than a window, then fail for a time."""
        self.is_failing = False
        self.run(WINDOW_SECONDS + 1.0)
        self.is_failing = True
        self.run(seconds)

    def send(self, peer: SimulatedPeer) -> None:
        """Send one host's requests, and retry each while it may."""
        now = self.fleet.now
        budgets = peer.host.retries
        hosts = len(self.fleet.live_peers) if self.moves else self.fleet.size
        count = int(self.per_tick / hosts + self.rng.random())
        for _ in range(count):
            budgets.record_request(SERVICE, now)
            self.requests.append(now)
        for _ in range(count if self.is_failing else 0):
            if budgets.try_acquire(SERVICE, now, peer.host.host_count()):
                self.retries.append(now)
                self.retries_by_host[peer.name].append(now)

    def excess(self) -> float:
        """Return by how much the worst window exceeds the bound."""
        return max(
            (
                count_between(self.retries, start, start + WINDOW_SECONDS)
                - RATIO * self.most_requests(start)
                - SLACK
                for start in self.retries
            ),
            default=0.0,
        )

    def most_requests(self, start: float) -> int:
        """Return the requests that count for a window: the most of three."""
        return max(
            count_between(self.requests, start - before, start - before + 10.0)
            for before in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )


def count_between(times: list[float], start: float, end: float) -> int:
    """Count the times in a window."""
    return sum(start <= each < end for each in times)


def make_fleet(size: int) -> SimulatedFleet:
    """Return a fleet that has run for a while, with this module's bounds."""
    fleet = SimulatedFleet(size, zone_count=3, retry_slack=SLACK)
    fleet.run(3.0)
    return fleet


def cut_islands(fleet: SimulatedFleet, count: int) -> None:
    """Cut a fleet into islands."""
    names = [peer.name for peer in fleet.peers_by_ip.values()]
    island_by_name = {name: number % count for number, name in enumerate(names)}
    fleet.is_cut = lambda sender, to: (
        island_by_name[sender.name] != island_by_name[to.name]
    )


def isolate(fleet: SimulatedFleet, peers: Sequence[SimulatedPeer]) -> None:
    """Cut hosts off from all others."""
    names = {peer.name for peer in peers}
    fleet.is_cut = lambda sender, to: bool({sender.name, to.name} & names)


class RetryBoundTests(testtools.TestCase):
    """Keep to the bound of retries while hosts hear few of the others."""

    def test_islands(self) -> None:
        """Neither islands nor hosts that hear nobody exceed the bound."""
        for count in (2, 6):
            for rate in (20.0, 60.0, 150.0):
                fleet = make_fleet(6)
                load = RetryLoad(fleet, rate)
                cut_islands(fleet, count)
                load.run(30.0)
                self.assertLessEqual(load.excess(), 0.0, (count, rate))
                self.assertGreater(len(load.retries), SLACK / 4, (count, rate))

    def test_restarts(self) -> None:
        """Hosts that restart once or twice within a window do not either."""
        for rounds in (1, 2):
            for rate in (20.0, 60.0, 150.0):
                fleet = make_fleet(6)
                load = RetryLoad(fleet, rate)
                load.run(12.0)
                for _ in range(rounds):
                    for peer in fleet.live_peers:
                        fleet.restart(peer)
                        load.run(0.7)
                load.run(12.0)
                self.assertLessEqual(load.excess(), 0.0, (rounds, rate))

    def test_islands_of_restarted_hosts(self) -> None:
        """A restarted host learns the fleet's size from its island."""
        fleet = make_fleet(6)
        load = RetryLoad(fleet, 60.0)
        cut_islands(fleet, 2)
        load.run(15.0)
        for peer in fleet.live_peers[:3]:
            fleet.restart(peer)
            load.run(2.0)
        load.run(15.0)
        self.assertLessEqual(load.excess(), 0.0)

    def test_larger_fleet(self) -> None:
        """Sixty hosts in islands, some of them restarted, do not either."""
        fleet = make_fleet(60)
        load = RetryLoad(fleet, 150.0)
        cut_islands(fleet, 4)
        for peer in fleet.live_peers[:20]:
            fleet.restart(peer)
            load.run(0.5)
        load.run(6.0)
        self.assertLessEqual(load.excess(), 0.0)

    def test_all_hosts_restart_at_once(self) -> None:
        """No host may use again what its previous process has used."""
        for share in (0.5, 1.0):
            for rate in (100.0, 400.0):
                fleet = make_fleet(6)
                load = RetryLoad(fleet, rate)
                load.run_then_fail(2.6)
                for peer in fleet.live_peers[: round(share * fleet.size)]:
                    fleet.restart(peer)
                load.run(12.0)
                self.assertLessEqual(load.excess(), 0.0, (share, rate))

    def test_cut_hosts_restart(self) -> None:
        """Nor what it used while no other host heard it."""
        for cut, seconds in itertools.product((2, 3, 4), (2.6, 5.0, 11.0)):
            fleet = make_fleet(6)
            load = RetryLoad(fleet, 150.0)
            load.run_then_fail(0.0)
            peers = fleet.live_peers[:cut]
            isolate(fleet, peers)
            load.run(seconds)
            fleet.is_cut = lambda sender, to: False
            for peer in peers:
                fleet.restart(peer)
            load.run(12.0)
            self.assertLessEqual(load.excess(), 0.0, (cut, seconds))

    def test_hosts_restart_while_others_are_cut(self) -> None:
        """Nor what only hosts heard that are gone too."""
        for cut in (1, 2, 3, 4):
            fleet = make_fleet(6)
            load = RetryLoad(fleet, 150.0)
            load.run_then_fail(0.0)
            isolate(fleet, fleet.live_peers[:cut])
            load.run(2.6)
            for peer in fleet.live_peers[cut:]:
                fleet.restart(peer)
            load.run(0.2)
            fleet.is_cut = lambda sender, to: False
            load.run(12.0)
            self.assertLessEqual(load.excess(), 0.0, cut)

    def test_hosts_take_over_traffic(self) -> None:
        """Hosts that get the traffic of killed ones keep to the bound."""
        for killed in (2, 3, 4):
            for rate in (100.0, 400.0):
                fleet = make_fleet(6)
                load = RetryLoad(fleet, rate, moves=True)
                load.run_then_fail(2.6)
                for peer in fleet.live_peers[:killed]:
                    peer.is_dead = True
                load.run(12.0)
                self.assertLessEqual(load.excess(), 0.0, (killed, rate))

    def test_hosts_are_added(self) -> None:
        """Added hosts take no share of the slack that others have used."""
        for added, rate in itertools.product((3, 6, 12), (10.0, 20.0, 60.0)):
            fleet = make_fleet(6)
            load = RetryLoad(fleet, rate, moves=True)
            load.run_then_fail(2.6)
            for number in range(added):
                fleet.start(6 + number)
            load.run(12.0)
            self.assertLessEqual(load.excess(), 0.0, (added, rate))

    def test_restarted_host_retries(self) -> None:
        """A host that restarts alone has retries left within two seconds."""
        for size in (6, 60):
            fleet = make_fleet(size)
            load = RetryLoad(fleet, 40.0 * size)
            load.is_failing = False
            load.run(4.0)
            started = fleet.restart(fleet.live_peers[0])
            load.run(1.0)
            load.is_failing = True
            load.run(1.0)
            used = len(load.retries_by_host[started.name])
            self.assertGreaterEqual(used, RATIO * 40.0, size)

    # Shrinking a failure would take minutes.
    @settings(
        max_examples=12,
        deadline=None,
        derandomize=True,
        phases=[Phase.explicit, Phase.generate],
    )
    @given(
        events=st.lists(
            st.tuples(
                st.sampled_from(["restart", "freeze", "islands", "heal", "kill"]),
                st.integers(0, 5),
                st.floats(0.3, 6.0),
            ),
            min_size=3,
            max_size=8,
        ),
        rate=st.sampled_from([20.0, 60.0, 150.0]),
    )
    def test_any_order_of_troubles(
        self, events: list[tuple[str, int, float]], rate: float
    ) -> None:
        """Restarts, freezes and cuts in any order do not exceed the bound."""
        fleet = make_fleet(6)
        load = RetryLoad(fleet, rate)
        load.run(3.0)
        for kind, number, seconds in events:
            peer = list(fleet.peers_by_ip.values())[number]
            if kind == "restart":
                fleet.restart(peer)
            elif kind == "freeze":
                peer.frozen_until = fleet.now + seconds
            elif kind == "kill":
                peer.is_dead = True
            elif kind == "islands":
                cut_islands(fleet, number + 1)
            else:
                fleet.is_cut = lambda sender, to: False
            load.run(seconds)
        load.run(5.0)
        self.assertLessEqual(load.excess(), 0.0)

    def test_calm_fleet_retries(self) -> None:
        """Hosts of a calm fleet may use most of the slack together."""
        for size in (6, 60):
            fleet = make_fleet(size)
            load = RetryLoad(fleet, 20.0 * size)
            load.run(2.0)
            self.assertGreaterEqual(len(load.retries), 0.5 * SLACK, size)

    def test_large_fleet_in_islands(self) -> None:
        """340 hosts that heard all others once keep their shares."""
        sizes = []
        for number in range(340):
            members = Members(f"g{number}")
            for other in range(340):
                members.update(make_heartbeat(f"g{other}"), 0.0)
            members.sharing(0.1)
            members.remove_expired(20.0)
            sizes.append(members.sharing(20.0).hosts)
        self.assertEqual({340}, set(sizes))
        budgets = [RetryBudget(RATIO, 430.0, WINDOW_SECONDS) for _ in sizes]
        used = sum(
            budget.try_acquire(20.0, size)
            for budget, size in zip(budgets, sizes, strict=True)
            for _ in range(5)
        )
        self.assertLessEqual(used, 430)


class ColdBoundTests(testtools.TestCase):
    """Keep to the bound of requests to upstreams that have just started."""

    def test_islands_and_restarts(self) -> None:
        """Hosts in islands, and restarted ones, do not exceed the bound."""
        fleet = make_fleet(6)
        budgets: dict[SimulatedPeer, ColdBudget] = {}
        times = []
        cut_islands(fleet, 3)
        for tick in range(200):
            fleet.run(TICK_SECONDS)
            if tick % 15 == 10:
                fleet.restart(fleet.live_peers[tick // 15 % 6])
            for peer in fleet.live_peers:
                budget = budgets.get(peer)
                if budget is None:
                    budget = budgets[peer] = peer.host.make_cold_budget()
                hosts = peer.host.host_count()
                while budget.allows("e1", COLD_PER_SECOND, fleet.now, hosts):
                    budget.record_sent("e1", COLD_PER_SECOND, fleet.now, hosts)
                    times.append(fleet.now)
        most = max(count_between(times, start, start + 1.0) for start in times)
        bound = COLD_PER_SECOND * BOUNDS.cold_overage + BOUNDS.cold_slack
        self.assertLessEqual(most, bound)
        self.assertGreater(len(times), 0)


class FleetSizeTests(testtools.TestCase):
    """Remember the greatest number of hosts."""

    def test_greatest_counts_until_it_is_old(self) -> None:
        """Fewer hosts count once the greater number is old."""
        size = FleetSize()
        size.record(6, 0.0)
        size.record(3, 10.0)
        self.assertEqual(6, size.largest(MEMORY_SECONDS - 0.1).hosts)
        self.assertEqual(3, size.largest(MEMORY_SECONDS).hosts)
        self.assertEqual(1, size.largest(MEMORY_SECONDS + 10.0).hosts)

    def test_late_news(self) -> None:
        """An older reading of a peer counts for as long as it is recent."""
        size = FleetSize()
        size.record(3, 10.0)
        size.record(6, 5.0)
        self.assertEqual(6, size.largest(11.0).hosts)
        self.assertEqual(3, size.largest(5.0 + MEMORY_SECONDS).hosts)

    def test_news_do_not_keep_a_number_alive(self) -> None:
        """Hosts that tell each other of a number forget it in the end."""
        ours, theirs = FleetSize(), FleetSize()
        ours.record(6, 0.0)
        for step in range(1, round(MEMORY_SECONDS) + 2):
            now = float(step)
            for source, target in ((ours, theirs), (theirs, ours)):
                source.record(3, now)
                reading = source.largest(now)
                target.record(reading.hosts, reading.observed_at)
        self.assertEqual(3, ours.largest(now).hosts)

    def test_listed_hosts(self) -> None:
        """Hosts that the store lists count though they were never heard."""
        members = Members("g0")
        members.update(make_heartbeat("g1"), 0.0)
        members.record_listed(["g0", "g2", "g3"], 1.0)
        self.assertEqual(4, members.sharing(1.0).hosts)
