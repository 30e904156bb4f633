"""Run a fleet of stand-ins from the command line."""

import asyncio
import signal

from ..demo.report import Report
from ..fleet import Fleet, FleetPlan


class RunCommand:
    """Start a fleet, print its addresses and run it until Ctrl-C."""

    name = "run"

    def __call__(self) -> None:
        """Run the fleet until SIGINT or SIGTERM."""
        asyncio.run(self._run())

    async def _run(self) -> None:
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, stop_requested.set)
        report = Report()
        async with Fleet(FleetPlan()) as fleet:
            report.print_title("The fleet is up; end it with Ctrl-C")
            report.print_fleet(fleet)
            await stop_requested.wait()
