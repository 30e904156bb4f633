"""Run a soak: real gateways, callers, disturbances and then the verdicts."""

import asyncio
import itertools
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import attrs
from attrs import define, field

from ..drill.scheduling import cancel, wait_for_tasks
from ..drill.verdicts import Verdict
from .callers import Caller
from .judges import Evidence, judge_all
from .records import CallKind, SoakRecords
from .schedule import Disturbance, Drawing, draw_schedule
from .site import SoakPlan, SoakSite
from .strikes import Arena, stop_gateway, strike

START_SECONDS = 20.0
# All disturbances are undone by then, restarts included.
SETTLE_SECONDS = 40.0
RECOVERY_SECONDS = 15.0
FIRST_KEY = "key-w2-0"


@define(eq=False)
class Soak:
    """Run one soak and tell what happens as it does."""

    plan: SoakPlan
    tell: Callable[[str], None] = print
    records: SoakRecords = field(factory=SoakRecords)

    async def run(self) -> tuple[Verdict, ...]:
        """Run the soak and return a verdict for each promise."""
        self.tell(f"seed {self.plan.seed}, {self.plan.seconds:g} s")
        site = SoakSite(self.plan)
        async with site:
            await self._play(site)
        evidence = _gather_evidence(site, self.records)
        verdicts = judge_all(evidence)
        self._tell_outcome(verdicts)
        if self.plan.dump:
            self._dump(site, evidence, verdicts)
        return verdicts

    async def _play(self, site: SoakSite) -> None:
        records = self.records
        arena = Arena(site, records)
        for name in await site.until_ready(START_SECONDS):
            records.failures.append(f"{name} was not ready at the start")
        records.valid_from_by_key[FIRST_KEY] = await site.give_key(FIRST_KEY)
        records.started = time.monotonic()
        ids = itertools.count(1)
        callers = [
            Caller(
                number,
                site,
                records,
                random.Random(f"{self.plan.seed}-{number}"),
                ids,
            )
            for number in range(self.plan.callers)
        ]
        work = [
            asyncio.create_task(each.run(records.started + self.plan.seconds))
            for each in callers
        ]
        strikes = [
            asyncio.create_task(self._strike_at(disturbance, arena))
            for disturbance in self._schedule(site)
        ]
        tasks = [*work, *strikes]
        records.failures += await wait_for_tasks(
            tasks, self.plan.seconds + SETTLE_SECONDS
        )
        await cancel(tasks)
        await self._check_recovery(arena, ids)

    def _schedule(self, site: SoakSite) -> tuple[Disturbance, ...]:
        drawing = Drawing(
            random.Random(self.plan.seed),
            tuple(site.gateways_by_name),
            tuple(site.engines_by_id),
        )
        return draw_schedule(drawing, self.plan.seconds, self.plan.mean_gap_seconds)

    async def _strike_at(self, disturbance: Disturbance, arena: Arena) -> None:
        await asyncio.sleep(self.records.started + disturbance.at - time.monotonic())
        self.tell(f"{disturbance.at:7.2f} s  {disturbance}")
        await strike(disturbance, arena)

    async def _check_recovery(self, arena: Arena, ids: itertools.count) -> None:
        """Ask every gateway for everything once all is calm, and stop them."""
        site = arena.site
        for engine in site.engines_by_id.values():
            engine.upstream.faults.clear()
        calm_at = time.monotonic()
        self.records.unready_at_end = await site.until_ready(RECOVERY_SECONDS)
        await asyncio.sleep(calm_at + RECOVERY_SECONDS - time.monotonic())
        caller = Caller(0, site, self.records, random.Random(0), ids)
        async with caller.session:
            for gateway in site.gateways:
                for kind in CallKind:
                    attempt = await caller.ask_once(site.entry_address(gateway), kind)
                    self.records.attempts.append(attempt)
                    self.records.last_attempts.append(attempt)
        await asyncio.gather(*(stop_gateway(arena, each) for each in site.gateways))

    def _tell_outcome(self, verdicts: tuple[Verdict, ...]) -> None:
        for kind in CallKind:
            asked = [each for each in self.records.attempts if each.kind is kind]
            served = sum(each.is_success for each in asked)
            self.tell(f"{kind.value:7} {len(asked):5} asked, {served:5} served")
        for verdict in verdicts:
            self.tell(str(verdict))
        for failure in self.records.failures:
            self.tell(f"FAILED    the soak itself: {failure}")
        self.tell(f"seed {self.plan.seed}")

    def _dump(
        self, site: SoakSite, evidence: Evidence, verdicts: tuple[Verdict, ...]
    ) -> None:
        folder = Path(self.plan.dump)
        folder.mkdir(parents=True, exist_ok=True)
        for gateway in site.gateways:
            (folder / f"{gateway.name}.log").write_text("\n".join(gateway.logs))
        content = {
            "verdicts": [str(verdict) for verdict in verdicts],
            "records": attrs.asdict(self.records),
            "calls": {
                engine_id: [(call.at, call.request_id) for call in calls]
                for engine_id, calls in evidence.calls_by_engine.items()
            },
        }
        text = json.dumps(content, default=str, indent=1)
        (folder / f"soak-{self.plan.seed}.json").write_text(text)


def _gather_evidence(site: SoakSite, records: SoakRecords) -> Evidence:
    runs: Counter[str] = Counter()
    calls_by_engine = {}
    for engine_id, engine in site.engines_by_id.items():
        runs.update(engine.upstream.runs_by_id)
        calls_by_engine[engine_id] = engine.upstream.seen_calls
    return Evidence(records, calls_by_engine, runs)
