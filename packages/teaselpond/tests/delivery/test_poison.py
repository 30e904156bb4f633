"""Check that requests that crash engines are quarantined."""

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

from .relay_harness import ENGINE, RelayHarness, make_call

# Engines stay down long enough for a crash to be noticed on a busy machine.
SLOW_TO_RESTART = evolve(ENGINE, restart_seconds=30.0)
POISON = "please run poison-a"
PAIR = (("w", "f"),)


class Peers:
    """Pass suspicions to other daemons immediately."""

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

    async def test_poison_crashes_at_most_two_engines(self) -> None:
        """Send a poison prompt repeatedly to two daemons."""
        async with RelayHarness(engines=5, engine=SLOW_TO_RESTART) as harness:
            other = harness.make_relay("d2")
            refusals = [await harness.run_call(make_call(POISON))]
            await other.quarantine.refresh()
            for relay in (harness.relay, other, other, harness.relay):
                refusals.append(await harness.run_call(make_call(POISON), relay=relay))
            crashes = sum(len(each.records.crash_times) for each in harness.standins)
            self.assertEqual(2, crashes)
            self.assertEqual(["quarantined may-have-run"], refusals[:1])
            self.assertEqual(["quarantined not-run"] * 4, refusals[1:])

    async def test_deaths_of_engines_that_restart_immediately(self) -> None:
        """Count deaths of engines that restarted before they are asked."""
        immediate_restart = evolve(ENGINE, restart_seconds=0.0)
        async with RelayHarness(engines=5, engine=immediate_restart) as harness:
            other = harness.make_relay("d2")
            for relay in (harness.relay, other, harness.relay, other):
                await harness.run_call(make_call(POISON), relay=relay)
                await other.quarantine.refresh()
                await harness.relay.quarantine.refresh()
            crashes = sum(len(each.records.crash_times) for each in harness.standins)
            self.assertEqual(2, crashes)

    async def test_requests_running_beside_poison_succeed(self) -> None:
        """Retry requests that ran beside a poison prompt; quarantine none."""
        async with RelayHarness(
            engines=4, engine=evolve(SLOW_TO_RESTART, slots=16)
        ) as harness:
            calls = [make_call(f"innocent {n} words:60", f"r{n}") for n in range(6)]
            tasks = [asyncio.create_task(harness.run_call(call)) for call in calls]
            records = harness.standins[0].records
            await self.wait_until(lambda: len(records.starts_by_request_id) == 6)
            poisoned = await harness.run_call(make_call(POISON, "poison"))
            self.assertEqual("quarantined may-have-run", poisoned)
            self.assertEqual(["whole"] * 6, await asyncio.gather(*tasks))
            now = harness.relay.wall_clock()
            listed = harness.relay.quarantine.list_active(now)
            self.assertEqual([2], [len(each.death_ids) for each in listed])


class EngineDeathDetectorTests(AsyncTestCase):
    """Check that the death of an engine with a running request is detected."""

    async def test_death_when_a_new_incarnation_is_already_known(self) -> None:
        """Count the death of the process that the request was sent to."""
        async with RelayHarness(engines=1) as harness:
            deaths = harness.relay.deaths
            call = make_call(POISON)
            deaths.record_incarnation("e0", "before")
            sent_to = await deaths.fetch_incarnation("e0")
            with deaths.running("e0", call):
                # The engine restarted and answered another request.
                deaths.record_incarnation("e0", harness.standins[0].engine.incarnation)
                self.assertTrue(await deaths.detect_death("e0", sent_to))
            now = harness.relay.wall_clock()
            self.assertTrue(harness.relay.quarantine.is_suspect(call.fingerprint, now))

    async def test_death_of_an_engine_without_known_incarnation(self) -> None:
        """Detect the death of an engine that had not answered here before."""
        async with RelayHarness(engines=1) as harness:
            deaths = harness.relay.deaths
            call = make_call(POISON)
            sent_to = await deaths.fetch_incarnation("e0")
            with deaths.running("e0", call):
                harness.standins[0].engine.crash()
                # The engine has restarted by then; its death still counts.
                await asyncio.sleep(0.5)
                self.assertTrue(await deaths.detect_death("e0", sent_to))


