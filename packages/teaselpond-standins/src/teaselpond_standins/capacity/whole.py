"""Measure what one whole daemon spends on calls, and asks of the stores."""

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

PLAN = FleetPlan(zones=("axams",), engines_per_zone=2, daemons=1, slots=16)
SETTLE_SECONDS = 12.0
QUIET_SECONDS = 2.0
PROMPT_WORDS = 300
PARALLEL = 8
JOB_SECONDS = 60.0
POLL_SECONDS = 0.2
WORKSPACE = "axams"
OBJECT_WRITES = ("objects.put", "objects.delete")
TABLE_READS = ("table.get", "table.scan")


@define
class InProcessPlatform:
    """Serve the platform's stand-in where its calls can be counted."""

    standin: PlatformStandin = field(factory=PlatformStandin)

    @property
    def url(self) -> str:
        """Return the URL served."""
        return self.standin.base_url

    async def stop(self) -> None:
        """Stop serving."""
        await self.standin.stop()


@define
class Spent:
    """Hold what was spent up to a time."""

    at: float
    processor_seconds: float
    calls: dict[str, int]


@define(eq=False)
class WholeDaemon:
    """Drive one daemon with its upstreams, and read what it spends."""

    fleet: Fleet = field(factory=lambda: Fleet(PLAN))
    platform: InProcessPlatform = field(factory=InProcessPlatform)
    caller: Caller | None = None
    _session: aiohttp.ClientSession | None = None
    _number: int = 0

    async def __aenter__(self) -> "WholeDaemon":
        await self.platform.standin.start()
        self.fleet.platform = self.platform
        for engine_id in PLAN.engine_ids():
            await self.fleet.start_engine(engine_id)
        for service in (ORDER_SERVICE, STOCK_SERVICE):
            await self.fleet.start_service(f"service-{service}")
        await self.fleet.apply(fleet_document(PLAN))
        (daemon_id,) = PLAN.daemon_ids()
        await self.fleet.start_daemon(daemon_id)
        await self.fleet.wait_ready(daemon_id)
        self._session = aiohttp.ClientSession()
        addresses = self.fleet.live_addresses()
        self.caller = Caller(self._session, addresses, WORKSPACE)
        # Until the engines are warm and the lease is held.
        await asyncio.sleep(SETTLE_SECONDS)
        await self.chats(16, 20)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._session.close()
        await self.fleet.stop()

    async def idle(self, seconds: int) -> StorePoint:
        """Do nothing for a time."""
        return await self._store_point("idle second", seconds, asyncio.sleep(seconds))

    async def orders(self, count: int) -> StorePoint:
        """Place orders, each under its own key."""
        return await self._store_point("order", count, self._repeat(count, self._order))

    async def plans(self, count: int) -> StorePoint:
        """Submit fitting plans and fetch their results."""
        return await self._store_point("plan", count, self._repeat(count, self._plan))

    async def chats(self, count: int, tokens: int) -> RelayPoint:
        """Hold chats of one streamed turn each."""
        before = self._spent()
        received = 0

        async def chat(number: int) -> None:
            nonlocal received
            messages = [{"role": "user", "content": f"{number} " * PROMPT_WORDS}]
            answer = await self.caller.chat(
                f"chat-{number}", messages, max_tokens=tokens
            )
            received += len(answer.text.split())

        await self._repeat(count, chat)
        after = self._spent()
        return RelayPoint(
            chats=count,
            tokens_a_chat=tokens,
            tokens=received,
            processor_seconds=round(
                after.processor_seconds - before.processor_seconds, 3
            ),
            seconds=round(after.at - before.at, 3),
        )

    async def _order(self, number: int) -> None:
        body = {"shell": "model-7", "size": number}
        answer = await self.caller.call_service(
            ORDER_SERVICE, "orders", body, f"order-{number}"
        )
        if answer.status != 200:
            raise TeaselpondError(f"order: {answer.status}", step="measure")

    async def _plan(self, number: int) -> None:
        messages = [{"role": "user", "content": f"plan {number} " * PROMPT_WORDS}]
        body = {"model": "fitting", "messages": messages, "max_tokens": 20}
        accepted = await self.caller.submit_job(body, f"plan-{number}")
        job_id = json.loads(accepted.text)["job_id"]
        async with asyncio.timeout(JOB_SECONDS):
            while True:
                answer = await self.caller.get_job(job_id)
                if json.loads(answer.text).get("state") == "done":
                    return
                await asyncio.sleep(POLL_SECONDS)

    async def _repeat(self, count: int, act: Callable[[int], Awaitable[None]]) -> None:
        numbers = iter(range(self._number, self._number + count))
        self._number += count

        async def work() -> None:
            for number in numbers:
                await act(number)

        await asyncio.gather(*(work() for _ in range(PARALLEL)))

    async def _store_point(
        self, action: str, count: int, work: Awaitable[None]
    ) -> StorePoint:
        before = self._spent()
        await work
        if action != "idle second":
            # Outcomes are recorded after the answer.
            await asyncio.sleep(QUIET_SECONDS)
        after = self._spent()
        calls = {
            name: after.calls.get(name, 0) - before.calls.get(name, 0)
            for name in after.calls
        }
        objects = {name: n for name, n in calls.items() if name.startswith("objects.")}
        object_writes = sum(objects.get(name, 0) for name in OBJECT_WRITES)
        table_reads = sum(calls.get(name, 0) for name in TABLE_READS)
        return StorePoint(
            action=action,
            count=count,
            seconds=round(after.at - before.at, 3),
            table_reads=table_reads,
            table_writes=calls.get("table.transact", 0),
            object_reads=sum(objects.values()) - object_writes,
            object_writes=object_writes,
            host_list_reads=calls.get("hosts.list", 0),
            processor_seconds=round(
                after.processor_seconds - before.processor_seconds, 3
            ),
        )

    def _spent(self) -> Spent:
        (daemon,) = self.fleet.daemons_by_id.values()
        calls = dict(self.platform.standin.faults.calls_by_operation)
        return Spent(time.monotonic(), processor_seconds(daemon.pid), calls)


def processor_seconds(pid: int) -> float:
    """Return what a process has used of processors, by the kernel's count."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")
