"""Test what each host of a large fleet knows of the others."""

import random

import testtools

from teaselpond.gateway.ages import HOP_SECONDS
from teaselpond.gateway.engines import engine_key
from teaselpond.gateway.load_readings import LoadReadings
from teaselpond.gateway.loads import LoadTracker
from teaselpond.gateway.members import (
    Introduction,
    Members,
    MemberState,
    member_id,
)
from teaselpond.gateway.poison import PoisonTracker
from teaselpond.gateway.prefixes import PrefixUse
from teaselpond.gateway.sightings import SIGHTING, apply_sightings, pack_sightings
from teaselpond.gateway.starts import COUNTED_SECONDS, START, StartTracker
from teaselpond.gateway.surveying import RETURNED_RATIO
from teaselpond.gateway.suspects import MIN_ENDS_BY_SCOPE
from teaselpond.gateway.traits import Scope, Trait
from teaselpond_standins.testing.exchanges import (
    SilentJournal,
    SimulatedFleet,
    SimulatedPeer,
)
from teaselpond_standins.testing.gateways import make_engine, make_heartbeat

FLEET_SIZE = 195
# Time in which the ages of what hosts know of one another become steady.
SETTLE_SECONDS = 2.0
# A dead host is named to callers no longer than this.
NAMED_SECONDS = 1.6
# Callers must be able to reach nearly all hosts that live.
MIN_NAMED_SHARE = 0.97


