"""Check that two daemons never send orders to one engine at a time."""

import random

from attrs import define, evolve, field

from teaselpond.leases import LeaseManager, LeaseSettings, lease_key
from teaselpond.orders import ClaimPending, DesiredState, EngineClaims
from teaselpond.orders.claims import FenceTooLow, claim_key
from teaselpond_model.exceptions import (
    LeaseLost,
    StoreUnavailable,
    TransactionConflict,
)
from teaselpond_standins.platform import MemoryTable, PlatformFaultKind
from teaselpond_standins.testing import AsyncTestCase

FENCED = DesiredState("e1", "fitting", "4", (), "serve", checks_fence=True)
UNFENCED = evolve(FENCED, checks_fence=False)
ORDER_SECONDS = 5.0
# The default duration of 9 s is too short here: with clock drift, a holder may
# act for less than an order's timeout.
SETTINGS = LeaseSettings(duration_seconds=15.0, store_timeout_seconds=0.05)
TAKEOVER_SECONDS = (SETTINGS.duration_seconds + ORDER_SECONDS) * (
    1 + SETTINGS.drift_ratio
)


@define
class Claimant:
    """Simulate a process that claims engines, with its own clock.

    ``now`` is the true time; the clock runs at ``rate`` from ``start``.
    """

    table: MemoryTable
    daemon_id: str
    incarnation: str
    rate: float = 1.0
    start: float = 0.0
    now: float = 0.0
    leases: LeaseManager = field(init=False)
    claims: EngineClaims = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.leases = LeaseManager(
            self.table, self.daemon_id, self.incarnation, settings=SETTINGS
        )
        self.claims = EngineClaims(
            self.table, self.daemon_id, self.incarnation, SETTINGS, clock=self.clock
        )

    def clock(self) -> float:
        """Return the time of this process's clock."""
        return self.start + self.rate * self.now

    async def renew(self, now: float) -> None:
        """Acquire or renew the lease at a true time."""
        self.now = now
        await self.leases.step(self.clock())

    async def claim(self, desired: DesiredState, now: float) -> bool:
        """Return whether an order may be sent at a true time."""
        self.now = now
        try:
            lease = self.leases.assert_held(self.clock(), ORDER_SECONDS)
            await self.claims.claim(desired, lease, ORDER_SECONDS)
            lease.assert_held(self.clock(), ORDER_SECONDS)
        except (ClaimPending, LeaseLost, StoreUnavailable, TransactionConflict):
            return False
        return True