class QuarantineTests(AsyncTestCase):
    """Check how daemons record and share suspicions."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 1000.0
        self.table = MemoryTable()

    def make_quarantine(self, peers: Peers | None = None) -> Quarantine:
        """Return one daemon's quarantine with a clock set by the test."""
        return Quarantine(self.table, peers, wall_clock=lambda: self.now)

    async def record_death_of(
        self, quarantine: Quarantine, engine: str, zone: str = "z"
    ) -> None:
        """Record a death of an engine that ran the request f."""
        await quarantine.record_death(EngineDeath(engine, "i"), PAIR, zone=zone)

    async def test_two_deaths_seen_by_two_daemons(self) -> None:
        """Quarantine after one death at each of two daemons, then expire."""
        peers = Peers()
        first, other = self.make_quarantine(peers), self.make_quarantine()
        peers.others.append(other)
        await self.record_death_of(first, "e1")
        self.assertTrue(other.is_suspect("f", self.now))
        await self.record_death_of(other, "e2")
        self.assertTrue(other.is_quarantined("f", self.now))
        await first.refresh()
        self.assertTrue(first.is_quarantined("f", self.now))
        restarted = self.make_quarantine()
        await restarted.refresh()
        self.assertTrue(restarted.is_quarantined("f", self.now))
        later = self.now + QUARANTINE_SECONDS
        self.assertFalse(first.is_quarantined("f", later))
        self.assertEqual(1, await first.expire(later))
        await restarted.refresh()
        self.assertEqual((), restarted.list_active(self.now))

    async def test_one_death_reported_repeatedly_counts_once(self) -> None:
        """Count a death once, with its incarnation known or not."""
        quarantine = self.make_quarantine()
        for incarnation in ("", "i", "i", ""):
            await quarantine.record_death(
                EngineDeath("e1", incarnation), PAIR, zone="z"
            )
        self.assertFalse(quarantine.is_quarantined("f", self.now))
        await quarantine.record_death(EngineDeath("e1", "i2"), PAIR, zone="z")
        self.assertTrue(quarantine.is_quarantined("f", self.now))

    async def test_lift_reaches_other_daemons(self) -> None:
        """End a quarantine at every daemon when it is lifted at one."""
        peers = Peers()
        first, other = self.make_quarantine(peers), self.make_quarantine()
        peers.others.append(other)
        for engine in ("e1", "e2"):
            await self.record_death_of(first, engine)
        await first.clear("f")
        later = self.make_quarantine()
        await later.refresh()
        for quarantine in (first, other, later):
            self.assertFalse(quarantine.is_quarantined("f", self.now))

    async def test_table_down_keeps_the_local_record(self) -> None:
        """Quarantine a request while the table is unavailable."""
        self.table.faults.add(PlatformFaultKind.REFUSE)
        quarantine = self.make_quarantine()
        for engine in ("e1", "e2"):
            await self.record_death_of(quarantine, engine)
        self.assertTrue(quarantine.is_quarantined("f", self.now))

    async def test_zone_outage_suspects_no_request(self) -> None:
        """Suspect no request for deaths among many in one zone."""
        quarantine = self.make_quarantine()
        for number in range(ZONE_OUTAGE_DEATHS - 1):
            await quarantine.record_death(EngineDeath(f"x{number}", "i"), (), zone="z")
        for number in range(4):
            await self.record_death_of(quarantine, f"e{number}")
        self.assertFalse(quarantine.is_suspect("f", self.now))

    async def test_poison_is_counted_beside_another_death_in_its_zone(self) -> None:
        """Count deaths by a request beside one death with another cause."""
        quarantine = self.make_quarantine()
        await quarantine.record_death(EngineDeath("x", "i"), (), zone="z")
        for number in range(2):
            self.now += 1.0
            await self.record_death_of(quarantine, f"e{number}")
        self.assertTrue(quarantine.is_quarantined("f", self.now))

    async def test_suspicion_expires(self) -> None:
        """End the suspicion of a single death after SUSPECT_SECONDS."""
        quarantine = self.make_quarantine()
        await self.record_death_of(quarantine, "e1")
        self.now += SUSPECT_SECONDS
        self.assertFalse(quarantine.is_suspect("f", self.now))

    async def test_suspects_run_one_at_a_time(self) -> None:
        """Run one suspect at a time on an engine, also after a cancel."""
        quarantine = self.make_quarantine()
        running = []
        counts = []

        async def run(number: int, engine: str) -> None:
            async with quarantine.run_exclusively(f"f{number}", engine):
                running.append(engine)
                counts.append(running.count(engine))
                try:
                    await asyncio.sleep(0.001)
                finally:
                    running.remove(engine)

        tasks = [asyncio.create_task(run(n, f"e{n % 2}")) for n in range(10)]
        await asyncio.sleep(0.0015)
        tasks[2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual({1}, set(counts))
        self.assertEqual({}, quarantine._locks_by_name)

    async def test_suspects_of_one_death_run_one_at_a_time(self) -> None:
        """Run suspects of one death one at a time, also on other engines."""
        quarantine = self.make_quarantine()
        names = [f"f{n}" for n in range(4)]
        death = EngineDeath("e0", "i1")
        await quarantine.record_death(death, tuple(("w", n) for n in names), zone="z")
        running = []
        counts = []

        async def run(number: int) -> None:
            async with quarantine.run_exclusively(names[number], f"e{number}"):
                running.append(number)
                counts.append(len(running))
                await asyncio.sleep(0.001)
                running.remove(number)

        await asyncio.gather(*(run(number) for number in range(4)))
        self.assertEqual([1, 1, 1, 1], counts)
