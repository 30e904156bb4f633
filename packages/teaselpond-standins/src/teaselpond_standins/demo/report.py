"""Print the steps of a demo and the results of their checks."""

import time

from ..fleet import Fleet


class Report:
    """Print the progress of a demo and count its checks and failures."""

    def __init__(self) -> None:
        self.checks = 0
        self.failures = 0
        self._started_at = time.monotonic()

    @property
    def passed(self) -> bool:
        """Return whether at least one check ran and none failed."""
        return self.checks > 0 and self.failures == 0

    def print_title(self, text: str) -> None:
        """Print the heading of a step and the elapsed time."""
        elapsed = time.monotonic() - self._started_at
        print(f"\n{text}  [{elapsed:.1f} s]", flush=True)

    def print_detail(self, text: str) -> None:
        """Print one line about a step."""
        print(f"    {text}", flush=True)

    def check(self, passed: bool, text: str) -> None:
        """Print the result of a check and count it."""
        self.checks += 1
        if passed:
            print(f"  ok {text}", flush=True)
        else:
            self.failures += 1
            print(f"FAIL {text}", flush=True)

    def record_failure(self, step: str, reason: str) -> None:
        """Print and count a step that was aborted."""
        self.check(False, f"{step}: {reason}")

    def print_fleet(self, fleet: Fleet) -> None:
        """Print the fleet's processes and their addresses."""
        self.print_detail(f"platform   {fleet.platform.url}")
        for daemon_id, daemon in fleet.daemons_by_id.items():
            zone = fleet.plan.zone_of_daemon(daemon_id)
            self.print_detail(f"daemon     {daemon.url}  {daemon_id} in {zone}")
        for name, process in {**fleet.engines_by_id, **fleet.services_by_id}.items():
            self.print_detail(f"upstream   {process.url}  {name}")

    def print_summary(self, seconds: float) -> None:
        """Print the number of checks and their outcome."""
        outcome = "all passed" if self.passed else f"{self.failures} failed"
        print(f"\n{self.checks} checks, {outcome}, {seconds:.1f} s", flush=True)