class ClaimTests(AsyncTestCase):
    """Check how claims are acquired, confirmed, taken over and released."""

    def setUp(self) -> None:
        super().setUp()
        self.table = MemoryTable()
        self.a = Claimant(self.table, "d1", "a")
        self.b = Claimant(self.table, "d2", "b")

    async def test_takeover_without_fences_waits(self) -> None:
        """Take over only after lease duration, order timeout and drift."""
        await self.a.renew(0.0)
        self.assertTrue(await self.a.claim(UNFENCED, 1.0))
        self.assertTrue(await self.a.claim(UNFENCED, 2.0))
        for now in (3.0, 8.0, 13.0, 18.0, 3.0 + TAKEOVER_SECONDS - 0.1):
            await self.b.renew(now)
            self.assertFalse(await self.b.claim(UNFENCED, now))
        self.assertTrue(await self.b.claim(UNFENCED, 3.0 + TAKEOVER_SECONDS))
        # The earlier holder's lease is deleted and its claim taken over.
        self.assertIsNone(await self.table.get(lease_key("d1")))
        await self.a.renew(30.0)
        self.assertFalse(await self.a.claim(UNFENCED, 30.0))

    async def test_a_renewed_lease_keeps_its_claims(self) -> None:
        """Never take over an engine from a daemon that renews its lease."""
        for now in range(0, 90, 3):
            await self.a.renew(float(now))
            await self.b.renew(float(now))
            self.assertTrue(await self.a.claim(UNFENCED, now + 0.5))
            self.assertFalse(await self.b.claim(UNFENCED, now + 1.0))

    async def test_takeover_with_fences_is_immediate(self) -> None:
        """Take over an engine at once, but only with a higher token."""
        await self.a.renew(0.0)
        await self.b.renew(0.0)
        self.assertTrue(await self.b.claim(FENCED, 1.0))
        try:
            await self.a.claim(FENCED, 1.0)
        except FenceTooLow:
            await self.a.leases.reacquire(1.0)
        else:
            self.fail("a lower fencing token took over the engine")
        self.assertTrue(await self.a.claim(FENCED, 1.0))
        self.assertGreater(
            self.a.leases.lease(1.0).fence, self.b.leases.lease(1.0).fence
        )

    async def test_restarted_daemon_waits_for_its_earlier_process(self) -> None:
        """Treat a new process on the same host as another holder."""
        await self.a.renew(0.0)
        self.assertTrue(await self.a.claim(UNFENCED, 0.0))
        restarted = Claimant(self.table, "d1", "a2")
        for now in range(1, 22, 3):
            await restarted.renew(float(now))
            self.assertFalse(await restarted.claim(UNFENCED, now))
        await restarted.renew(23.0)
        self.assertTrue(await restarted.claim(UNFENCED, 23.0))

    async def test_released_engine_is_claimable_at_once(self) -> None:
        """Let another daemon claim a released engine without a wait."""
        await self.a.renew(0.0)
        await self.b.renew(0.0)
        self.assertTrue(await self.a.claim(UNFENCED, 0.0))
        await self.b.claims.release("e1")
        self.assertFalse(await self.b.claim(UNFENCED, 1.0))
        await self.a.claims.release("e1")
        self.assertEqual(set(), self.a.claims.claimed_engines)
        self.assertTrue(await self.b.claim(UNFENCED, 1.0))
        await self.a.claims.release("e1")
        self.assertIsNotNone(await self.table.get(claim_key("e1")))

    async def test_a_stale_read_gives_no_claim(self) -> None:
        """Refuse a claim that was read from a stale replica."""
        await self.a.renew(0.0)
        self.assertTrue(await self.a.claim(FENCED, 0.0))
        self.table.freeze_replica()
        await self.b.renew(0.0)
        self.assertTrue(await self.b.claim(FENCED, 0.0))
        self.table.faults.add(PlatformFaultKind.STALE, "table.get")
        self.assertFalse(await self.a.claim(FENCED, 0.0))

    async def test_stale_read_of_lease_gives_no_takeover(self) -> None:
        """Refuse a takeover if the lease was renewed since a stale read."""
        await self.a.renew(0.0)
        self.assertTrue(await self.a.claim(UNFENCED, 0.0))
        self.table.freeze_replica()
        stale = PlatformFaultKind.STALE
        self.table.faults.add(stale, "table.get", key=lease_key("d1"))
        for now in range(3, 60, 3):
            await self.a.renew(float(now))
            await self.b.renew(float(now))
            self.assertFalse(await self.b.claim(UNFENCED, float(now)))
            self.assertTrue(await self.a.claim(UNFENCED, float(now)))

    async def test_a_claim_needs_the_lease_in_the_table(self) -> None:
        """Refuse a process whose lease a newer one on its host acquired."""
        await self.a.renew(0.0)
        await Claimant(self.table, "d1", "a2").renew(1.0)
        self.assertFalse(await self.a.claim(UNFENCED, 2.0))

    async def test_orders_of_two_daemons_never_overlap(self) -> None:
        """Mix pauses, faults, restarts and clock drift.

        An order may take effect at any time before its timeout has passed.
        """
        takeovers = 0
        for seed in range(25):
            with self.subTest(seed=seed):
                takeovers += await self._run_history(random.Random(seed))
        self.assertGreater(takeovers, 25)

    async def _run_history(self, rng: random.Random) -> int:
        self.table = MemoryTable()
        drift = SETTINGS.drift_ratio
        claimants = [
            Claimant(
                self.table,
                f"d{number}",
                f"i{number}",
                rng.choice((1 - drift, 1.0, 1 + drift)),
                rng.uniform(0, 1e6),
            )
            for number in range(3)
        ]
        resumes_at = [0.0] * 3
        now, ends_at, holder, takeovers = 0.0, 0.0, None, 0
        while now < 400.0:
            now += rng.uniform(0.0, 0.5)
            number = rng.randrange(3)
            if rng.random() < 0.05:
                kind = rng.choice(
                    (
                        PlatformFaultKind.REFUSE,
                        PlatformFaultKind.LOSE_ANSWER,
                        PlatformFaultKind.STALE,
                    )
                )
                self.table.faults.add(kind, rng.choice(("table.get", "*ct")), count=1)
            if rng.random() < 0.02:
                self.table.freeze_replica()
            if rng.random() < 0.01:
                resumes_at[number] = now + rng.uniform(10.0, 60.0)
            if rng.random() < 0.003:
                old = claimants[number]
                claimants[number] = Claimant(
                    self.table, old.daemon_id, f"r{now}", old.rate, old.start
                )
            if resumes_at[number] > now:
                continue
            claimant = claimants[number]
            await claimant.renew(now)
            if not await claimant.claim(UNFENCED, now):
                continue
            if claimant.incarnation != holder:
                self.assertGreaterEqual(now, ends_at)
                takeovers += holder is not None
                holder = claimant.incarnation
            ends_at = now + ORDER_SECONDS / (1 - drift)
        return takeovers
