"""Run a soak test: gateways, callers, disturbances and then the checks."""

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
from .checks import Evidence, run_checks
from .injection import InjectionContext, inject, stop_gateway
from .records import CallKind, SoakRecords
from .schedule import Disturbance, Drawing, draw_schedule
from .site import SoakPlan, SoakSite

START_TIMEOUT_SECONDS = 20.0
# This long after the plan's seconds, all disturbances have ended, with the
# restarts of their gateways.
SETTLE_SECONDS = 40.0
RECOVERY_SECONDS = 15.0
FIRST_KEY = "key-w2-0"


@define(eq=False)
class Soak:
    """Run one soak, and report its progress as lines of text.

    A soak runs gateways for some time under load and injected faults.
    """

    plan: SoakPlan
    report: Callable[[str], None] = print
    records: SoakRecords = field(factory=SoakRecords)

    async def run(self) -> tuple[Verdict, ...]:
        """Run the soak, and return the verdict of each check."""
        self.report(f"seed {self.plan.seed}, {self.plan.seconds:g} s")
        site = SoakSite(self.plan)
        async with site:
            await self._run_callers_and_faults(site)
        evidence = _gather_evidence(site, self.records)
        verdicts = run_checks(evidence)
        self._report_outcome(verdicts)
        if self.plan.dump:
            self._dump(site, evidence, verdicts)
        return verdicts

    async def _run_callers_and_faults(self, site: SoakSite) -> None:
        records = self.records
        context = InjectionContext(site, records)
        for name in await site.wait_until_ready(START_TIMEOUT_SECONDS):
            records.failures.append(f"{name} was not ready at the start")
        records.valid_from_by_key[FIRST_KEY] = await site.replace_key(FIRST_KEY)
        records.started = time.monotonic()
        request_numbers = itertools.count(1)
        callers = [
            Caller(
                number,
                site,
                records,
                random.Random(f"{self.plan.seed}-{number}"),
                request_numbers,
            )
            for number in range(self.plan.callers)
        ]
        caller_tasks = [
            asyncio.create_task(each.run(records.started + self.plan.seconds))
            for each in callers
        ]
        injection_tasks = [
            asyncio.create_task(self._inject_at(disturbance, context))
            for disturbance in self._schedule(site)
        ]
        tasks = [*caller_tasks, *injection_tasks]
        records.failures += await wait_for_tasks(
            tasks, self.plan.seconds + SETTLE_SECONDS
        )
        await cancel(tasks)
        await site.start_ended_gateways()
        await self._check_recovery(context, request_numbers)

    def _schedule(self, site: SoakSite) -> tuple[Disturbance, ...]:
        drawing = Drawing(
            random.Random(self.plan.seed),
            tuple(site.gateways_by_name),
            tuple(site.engines_by_id),
        )
        return draw_schedule(drawing, self.plan.seconds, self.plan.mean_gap_seconds)

    async def _inject_at(
        self, disturbance: Disturbance, context: InjectionContext
    ) -> None:
        await asyncio.sleep(self.records.started + disturbance.at - time.monotonic())
        self.report(f"{disturbance.at:7.2f} s  {disturbance}")
        await inject(disturbance, context)

    async def _check_recovery(
        self, context: InjectionContext, request_numbers: itertools.count
    ) -> None:
        """Send a request of each kind to every gateway, then stop them.

        Faults that wait for an engine's next calls are cleared first.
        """
        site = context.site
        for engine in site.engines_by_id.values():
            engine.upstream.faults.clear()
        faults_ended_at = time.monotonic()
        self.records.unready_at_end = await site.wait_until_ready(RECOVERY_SECONDS)
        await asyncio.sleep(faults_ended_at + RECOVERY_SECONDS - time.monotonic())
        caller = Caller(0, site, self.records, random.Random(0), request_numbers)
        async with caller.session:
            for gateway in site.gateways:
                for kind in CallKind:
                    attempt = await caller.send_once(
                        site.get_entry_address(gateway), kind
                    )
                    self.records.attempts.append(attempt)
                    self.records.last_attempts.append(attempt)
        await asyncio.gather(*(stop_gateway(context, each) for each in site.gateways))

    def _report_outcome(self, verdicts: tuple[Verdict, ...]) -> None:
        for kind in CallKind:
            attempts = [each for each in self.records.attempts if each.kind is kind]
            served = sum(each.is_success for each in attempts)
            self.report(f"{kind.value:7} {len(attempts):5} asked, {served:5} served")
        for verdict in verdicts:
            self.report(str(verdict))
        for failure in self.records.failures:
            self.report(f"FAILED    the soak itself: {failure}")
        self.report(f"seed {self.plan.seed}")

    def _dump(
        self, site: SoakSite, evidence: Evidence, verdicts: tuple[Verdict, ...]
    ) -> None:
        dump_directory = Path(self.plan.dump)
        dump_directory.mkdir(parents=True, exist_ok=True)
        for gateway in site.gateways:
            (dump_directory / f"{gateway.name}.log").write_text("\n".join(gateway.logs))
        content = {
            "verdicts": [str(verdict) for verdict in verdicts],
            "records": attrs.asdict(self.records),
            "calls": {
                engine_id: [(call.at, call.request_id) for call in calls]
                for engine_id, calls in evidence.calls_by_engine.items()
            },
        }
        text = json.dumps(content, default=str, indent=1)
        (dump_directory / f"soak-{self.plan.seed}.json").write_text(text)


def _gather_evidence(site: SoakSite, records: SoakRecords) -> Evidence:
    runs: Counter[str] = Counter()
    calls_by_engine = {}
    for engine_id, engine in site.engines_by_id.items():
        runs.update(engine.upstream.runs_by_id)
        calls_by_engine[engine_id] = engine.upstream.seen_calls
    return Evidence(records, calls_by_engine, runs)
