"""Test neighbours, suspicions, damping and the host list without I/O."""

from collections import Counter

import testtools

from teaselpond.links.facts import FactStore
from teaselpond.membership.damping import DampingSettings, FlapDamping
from teaselpond.membership.listing import HostListReconciler, poll_interval
from teaselpond.membership.neighbours import (
    MAX_DIALED_LINKS,
    Candidate,
    choose_neighbours,
)
from teaselpond.membership.records import HOST_TOPIC
from teaselpond.membership.suspicion import SuspicionSettings, SuspicionTimers
from teaselpond_model.contracts import Address, Host, HostKind, HostState


def make_fleet(size: int, zones: int = 17) -> list[Candidate]:
    """Return daemons that are distributed over zones."""
    return [Candidate(f"d{n}", f"z{n % zones}") for n in range(size)]


def make_links(fleet: list[Candidate]) -> dict[str, set[str]]:
    """Return each daemon's peers after all have dialed their neighbours."""
    peers_by_id = {each.daemon_id: set() for each in fleet}
    for each in fleet:
        for peer_id in choose_neighbours(each, fleet):
            peers_by_id[each.daemon_id].add(peer_id)
            peers_by_id[peer_id].add(each.daemon_id)
    return peers_by_id


def count_reachable(peers_by_id: dict[str, set[str]], lost_ids: set[str]) -> int:
    """Return how many daemons the first one left reaches, with itself."""
    remaining_ids = [each for each in peers_by_id if each not in lost_ids]
    seen, queue = {remaining_ids[0]}, [remaining_ids[0]]
    while queue:
        for peer_id in peers_by_id[queue.pop()] - lost_ids - seen:
            seen.add(peer_id)
            queue.append(peer_id)
    return len(seen)


class NeighbourTests(testtools.TestCase):
    """Test which daemons are linked in fleets of different sizes."""

    def test_small_fleets_are_fully_linked(self) -> None:
        """Link every pair of daemons of a small fleet."""
        for size in range(1, MAX_DIALED_LINKS + 2):
            for peers in make_links(make_fleet(size, 3)).values():
                self.assertEqual(size - 1, len(peers))

    def test_large_fleet_has_few_links_and_stays_connected(self) -> None:
        """Limit each daemon's links; stay connected when zones are lost."""
        fleet = make_fleet(340)
        peers_by_id = make_links(fleet)
        degrees = Counter(len(peers) for peers in peers_by_id.values())
        self.assertTrue(max(degrees) <= 4 * MAX_DIALED_LINKS, degrees)
        for zones in (0, 1, 4):
            lost = {each.daemon_id for each in fleet if int(each.zone[1:]) < zones}
            self.assertEqual(340 - len(lost), count_reachable(peers_by_id, lost))

    def test_removed_daemon_changes_few_links(self) -> None:
        """Change few links besides those of the removed daemon."""
        fleet = make_fleet(100)
        before, after = make_links(fleet), make_links(fleet[1:])
        changed = sum(before[each] - {"d0"} != after[each] for each in after)
        self.assertTrue(changed <= 2 * len(before["d0"]) + 2, changed)


class SuspicionTests(testtools.TestCase):
    """Test when daemons become suspect and when they are declared gone."""

    def test_timeouts(self) -> None:
        """Advance the time and compare the daemons that are due."""
        timers = SuspicionTimers(SuspicionSettings(1.0, 4.0, 3.0))
        timers.record_link_down("a", 0.0)
        timers.record_link_down("b", 0.0)
        timers.record_link_up("b")
        for now, suspects, gone in (
            (0.9, (), ()),
            (1.0, ("a",), ()),
        ):
            self.assertEqual(suspects, timers.suspects_due(now))
            self.assertEqual(gone, timers.expired_suspects(now))
        timers.record_suspicion("a", 1.0)
        timers.record_suspicion("a", 3.9)
        self.assertEqual((), timers.expired_suspects(3.9))
        self.assertEqual(("a",), timers.expired_suspects(4.0))
        timers.record_refutation("a", 4.0)
        self.assertEqual((), timers.expired_suspects(9.0))
        self.assertEqual((), timers.suspects_due(5.9))
        self.assertEqual(("a",), timers.suspects_due(6.0))


class DampingTests(testtools.TestCase):
    """Test when a host counts as flapping."""

    def test_suppression_and_reuse(self) -> None:
        """Suppress a host after frequent changes; reuse it after a pause."""
        for changes, now, suppressed in (
            ((), 0, False),
            ((0, 1, 2), 2, False),
            ((0, 1, 2, 3), 3, True),
            ((0, 1, 2, 3), 20, True),
            ((0, 1, 2, 3), 60, False),
            ((0, 30, 60, 90), 90, False),
            (tuple(range(100)), 150, True),
            (tuple(range(100)), 200, False),
        ):
            damping = FlapDamping(DampingSettings())
            for at in changes:
                damping.record_change("h", at)
                damping.is_suppressed("h", at + 0.5)
            self.assertEqual(suppressed, damping.is_suppressed("h", now), changes)


class HostListTests(testtools.TestCase):
    """Test which changes of a lagging host list are applied."""

    def test_applied_changes(self) -> None:
        """Ignore a poll that contradicts a recent report by a peer."""
        live = Host("h", Address("127.0.0.1", 1), "z", HostKind.ENGINE)
        leaving = Host("h", live.address, "z", HostKind.ENGINE, HostState.LEAVING)
        for known, poll, seconds, changed in (
            ((), (live,), 0, True),
            ((live,), (live,), 99, False),
            ((live,), (leaving,), 0, True),
            ((leaving,), (live,), 1, False),
            ((leaving,), (live,), 11, True),
            ((live,), (), 1, False),
            ((live,), (), 11, True),
        ):
            reconciler = HostListReconciler(FactStore(), 10.0)
            if known:
                reconciler.apply(known, 0.0)
                reconciler.record_peer_change("h", 0.0)
            self.assertEqual(changed, bool(reconciler.apply(poll, seconds)))

    def test_long_list_is_polled_less_often(self) -> None:
        """Limit the bytes per second that polls of a long list read."""
        self.assertEqual(2.0, poll_interval(15, 2.0))
        self.assertTrue(poll_interval(7740, 2.0) > 700)

    def test_host_versions_increase(self) -> None:
        """Publish each change with a higher version number."""
        store = FactStore()
        reconciler = HostListReconciler(store, 0.0)
        live = Host("h", Address("127.0.0.1", 1), "z", HostKind.ENGINE)
        numbers = []
        for hosts in ((live,), (), (live,)):
            reconciler.apply(hosts, 0.0)
            numbers.append(store.get(HOST_TOPIC, "h", 0.0).number)
        self.assertEqual([1, 2, 3], numbers)
