"""Keep a fleet of stand-ins up from the command line."""

import asyncio
import signal

from ..demo.report import Report
from ..fleet import Fleet, FleetPlan


class RunCommand:
    """Start a fleet, print its addresses and keep it up until Ctrl-C."""

    name = "run"

    def __call__(self) -> None:
        """Run the fleet."""
        asyncio.run(self._run())

    async def _run(self) -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stopped.set)
        report = Report()
        async with Fleet(FleetPlan()) as fleet:
            report.print_title("The fleet is up; end it with Ctrl-C")
            report.print_fleet(fleet)
            await stopped.wait()
