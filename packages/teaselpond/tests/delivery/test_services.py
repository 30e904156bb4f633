"""Test retries of idempotent calls."""

import random
import time

from attrs import evolve

from teaselpond.delivery.records import ServiceCall
from teaselpond.delivery.retries import RetryPolicy
from teaselpond.delivery.services import IdempotentCalls
from teaselpond.exceptions import Refused
from teaselpond.policy import PolicySettings
from teaselpond.upstreams import UpstreamClient
from teaselpond_standins.service import ServiceFaultKind, ServiceStandin
from teaselpond_standins.testing import AsyncTestCase

S = ServiceFaultKind
SETTINGS = PolicySettings(backoff_seconds=0.01)


class Counts:
    """Hold counts by name."""

    def __init__(self) -> None:
        self.counts_by_name: dict[str, int] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        self.counts_by_name[stat] = self.counts_by_name.get(stat, 0) + count


class IdempotentCallTests(AsyncTestCase):
    """Check the retry policy for calls that may be repeated."""

    async def run_against(
        self, *kinds: ServiceFaultKind, seconds: float = 5.0, count: int = 1
    ) -> str:
        """Run a call with a faulty upstream and a healthy one."""
        self.counts = Counts()
        faulty = await self.enter(ServiceStandin())
        healthy = await self.enter(ServiceStandin())
        client = await self.enter(UpstreamClient(idle_seconds=0.2))
        for kind in kinds:
            faulty.add_fault(kind, seconds=0.4, count=count)
            healthy.add_fault(kind, seconds=0.4, count=0 if count == 1 else count)
        policy = RetryPolicy(
            SETTINGS, random_source=random.Random(1), counters=self.counts
        )
        call = ServiceCall(
            workspace="w",
            service="stock",
            request_id="r",
            method="GET",
            path="/stock",
            addresses=(faulty.address, healthy.address),
            deadline=time.monotonic() + seconds,
        )
        self.calls = IdempotentCalls(client, policy)
        try:
            outcome = await self.calls.run(call)
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        self.call = evolve(call, addresses=(healthy.address,))
        return str(outcome.status)

    async def test_one_fault_is_retried(self) -> None:
        """Return the other upstream's answer and count the retry's reason."""
        for kind, reason in (
            (S.DROP, "answer_cut"),
            (S.CROSS, "answer_cut"),
            (S.HALF, "answer_cut"),
            (S.RUN_THEN_DROP, "answer_cut"),
            (S.SILENCE, "answer_silent"),
            (S.LATE, "answer_silent"),
        ):
            self.assertEqual("200", await self.run_against(kind), kind)
            self.assertEqual({f"retries.{reason}": 1}, self.counts.counts_by_name)

    async def test_persistent_faults_end_in_a_refusal(self) -> None:
        """Refuse after the allowed attempts, reporting what may have run."""
        for kind, expected in (
            (S.DROP, "upstream-broken may-have-run"),
            (S.SILENCE, "upstream-silent may-have-run"),
        ):
            self.assertEqual(expected, await self.run_against(kind, count=-1))
            attempts = SETTINGS.attempts_per_request
            self.assertEqual([attempts - 1], list(self.counts.counts_by_name.values()))

    async def test_deadline(self) -> None:
        """Stop at the caller's deadline."""
        expected = "deadline may-have-run"
        found = await self.run_against(S.SILENCE, seconds=0.1, count=-1)
        self.assertEqual(expected, found)