class RecordingJournal(SilentJournal):
    """Keep the names of events."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.events: list[str] = []

    def write(self, event: str, now: float, /, **fields: object) -> None:
        """Keep the name of one event."""
        self.events.append(event)


class LargeFleetTests(testtools.TestCase):
    """Exchange heartbeats in a fleet where one turn through all is slow."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = SimulatedFleet(FLEET_SIZE)
        self.fleet.meet()
        self.fleet.run(SETTLE_SECONDS)

    def naming(self, peer: SimulatedPeer) -> int:
        """Return how many hosts name a host to callers."""
        return sum(
            member.host == peer.name
            for other in self.fleet.live_peers
            for member in other.host.members.recent(self.fleet.now)
        )

    def test_hosts_are_known(self) -> None:
        """Nearly all live hosts are known, and a dead one soon is not."""
        self.assertGreater(self.fleet.named_share(), MIN_NAMED_SHARE)
        dead = self.fleet.live_peers[7]
        dead.is_dead = True
        self.fleet.run(NAMED_SECONDS)
        self.assertEqual(0, self.naming(dead))

    def test_common_start(self) -> None:
        """Hosts that start together find one another."""
        fleet = SimulatedFleet(FLEET_SIZE // 3)
        fleet.run(2.0)
        self.assertGreater(fleet.named_share(), MIN_NAMED_SHARE)

    def test_lines_of_a_start(self) -> None:
        """A host that meets a whole fleet logs few lines of it."""
        restarted = self.fleet.restart(self.fleet.live_peers[9])
        journal = RecordingJournal("", 0)
        restarted.exchange.journal = journal
        self.fleet.run(3.0)
        self.assertLess(len(journal.events), FLEET_SIZE / 2)

    def test_zones_that_cannot_reach_each_other(self) -> None:
        """Two zones learn of each other through a third."""
        cut = {"zone-0", "zone-1"}
        self.fleet.is_cut = lambda sender, to: {sender.zone, to.zone} == cut
        self.fleet.run(3.0)
        self.assertGreater(self.fleet.named_share(), MIN_NAMED_SHARE)

    def test_lost_zone(self) -> None:
        """Hosts of a zone that is cut off are not named by the others."""
        self.fleet.is_cut = lambda sender, to: (
            (sender.zone == "zone-0") != (to.zone == "zone-0")
        )
        self.fleet.run(NAMED_SECONDS)
        lost = [peer for peer in self.fleet.live_peers if peer.zone == "zone-0"]
        self.assertEqual(
            0,
            sum(
                member.heartbeat.availability_zone == "zone-0"
                for peer in self.fleet.live_peers
                if peer.zone != "zone-0"
                for member in peer.host.members.recent(self.fleet.now)
            ),
            len(lost),
        )

    def test_few_hosts_return_in_a_calm_fleet(self) -> None:
        """Hosts that are unseen for a moment do not look like a partition."""
        for peer in self.fleet.live_peers:
            peer.host.members.take_returned()
        self.fleet.run(1.0)
        most = max(
            len(peer.host.members.take_returned()) for peer in self.fleet.live_peers
        )
        self.assertLess(most, RETURNED_RATIO * FLEET_SIZE)

    def test_hosts_return_after_a_partition(self) -> None:
        """The hosts of a zone that was cut off notice it."""
        self.fleet.is_cut = lambda sender, to: (
            (sender.zone == "zone-0") != (to.zone == "zone-0")
        )
        self.fleet.run(4.0)
        self.fleet.is_cut = lambda sender, to: False
        self.fleet.run(0.6)
        cut = [peer for peer in self.fleet.live_peers if peer.zone == "zone-0"]
        noticed = sum(
            len(peer.host.members.take_returned()) >= RETURNED_RATIO * FLEET_SIZE
            for peer in cut
        )
        self.assertGreater(noticed, MIN_NAMED_SHARE * len(cut))

    def test_restarted_host(self) -> None:
        """A restarted host is known again, and knows the others."""
        restarted = self.fleet.restart(self.fleet.live_peers[9])
        self.fleet.run(2.0)
        known = len(restarted.host.members.recent(self.fleet.now))
        self.assertGreater(known, MIN_NAMED_SHARE * (FLEET_SIZE - 1))
        self.assertGreater(self.naming(restarted), MIN_NAMED_SHARE * FLEET_SIZE - 1)

    def test_broken_request(self) -> None:
        """All hosts hear of a request that breaks upstreams."""
        first = self.fleet.live_peers[3]
        trait = Trait(b"12345678", Scope.REQUEST)
        for number in range(MIN_ENDS_BY_SCOPE[Scope.REQUEST]):
            engine = make_engine(f"e{number}")
            now = self.fleet.now
            first.host.poison.record_own((trait,), engine, now, now)
        self.fleet.run(2.0)
        heard = sum(
            peer.host.poison.is_poisonous((trait,), self.fleet.now)
            for peer in self.fleet.live_peers
        )
        self.assertGreater(heard, MIN_NAMED_SHARE * FLEET_SIZE)

    def test_prefix_news(self) -> None:
        """All hosts hear soon where a prefix was processed."""
        for peer in self.fleet.live_peers:
            peer.host.routing_state.update_engine(make_engine("e1"), self.fleet.now)
        first = self.fleet.live_peers[3]
        use = PrefixUse(b"12345678", "e1", self.fleet.now)
        first.host.prefixes.record(use)
        self.fleet.run(1.5)
        heard = sum(
            peer.host.prefixes.holders(b"12345678", self.fleet.now) == ["e1"]
            for peer in self.fleet.live_peers
        )
        self.assertGreater(heard, MIN_NAMED_SHARE * FLEET_SIZE)

    def test_prefix_news_after_more_than_heartbeats_carry(self) -> None:
        """Late news of a busy time neither delay later ones nor go round."""
        fleet = SimulatedFleet(60, zone_count=3)
        fleet.meet()
        for peer in fleet.live_peers:
            peer.host.routing_state.update_engine(make_engine("e1"), fleet.now)
        for number in range(3000):
            peer = fleet.live_peers[number % 60]
            key = number.to_bytes(8, "big")
            peer.host.prefixes.record(PrefixUse(key, "e1", fleet.now))
            if number % 100 == 0:
                fleet.run(0.1)
        fleet.run(2.0)
        use = PrefixUse(b"12345678", "e1", fleet.now)
        fleet.live_peers[7].host.prefixes.record(use)
        fleet.run(1.5)
        heard = sum(
            peer.host.prefixes.holders(b"12345678", fleet.now) == ["e1"]
            for peer in fleet.live_peers
        )
        self.assertGreater(heard, MIN_NAMED_SHARE * 60)

    def test_load_readings(self) -> None:
        """All hosts hear what an upstream answered, and of a start since."""
        first = self.fleet.live_peers[3]
        first.host.loads.record_reading("e1", 17, self.fleet.now)
        self.fleet.run(0.1)
        first.host.loads.record_start("e1", self.fleet.now)
        self.fleet.run(0.8)
        heard = sum(
            peer.host.loads.count("e1", self.fleet.now) == 18
            for peer in self.fleet.live_peers
        )
        self.assertGreater(heard, MIN_NAMED_SHARE * FLEET_SIZE)


class SightingsTests(testtools.TestCase):
    """Pass on when other hosts were seen."""

    def test_round_trip(self) -> None:
        """A host that was seen through another is recent, with its state."""
        ours, theirs = Members("me"), Members("g2")
        for members, now in ((ours, 0.0), (theirs, 5.0)):
            members.update(make_heartbeat("g1"), now)
        theirs.update(make_heartbeat("g1", state=MemberState.LEAVING), 5.0)
        self.assertEqual([], ours.recent(5.0))
        apply_sightings(ours, pack_sightings(theirs, 5.1), 5.1)
        (member,) = ours.recent(5.2)
        self.assertEqual(MemberState.LEAVING, member.state)

    def test_sighting_ages_on_its_way(self) -> None:
        """A sighting that is passed back and forth gets older."""
        ours, theirs = Members("me"), Members("g2")
        for members in (ours, theirs):
            members.update(make_heartbeat("g1"), 0.0)
        for step in range(20):
            now = step * 0.01
            apply_sightings(theirs, pack_sightings(ours, now), now)
            apply_sightings(ours, pack_sightings(theirs, now), now)
        self.assertEqual(0.0, ours.members_by_host["g1"].seen_at)

    def test_unknown_process(self) -> None:
        """Sightings of unknown processes are ignored."""
        members = Members("me")
        members.update(make_heartbeat("g1", incarnation=2), 0.0)
        packed = SIGHTING.pack(member_id("g1", 1), MemberState.SERVING, 0)
        apply_sightings(members, packed, 9.0)
        self.assertEqual([], members.recent(9.0))

    def test_introduction_of_an_old_process(self) -> None:
        """An introduction does not replace a process that was seen later."""
        members = Members("me")
        members.update(make_heartbeat("g1", incarnation=2), 1.0)
        old = Introduction("g1", 1, "ip-g1", "zone-a", MemberState.SERVING, 0.5)
        members.introduce([old], 1.2)
        self.assertEqual(2, members.members_by_host["g1"].heartbeat.incarnation)
        newer = Introduction("g1", 3, "ip-g1", "zone-a", MemberState.SERVING, 0.1)
        members.introduce([newer], 1.4)
        self.assertEqual(3, members.members_by_host["g1"].heartbeat.incarnation)


class LoadReadingsTests(testtools.TestCase):
    """Estimate loads from upstreams' answers and from heartbeats."""

    def test_requests_since_the_reading(self) -> None:
        """Requests that any host sent since a reading are added to it."""
        loads = LoadTracker(peer_age_seconds=1.0)
        loads.set_peer_loads("g1", {"e1": 3})
        loads.record_start("e1", 4.9)
        loads.record_reading("e1", 8, 5.0)
        loads.record_start("e1", 5.1)
        peer = StartTracker()
        peer.record_own(engine_key("e1"), 5.2)
        loads.starts.merge_news(peer.pack_news(5.2), 5.21)
        self.assertEqual(10, loads.count("e1", 5.3))

    def test_old_reading(self) -> None:
        """What an upstream said long ago no longer counts."""
        loads = LoadTracker(peer_age_seconds=1.0)
        loads.record_reading("e1", 8, 5.0)
        counts = [loads.count("e1", now) for now in (6.0, 7.5, 9.0)]
        self.assertEqual([8, 4, 0], counts)

    def test_small_fleet(self) -> None:
        """Heartbeats of all peers count where they are new."""
        loads = LoadTracker(peer_age_seconds=0.1)
        loads.set_peer_loads("g1", {"e1": 3})
        loads.record_reading("e1", 8, 5.0)
        with loads.track("e1"):
            self.assertEqual(4, loads.count("e1", 5.0))

    def test_older_reading_of_a_peer(self) -> None:
        """A peer's reading replaces an older one only."""
        ours, theirs = LoadReadings(), LoadReadings()
        key = engine_key("e1")
        theirs.record("e1", 4, 1.0)
        ours.record("e1", 9, 2.0)
        ours.merge(theirs.pack(random.Random(1), 2.0), 2.0)
        self.assertEqual(9, ours.newest(key).load)
        theirs.record("e1", 5, 3.0)
        ours.merge(theirs.pack(random.Random(1), 3.0), 3.0)
        self.assertEqual(5, ours.newest(key).load)
        self.assertLessEqual(ours.newest(key).read_at, 3.0 - HOP_SECONDS)

    def test_start_is_counted_and_passed_on_once(self) -> None:
        """A start that comes back from peers is not counted again."""
        ours, theirs = StartTracker(), StartTracker()
        ours.record_own(7, 1.0)
        theirs.merge_news(ours.pack_news(1.0), 1.0)
        ours.merge_news(theirs.pack_news(1.1), 1.1)
        self.assertEqual(1, ours.count_since(7, 0.0))
        self.assertEqual(b"", ours.pack_news(1.2))
        ours.expire(1.0 + COUNTED_SECONDS)
        self.assertEqual(0, ours.count_since(7, 0.0))


class PrefixRateTests(testtools.TestCase):
    """Tell from all hosts' starts how popular a prompt is."""

    def setUp(self) -> None:
        super().setUp()
        self.ours = StartTracker(random.Random(1))

    def hear(self, prefixes: list[bytes], started_at: float) -> None:
        """Record starts of one peer each, at upstreams in turn."""
        for number, prefix in enumerate(prefixes):
            peer = StartTracker(random.Random(number + 2))
            peer.record_own(number % 5, started_at + number * 0.01, prefix)
            heard_at = started_at + number * 0.01 + 0.1
            self.ours.merge_news(peer.pack_news(heard_at), heard_at)

    def test_prompt_that_became_popular(self) -> None:
        """One request at each of many hosts makes a prompt popular."""
        self.hear([b"12345678"] * 40, 1.0)
        self.assertEqual(0.0, self.ours.prefix_rate(b"12345678", 1.2))
        self.assertAlmostEqual(
            80.0, self.ours.prefix_rate(b"12345678", 1.85), delta=8.0
        )
        self.assertAlmostEqual(21.0, self.ours.prefix_rate(b"12345678", 3.3), delta=2.0)
        self.assertEqual(0.0, self.ours.prefix_rate(b"12345678", 4.0))

    def test_different_prompts(self) -> None:
        """Requests for other prompts, or without one, do not count."""
        self.hear([b"%08d" % number for number in range(40)] + [b""] * 40, 1.0)
        for prefix in (b"%08d" % 7, b""):
            self.assertEqual(0.0, self.ours.prefix_rate(prefix, 2.3))

    def test_starts_of_older_builds(self) -> None:
        """Random numbers must not look like a popular prompt."""
        rng = random.Random(3)
        for _ in range(1000):
            start = START.pack(rng.getrandbits(32), 7, 0)
            self.ours.merge_news(start, 1.0)
        rates = [self.ours.prefix_rate(b"%08d" % n, 1.5) for n in range(1000)]
        self.assertEqual({0.0}, set(rates))
        self.assertEqual(1000, self.ours.count_since(7, 0.0))

    def test_old_starts_are_forgotten(self) -> None:
        """Starts must not be kept for ever, and none be counted twice."""
        self.hear([b"12345678"] * 40, 1.0)
        self.assertEqual(8, self.ours.count_since(3, 0.0))
        self.ours.expire(2.0 + COUNTED_SECONDS)
        self.assertEqual(StartTracker(self.ours.rng, news=self.ours._news), self.ours)


class RelayedAttemptsTests(testtools.TestCase):
    """Pass on which requests broke upstreams."""

    def test_attempt_is_passed_on_once(self) -> None:
        """An attempt that two hosts tell each other of is not kept alive."""
        ours, theirs = PoisonTracker(), PoisonTracker()
        trait = Trait(b"12345678", Scope.REQUEST)
        ours.record_own((trait,), make_engine("e1"), 0.0, 0.0)
        for step in range(1, 50):
            now = step * 0.1
            for source, target in ((ours, theirs), (theirs, ours)):
                target.merge_news(source.pack_news(now), now)
        self.assertEqual(b"", ours.pack_news(5.0))
        self.assertEqual(b"", theirs.pack_news(5.0))
