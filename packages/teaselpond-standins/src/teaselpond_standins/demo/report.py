"""Print what a demo did and whether it held."""

import time

from ..fleet import Fleet


class Report:
    """Print steps as they end and remember failures."""

    def __init__(self) -> None:
        self.checks = 0
        self.failures = 0
        self._started_at = time.monotonic()

    @property
    def held(self) -> bool:
        """Tell whether checks ran and none failed."""
        return self.checks > 0 and self.failures == 0

    def title(self, text: str) -> None:
        """Print the heading of a step."""
        elapsed = time.monotonic() - self._started_at
        print(f"\n{text}  [{elapsed:.1f} s]", flush=True)

    def tell(self, text: str) -> None:
        """Print one line of what happened."""
        print(f"    {text}", flush=True)

    def check(self, held: bool, text: str) -> None:
        """Print a checked fact and count it."""
        self.checks += 1
        if held:
            print(f"  ok {text}", flush=True)
        else:
            self.failures += 1
            print(f"FAIL {text}", flush=True)

    def failed(self, step: str, reason: str) -> None:
        """Count a step that could not run to its end."""
        self.check(False, f"{step}: {reason}")

    def fleet(self, fleet: Fleet) -> None:
        """Print the fleet's processes and their addresses."""
        self.tell(f"platform   {fleet.platform.url}")
        for daemon_id, daemon in fleet.daemons_by_id.items():
            zone = fleet.plan.zone_of_daemon(daemon_id)
            self.tell(f"daemon     {daemon.url}  {daemon_id} in {zone}")
        for name, process in {**fleet.engines_by_id, **fleet.services_by_id}.items():
            self.tell(f"upstream   {process.url}  {name}")

    def close(self, seconds: float) -> None:
        """Print the outcome."""
        verdict = "all held" if self.held else f"{self.failures} failed"
        print(f"\n{self.checks} checks, {verdict}, {seconds:.1f} s", flush=True)
