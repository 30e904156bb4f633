"""Let requests crash engines, and see them kept away."""

import asyncio

from attrs import evolve

from teaselpond.delivery.poison import (
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    ZONE_OUTAGE_DEATHS,
    EngineDeath,
    Quarantine,
    Suspicion,
)
from teaselpond_standins.platform import MemoryTable, PlatformFaultKind
from teaselpond_standins.testing import AsyncTestCase

from .relays import ENGINE, RelayBench, make_call

# A crash is seen by an engine that is gone, also on a busy machine.
SLOW_TO_RETURN = evolve(ENGINE, restart_seconds=30.0)
POISON = "please run poison-a"
PAIR = (("w", "f"),)


class Peers:
    """Pass suspicions on to other daemons at once."""

    def __init__(self) -> None:
        self.others: list[Quarantine] = []

    async def send_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        for other in self.others:
            for suspicion in suspicions:
                other.receive(suspicion)

    async def send_lifted(self, fingerprint: str) -> None:
        for other in self.others:
            other.receive_lifted(fingerprint)


class PoisonTests(AsyncTestCase):
    """Check poison requests against engines that crash."""

    async def test_poison_takes_down_two_engines_at_most(self) -> None:
        """Send a poison prompt again and again, at two daemons."""
        async with RelayBench(engines=5, engine=SLOW_TO_RETURN) as bench:
            other = bench.make_relay("d2")
            seen = [await bench.ask(make_call(POISON))]
            await other.quarantine.refresh()
            for relay in (bench.relay, other, other, bench.relay):
                seen.append(await bench.ask(make_call(POISON), relay=relay))
            crashes = sum(len(each.records.crash_times) for each in bench.standins)
            self.assertEqual(2, crashes)
            self.assertEqual(["quarantined may-have-run"], seen[:1])
            self.assertEqual(["quarantined not-run"] * 4, seen[1:])

    async def test_engines_that_are_back_at_once(self) -> None:
        """Count the deaths of engines that are back before they are asked."""
        at_once = evolve(ENGINE, restart_seconds=0.0)
        async with RelayBench(engines=5, engine=at_once) as bench:
            other = bench.make_relay("d2")
            for relay in (bench.relay, other, bench.relay, other):
                await bench.ask(make_call(POISON), relay=relay)
                await other.quarantine.refresh()
                await bench.relay.quarantine.refresh()
            crashes = sum(len(each.records.crash_times) for each in bench.standins)
            self.assertEqual(2, crashes)

    async def test_innocents_beside_it_are_served(self) -> None:
        """Retry what ran beside a poison prompt, and blame none of it."""
        async with RelayBench(
            engines=4, engine=evolve(SLOW_TO_RETURN, slots=16)
        ) as bench:
            calls = [make_call(f"innocent {n} words:60", f"r{n}") for n in range(6)]
            asked = [asyncio.create_task(bench.ask(call)) for call in calls]
            records = bench.standins[0].records
            await self.wait_until(lambda: len(records.starts_by_request_id) == 6)
            poisoned = await bench.ask(make_call(POISON, "poison"))
            self.assertEqual("quarantined may-have-run", poisoned)
            self.assertEqual(["whole"] * 6, await asyncio.gather(*asked))
            now = bench.relay.wall_clock()
            listed = bench.relay.quarantine.list_all(now)
            self.assertEqual([2], [len(each.death_ids) for each in listed])


class DeathWatchTests(AsyncTestCase):
    """Find out that an engine died while a request ran on it."""

    async def test_successor_that_answered_another_request(self) -> None:
        """Count the death of the process that the request was sent to."""
        async with RelayBench(engines=1) as bench:
            deaths = bench.relay.deaths
            call = make_call(POISON)
            deaths.record_incarnation("e0", "before")
            sent_to = await deaths.fetch_incarnation("e0")
            with deaths.running("e0", call):
                # The engine is back, and has answered someone else.
                deaths.record_incarnation("e0", bench.standins[0].engine.incarnation)
                self.assertTrue(await deaths.detect_death("e0", sent_to))
            now = bench.relay.wall_clock()
            self.assertTrue(bench.relay.quarantine.is_suspect(call.fingerprint, now))

    async def test_engine_that_was_never_met(self) -> None:
        """Count the death of an engine that had answered nobody here."""
        async with RelayBench(engines=1) as bench:
            deaths = bench.relay.deaths
            call = make_call(POISON)
            sent_to = await deaths.fetch_incarnation("e0")
            with deaths.running("e0", call):
                bench.standins[0].engine.crash()
                # Long enough to be back, but that makes no difference.
                await asyncio.sleep(0.5)
                self.assertTrue(await deaths.detect_death("e0", sent_to))


