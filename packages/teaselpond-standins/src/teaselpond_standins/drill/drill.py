"""Run a drill: disturb a real fleet under load, then check its promises."""

import asyncio
import json
import random
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

import aiohttp
from attrs import define, field, frozen

from teaselpond_model.platform import make_converter

from ..fleet import Fleet, FleetPlan
from ..fleet.document import WORKSPACES
from .callers import Callers
from .calling import Client
from .checks import check_all
from .disturbances import Disturbance, DisturbanceGenerator, draw_schedule
from .injections import DrillContext, inject
from .polling import poll_daemons
from .records import DrillRecords, WorkKind
from .scheduling import cancel, wait_for_tasks
from .upstreams import UpstreamReports, read_upstreams
from .verdicts import Verdict

COMPLETION_LIMIT_SECONDS = 150.0


@frozen
class DrillPlan:
    """Describe a drill; the same plan draws the same disturbances.

    ``mean_gap_seconds`` is the mean time between two disturbances.
    """

    seed: int = 1
    seconds: float = 60.0
    mean_gap_seconds: float = 2.0
    # Multiplies each number of callers below.
    load: int = 1
    chats: int = 6
    labels: int = 2
    orders: int = 3
    lookups: int = 1
    plans: int = 2
    fleet: FleetPlan = FleetPlan()
    # Path of a JSON file for all records and logs; none is written if empty.
    dump: str = ""


@define(eq=False)
class Drill:
    """Run one drill and report each event as it happens."""

    plan: DrillPlan
    report: Callable[[str], None] = print
    records: DrillRecords = field(factory=DrillRecords)
    _started: float = field(default=0.0, init=False)

    async def run(self) -> tuple[Verdict, ...]:
        """Run the drill and return the verdict of each check."""
        plan = self.plan
        self.report(f"seed {plan.seed}, {plan.seconds:g} s")
        async with Fleet(plan.fleet) as fleet, aiohttp.ClientSession() as session:
            client = Client.open()
            try:
                upstreams = await self._run(fleet, session, client)
            finally:
                await client.close()
        verdicts = check_all(self.records, upstreams)
        self._report_outcome(verdicts)
        return verdicts

    async def _run(
        self, fleet: Fleet, session: aiohttp.ClientSession, client: Client
    ) -> UpstreamReports:
        plan = self.plan
        self._started = self.records.started = time.time()
        callers = Callers(
            client,
            self.records,
            fleet.live_addresses,
            plan.seed,
            self._started + plan.seconds,
        )
        context = DrillContext(fleet, session, self.records, callers, set(), set())
        polling_task = asyncio.create_task(poll_daemons(fleet, session, self.records))
        caller_tasks = [
            asyncio.create_task(loop) for loop in self._caller_loops(callers)
        ]
        injections = [
            asyncio.create_task(self._inject_at(disturbance, context))
            for disturbance in self._schedule(fleet)
        ]
        try:
            self.records.failures += await wait_for_tasks(
                [*caller_tasks, *injections], plan.seconds + COMPLETION_LIMIT_SECONDS
            )
            upstreams = await read_upstreams(fleet, session)
            if plan.dump:
                self._dump(upstreams, fleet)
            return upstreams
        finally:
            await cancel([polling_task, *caller_tasks, *injections])

    def _schedule(self, fleet: Fleet) -> tuple[Disturbance, ...]:
        generator = DisturbanceGenerator(
            random.Random(self.plan.seed),
            fleet.plan,
            tuple(fleet.services_by_id),
            WORKSPACES,
        )
        return draw_schedule(generator, self.plan.seconds, self.plan.mean_gap_seconds)

    def _caller_loops(self, callers: Callers) -> list[Coroutine]:
        plan = self.plan
        loops: list[Coroutine] = []
        for loop, count in (
            (callers.run_chats, plan.chats),
            (callers.send_labels, plan.labels),
            (callers.place_orders, plan.orders),
            (callers.look_up_stock, plan.lookups),
            (callers.submit_plans, plan.plans),
        ):
            loops += [loop(number) for number in range(count * plan.load)]
        return loops

    async def _inject_at(self, disturbance: Disturbance, context: DrillContext) -> None:
        await asyncio.sleep(self._started + disturbance.at - time.time())
        self.report(f"{disturbance.at:7.2f} s  {disturbance}")
        try:
            await inject(disturbance, context)
        except (aiohttp.ClientError, TimeoutError) as error:
            # An upstream that is already down accepts no fault.
            self.report(f"{time.time() - self._started:7.2f} s  missed: {error!r}")

    def _dump(self, upstreams: UpstreamReports, fleet: Fleet) -> None:
        content = {
            "records": make_converter().unstructure(self.records),
            "upstreams": make_converter().unstructure(upstreams),
            "logs": {
                daemon_id: daemon.log_lines
                for daemon_id, daemon in fleet.daemons_by_id.items()
            },
        }
        Path(self.plan.dump).write_text(json.dumps(content))

    def _report_outcome(self, verdicts: tuple[Verdict, ...]) -> None:
        for kind in WorkKind:
            work = [work for work in self.records.work if work.kind is kind]
            answered = sum(one.result is not None for one in work)
            attempts = sum(len(one.attempts) for one in work)
            self.report(
                f"{kind.value:7} {len(work):4} asked, {answered:4} answered, "
                f"{attempts:5} attempts"
            )
        for verdict in verdicts:
            self.report(str(verdict))
        for failure in self.records.failures:
            self.report(f"FAILED    the drill itself: {failure}")
        self.report(f"seed {self.plan.seed}")
