"""Test orders while real daemon processes are killed or paused."""

import asyncio
import json
import signal

import aiohttp
from attrs import frozen

from teaselpond.delivery.records import ServiceCall, record_key
from teaselpond_standins.fleet import Fleet, FleetPlan, ManagedProcess
from teaselpond_standins.testing import AsyncTestCase

WORKSPACE = "axams"
HEADERS = {"X-Workspace": WORKSPACE}
KILL, PAUSE = signal.SIGKILL, signal.SIGSTOP
SIGNAL_DELAY_SECONDS = 0.4
SLOW_SECONDS = 1.5
NO_ANSWER = "no answer"


@frozen
class Case:
    """Hold a signal that is sent to a daemon during one step of an order.

    ``skip`` is the number of writes before the one that the signal
    interrupts, or -1 to interrupt the call of the upstream. ``repeat`` is the
    expected answer to a repeat at another daemon meanwhile, and ``runs`` is
    the expected number of runs that the service counts.
    """

    name: str
    skip: int
    signal_number: signal.Signals
    repeat: str
    runs: int


# A daemon that ends before it sends leaves the key free. Once it has recorded
# the dispatch, nobody can know whether it sent, and the key stays blocked.
UNKNOWN = "409 may-have-run"
CASES = [
    Case("killed in the claim", 0, KILL, "200 ran", 1),
    Case("killed in the dispatch", 1, KILL, UNKNOWN, 0),
    Case("killed at the upstream", -1, KILL, UNKNOWN, 1),
    Case("killed in the outcome", 2, KILL, "200 ran", 1),
    Case("paused in the claim", 0, PAUSE, "200 ran", 1),
    Case("paused in the dispatch", 1, PAUSE, UNKNOWN, 0),
    Case("paused at the upstream", -1, PAUSE, UNKNOWN, 1),
    Case("paused in the outcome", 2, PAUSE, "200 ran", 1),
]


async def call(
    session: aiohttp.ClientSession, process: ManagedProcess, key: str, seconds: float
) -> str:
    """Place an order and return its status and X-Run header."""
    headers = HEADERS | {"Idempotency-Key": key, "X-Deadline-Seconds": str(seconds)}
    url = f"{process.url}/v1/services/orders/place"
    try:
        async with session.post(url, headers=headers, json={"shell": key}) as response:
            await response.read()
            return f"{response.status} {response.headers.get('X-Run')}"
    except (aiohttp.ClientError, TimeoutError):
        return NO_ANSWER


class OrderProcessTests(AsyncTestCase):
    """Compare orders with the service's own count of their runs."""

    async def test_signal_at_each_step(self) -> None:
        """Signal a daemon at each step and repeat the call at another one."""
        plan = FleetPlan(zones=("imst",), engines_per_zone=1, daemons=len(CASES) + 1)
        self.fleet = await self.enter(Fleet(plan))
        self.session = await self.enter(aiohttp.ClientSession())
        *signalled, self.observer = self.fleet.daemons_by_id.values()
        seen = await asyncio.gather(
            *(
                self._run(case, index, signalled[index])
                for index, case in enumerate(CASES)
            )
        )
        runs_by_key = (await self._get_runs())["by_key"]
        wrong = {
            case.name: (case, *found, runs_by_key.get(f"k{index}", 0))
            for index, (case, found) in enumerate(zip(CASES, seen, strict=True))
            if (case.repeat, case.runs) != (found[1], runs_by_key.get(f"k{index}", 0))
        }
        self.assertEqual({}, wrong)

    async def _run(self, case: Case, index: int, daemon: ManagedProcess) -> tuple:
        key = f"k{index}"
        await self._inject_fault(case, key)
        first = asyncio.create_task(call(self.session, daemon, key, 3.0))
        await asyncio.sleep(SIGNAL_DELAY_SECONDS)
        daemon.send_signal(case.signal_number)
        repeat = await call(self.session, self.observer, key, 5.0)
        daemon.send_signal(signal.SIGCONT)
        return await first, repeat

    async def _inject_fault(self, case: Case, key: str) -> None:
        if case.skip < 0:
            service = self.fleet.services_by_id["service-orders"]
            fault = {"kind": "slow", "key": key, "seconds": SLOW_SECONDS}
            await self._post(service, "/_faults", fault)
            return
        entry = record_key(
            ServiceCall(WORKSPACE, "orders", "", "", "", (), 0.0, key=key)
        )
        fault = {
            "kind": "slow",
            "operation": "table.transact",
            "key": entry,
            "seconds": SLOW_SECONDS,
            "count": 1,
            "skip": case.skip,
        }
        await self._post(self.fleet.platform, "/_faults", fault)

    async def _post(self, process: ManagedProcess, path: str, body: dict) -> None:
        async with self.session.post(process.url + path, json=body) as response:
            self.assertEqual(204, response.status)

    async def _get_runs(self) -> dict:
        service = self.fleet.services_by_id["service-orders"]
        async with self.session.get(service.url + "/_ran") as response:
            return json.loads(await response.read())
