"""Measure one whole daemon's processor time and its store calls."""

import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from attrs import define, field

from teaselpond_model.exceptions import TeaselpondError

from ..fleet import Caller, Fleet
from ..fleet.document import ORDER_SERVICE, STOCK_SERVICE, FleetPlan, fleet_document
from ..platform import PlatformStandin
from .points import RelayPoint, StorePoint

FLEET_PLAN = FleetPlan(zones=("axams",), engines_per_zone=2, daemons=1, slots=16)
SETTLE_SECONDS = 12.0
OUTCOME_DELAY_SECONDS = 2.0
PROMPT_WORDS = 300
CONCURRENT_CALLS = 8
JOB_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.2
WORKSPACE = "axams"
OBJECT_WRITES = ("objects.put", "objects.delete")
TABLE_READS = ("table.get", "table.scan")


@define
class InProcessPlatform:
    """Serve the platform's stand-in in this process, to count its calls."""

    standin: PlatformStandin = field(factory=PlatformStandin)

    @property
    def url(self) -> str:
        """Return the URL served."""
        return self.standin.base_url

    async def stop(self) -> None:
        """Stop serving."""
        await self.standin.stop()


@define
class ResourceUsage:
    """Hold a daemon's processor time and platform calls up to a time."""

    measured_at: float
    processor_seconds: float
    calls_by_operation: dict[str, int]


@define(eq=False)
class MeasuredDaemon:
    """Run one daemon with its upstreams and measure what it uses."""

    fleet: Fleet = field(factory=lambda: Fleet(FLEET_PLAN))
    platform: InProcessPlatform = field(factory=InProcessPlatform)
    caller: Caller | None = None
    _session: aiohttp.ClientSession | None = None
    _next_call_number: int = 0

    async def __aenter__(self) -> "MeasuredDaemon":
        await self.platform.standin.start()
        self.fleet.platform = self.platform
        for engine_id in FLEET_PLAN.engine_ids():
            await self.fleet.start_engine(engine_id)
        for service in (ORDER_SERVICE, STOCK_SERVICE):
            await self.fleet.start_service(f"service-{service}")
        await self.fleet.apply(fleet_document(FLEET_PLAN))
        (daemon_id,) = FLEET_PLAN.daemon_ids()
        await self.fleet.start_daemon(daemon_id)
        await self.fleet.wait_ready(daemon_id)
        self._session = aiohttp.ClientSession()
        addresses = self.fleet.live_addresses()
        self.caller = Caller(self._session, addresses, WORKSPACE)
        # Wait until the engines are warm and the daemon holds its lease.
        await asyncio.sleep(SETTLE_SECONDS)
        await self.measure_chats(16, 20)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._session.close()
        await self.fleet.stop()

    async def measure_idle(self, seconds: int) -> StorePoint:
        """Measure the daemon while no calls arrive."""
        return await self._store_point("idle second", seconds, asyncio.sleep(seconds))

    async def measure_orders(self, count: int) -> StorePoint:
        """Measure orders, each placed under its own key."""
        return await self._store_point(
            "order", count, self._run_concurrently(count, self._place_order)
        )

    async def measure_plans(self, count: int) -> StorePoint:
        """Measure fitting plans from their submission to their result."""
        return await self._store_point(
            "plan", count, self._run_concurrently(count, self._run_plan)
        )

    async def measure_chats(self, count: int, tokens: int) -> RelayPoint:
        """Measure chats of one streamed turn each."""
        before = self._read_usage()
        received = 0

        async def chat(number: int) -> None:
            nonlocal received
            messages = [{"role": "user", "content": f"{number} " * PROMPT_WORDS}]
            answer = await self.caller.chat(
                f"chat-{number}", messages, max_tokens=tokens
            )
            received += len(answer.text.split())

        await self._run_concurrently(count, chat)
        after = self._read_usage()
        return RelayPoint(
            chats=count,
            tokens_a_chat=tokens,
            tokens=received,
            processor_seconds=round(
                after.processor_seconds - before.processor_seconds, 3
            ),
            seconds=round(after.measured_at - before.measured_at, 3),
        )

    async def _place_order(self, number: int) -> None:
        body = {"shell": "model-7", "size": number}
        answer = await self.caller.call_service(
            ORDER_SERVICE, "orders", body, f"order-{number}"
        )
        if answer.status != 200:
            raise TeaselpondError(
                f"cannot place order {number}: expected status 200, "
                f"got {answer.status}",
                step="measure",
            )

    async def _run_plan(self, number: int) -> None:
        messages = [{"role": "user", "content": f"plan {number} " * PROMPT_WORDS}]
        body = {"model": "fitting", "messages": messages, "max_tokens": 20}
        accepted = await self.caller.submit_job(body, f"plan-{number}")
        job_id = json.loads(accepted.text)["job_id"]
        async with asyncio.timeout(JOB_TIMEOUT_SECONDS):
            while True:
                answer = await self.caller.get_job(job_id)
                if json.loads(answer.text).get("state") == "done":
                    return
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _run_concurrently(
        self, count: int, operation: Callable[[int], Awaitable[None]]
    ) -> None:
        numbers = iter(range(self._next_call_number, self._next_call_number + count))
        self._next_call_number += count

        async def work() -> None:
            for number in numbers:
                await operation(number)

        await asyncio.gather(*(work() for _ in range(CONCURRENT_CALLS)))

    async def _store_point(
        self, action: str, count: int, operation: Awaitable[None]
    ) -> StorePoint:
        before = self._read_usage()
        await operation
        if action != "idle second":
            # The daemon records an outcome after it has answered.
            await asyncio.sleep(OUTCOME_DELAY_SECONDS)
        after = self._read_usage()
        calls = {
            name: after.calls_by_operation.get(name, 0)
            - before.calls_by_operation.get(name, 0)
            for name in after.calls_by_operation
        }
        objects = {name: n for name, n in calls.items() if name.startswith("objects.")}
        object_writes = sum(objects.get(name, 0) for name in OBJECT_WRITES)
        table_reads = sum(calls.get(name, 0) for name in TABLE_READS)
        return StorePoint(
            action=action,
            count=count,
            seconds=round(after.measured_at - before.measured_at, 3),
            table_reads=table_reads,
            table_writes=calls.get("table.transact", 0),
            object_reads=sum(objects.values()) - object_writes,
            object_writes=object_writes,
            host_list_reads=calls.get("hosts.list", 0),
            processor_seconds=round(
                after.processor_seconds - before.processor_seconds, 3
            ),
        )

    def _read_usage(self) -> ResourceUsage:
        (daemon,) = self.fleet.daemons_by_id.values()
        calls = dict(self.platform.standin.faults.calls_by_operation)
        return ResourceUsage(
            time.monotonic(), read_processor_seconds(daemon.pid), calls
        )


def read_processor_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used since its start."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")
