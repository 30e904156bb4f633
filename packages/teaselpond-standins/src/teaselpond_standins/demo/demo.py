"""Run every step of the demo against one fleet."""

import asyncio
import time

import aiohttp

from ..fleet import Caller, Fleet, FleetPlan
from .report import Report
from .steps import (
    ChatStep,
    DaemonLossStep,
    EngineLossStep,
    LocateStep,
    OrderStep,
    PlanStep,
    Step,
    ZoneStep,
)

DEMO_TIMEOUT_SECONDS = 55.0
STEPS: tuple[type[Step], ...] = (
    LocateStep,
    ChatStep,
    OrderStep,
    PlanStep,
    EngineLossStep,
    DaemonLossStep,
    ZoneStep,
)


class Demo:
    """Start a fleet, run the steps on it and print their results."""

    def __init__(self, plan: FleetPlan | None = None) -> None:
        self.plan = plan or FleetPlan()
        self.report = Report()

    async def run(self) -> bool:
        """Run the steps and return whether every check passed."""
        started = time.monotonic()
        try:
            async with asyncio.timeout(DEMO_TIMEOUT_SECONDS):
                await self._run_steps()
        except TimeoutError:
            self.report.record_failure(
                "time", f"the steps did not end within {DEMO_TIMEOUT_SECONDS:.0f} s"
            )
        self.report.print_summary(time.monotonic() - started)
        return self.report.passed

    async def _run_steps(self) -> None:
        self.report.print_title("Starting a fleet of plain processes on loopback")
        async with Fleet(self.plan) as fleet, aiohttp.ClientSession() as session:
            self.report.print_fleet(fleet)
            for step_class in STEPS:
                caller = Caller(session, fleet.live_addresses(), "axams")
                step = step_class(fleet, caller, self.report)
                self.report.print_title(step.title)
                try:
                    await step.run()
                except Exception as error:
                    self.report.record_failure(step_class.__name__, repr(error))