class QuarantineTests(AsyncTestCase):
    """Check what daemons know and tell of suspects."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 1000.0
        self.table = MemoryTable()

    def make(self, peers: Peers | None = None) -> Quarantine:
        """Return one daemon's quarantine, on a clock that stands still."""
        return Quarantine(self.table, peers, wall_clock=lambda: self.now)

    async def kill(self, quarantine: Quarantine, engine: str, zone: str = "z") -> None:
        """Record a death of an engine that ran the request f."""
        await quarantine.record_death(EngineDeath(engine, "i"), PAIR, zone=zone)

    async def test_two_deaths_seen_by_two_daemons(self) -> None:
        """Quarantine when two daemons saw one death each, then let go."""
        peers = Peers()
        one, other = self.make(peers), self.make()
        peers.others.append(other)
        await self.kill(one, "e1")
        self.assertTrue(other.is_suspect("f", self.now))
        await self.kill(other, "e2")
        self.assertTrue(other.is_quarantined("f", self.now))
        await one.refresh()
        self.assertTrue(one.is_quarantined("f", self.now))
        restarted = self.make()
        await restarted.refresh()
        self.assertTrue(restarted.is_quarantined("f", self.now))
        later = self.now + QUARANTINE_SECONDS
        self.assertFalse(one.is_quarantined("f", later))
        self.assertEqual(1, await one.expire(later))
        await restarted.refresh()
        self.assertEqual((), restarted.list_all(self.now))

    async def test_one_death_seen_by_many_counts_once(self) -> None:
        """Count a death once, with its incarnation known or not."""
        one = self.make()
        for incarnation in ("", "i", "i", ""):
            await one.record_death(EngineDeath("e1", incarnation), PAIR, zone="z")
        self.assertFalse(one.is_quarantined("f", self.now))
        await one.record_death(EngineDeath("e1", "i2"), PAIR, zone="z")
        self.assertTrue(one.is_quarantined("f", self.now))

    async def test_lift_is_told(self) -> None:
        """End a quarantine by hand, everywhere."""
        peers = Peers()
        one, other = self.make(peers), self.make()
        peers.others.append(other)
        for engine in ("e1", "e2"):
            await self.kill(one, engine)
        await one.clear("f")
        later = self.make()
        await later.refresh()
        for quarantine in (one, other, later):
            self.assertFalse(quarantine.is_quarantined("f", self.now))

    async def test_table_down_keeps_the_local_record(self) -> None:
        """Quarantine without the table."""
        self.table.faults.add(PlatformFaultKind.REFUSE)
        one = self.make()
        for engine in ("e1", "e2"):
            await self.kill(one, engine)
        self.assertTrue(one.is_quarantined("f", self.now))

    async def test_loss_of_a_zone_is_not_laid_to_requests(self) -> None:
        """Blame no request for deaths among many in one zone."""
        one = self.make()
        for number in range(ZONE_OUTAGE_DEATHS - 1):
            await one.record_death(EngineDeath(f"x{number}", "i"), (), zone="z")
        for number in range(4):
            await self.kill(one, f"e{number}")
        self.assertFalse(one.is_suspect("f", self.now))

    async def test_poison_beside_a_crash_in_its_zone(self) -> None:
        """Count a request's own deaths beside one of another cause."""
        one = self.make()
        await one.record_death(EngineDeath("x", "i"), (), zone="z")
        for number in range(2):
            self.now += 1.0
            await self.kill(one, f"e{number}")
        self.assertTrue(one.is_quarantined("f", self.now))

    async def test_suspicion_ends(self) -> None:
        """Forget one death after a time."""
        one = self.make()
        await self.kill(one, "e1")
        self.now += SUSPECT_SECONDS
        self.assertFalse(one.is_suspect("f", self.now))

    async def test_suspects_run_one_at_a_time(self) -> None:
        """Let one suspect at a time onto an engine, also after a cancel."""
        one = self.make()
        running = []
        most = []

        async def run(number: int, engine: str) -> None:
            async with one.run_exclusively(f"f{number}", engine):
                running.append(engine)
                most.append(running.count(engine))
                try:
                    await asyncio.sleep(0.001)
                finally:
                    running.remove(engine)

        tasks = [asyncio.create_task(run(n, f"e{n % 2}")) for n in range(10)]
        await asyncio.sleep(0.0015)
        tasks[2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual({1}, set(most))
        self.assertEqual({}, one._locks_by_name)

    async def test_suspects_of_one_death_do_not_meet_again(self) -> None:
        """Let suspects of one death run in turn, also on other engines."""
        one = self.make()
        names = [f"f{n}" for n in range(4)]
        death = EngineDeath("e0", "i1")
        await one.record_death(death, tuple(("w", n) for n in names), zone="z")
        running = []
        most = []

        async def run(number: int) -> None:
            async with one.run_exclusively(names[number], f"e{number}"):
                running.append(number)
                most.append(len(running))
                await asyncio.sleep(0.001)
                running.remove(number)

        await asyncio.gather(*(run(number) for number in range(4)))
        self.assertEqual([1, 1, 1, 1], most)
