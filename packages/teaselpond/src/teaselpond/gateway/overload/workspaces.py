"""Track how much each workspace asks of a service, at this host.

Handles callers of which one sends several times its usual load. Rates are of
this host alone: callers choose hosts at random, so they are alike everywhere.
"""

import math

from attrs import define, field

# Time constants of the mean rates: what a workspace sends now, and usually. A
# workspace that has grown for good counts as usual after 150 s at six times.
RECENT_SECONDS = 5.0
USUAL_SECONDS = 300.0
# Before this time after the start it is not known what is usual.
MIN_USUAL_SECONDS = 15.0
# A workspace is hot from this multiple of its usual load, and this many calls
# more: at a few calls a second, twice the mean is reached by chance.
HOT_RATIO = 2.0
HOT_SLACK = 3.0
MAX_WORKSPACES = 4096
# How long the sums over all workspaces are reused.
RATES_CACHE_SECONDS = 0.1


@define
class WorkspaceUsage:
    """Hold the decayed counts of one workspace's calls."""

    recent: float = 0.0
    usual: float = 0.0
    served: float = 0.0
    priority: int = 0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Let counts decay until now."""
        elapsed = max(0.0, now - self.updated_at)
        self.recent *= math.exp(-elapsed / RECENT_SECONDS)
        self.served *= math.exp(-elapsed / RECENT_SECONDS)
        self.usual *= math.exp(-elapsed / USUAL_SECONDS)
        self.updated_at = now


@define
class WorkspaceUsages:
    """Track the calls of each workspace to one service."""

    started_at: float
    _usages_by_workspace: dict[str, WorkspaceUsage] = field(factory=dict)
    _rates_by_class: dict[tuple[int, bool], float] = field(factory=dict)
    _rates_at: float | None = None

    def record_call(self, workspace: str, priority: int, now: float) -> None:
        """Count a call that arrived."""
        usage = self._usage(workspace, now)
        usage.priority = priority
        usage.recent += 1
        usage.usual += 1

    def record_offer(self, workspace: str, now: float) -> None:
        """Count a call that was offered to an upstream."""
        self._usage(workspace, now).served += 1

    def is_hot(self, workspace: str, now: float) -> bool:
        """Return whether a workspace sends several times its usual load."""
        if now - self.started_at < MIN_USUAL_SECONDS:
            return False
        usage = self._usage(workspace, now)
        expected = self._usual_rate(usage, now) * RECENT_SECONDS
        return usage.recent > HOT_RATIO * expected + HOT_SLACK

    def served_share(self, workspace: str, now: float) -> float:
        """Return how much a workspace was served lately, by its usual rate."""
        usage = self._usage(workspace, now)
        return usage.served / (1.0 + self._usual_rate(usage, now) * RECENT_SECONDS)

    def rates(self, priority: int, is_hot: bool, now: float) -> tuple[float, float]:
        """Return the calls a second that go first, and those of one class.

        A class has one priority, and holds hot workspaces or the others.
        """
        if self._rates_at is None or now - self._rates_at >= RATES_CACHE_SECONDS:
            self._rates_at = now
            self._rates_by_class.clear()
            for workspace in list(self._usages_by_workspace):
                usage = self._usage(workspace, now)
                key = usage.priority, self.is_hot(workspace, now)
                rate = usage.recent / RECENT_SECONDS
                self._rates_by_class[key] = self._rates_by_class.get(key, 0.0) + rate
        own = priority, is_hot
        first = sum(rate for key, rate in self._rates_by_class.items() if key < own)
        return first, self._rates_by_class.get(own, 0.0)

    def _usual_rate(self, usage: WorkspaceUsage, now: float) -> float:
        # The calls of the last seconds are no measure of what is usual. The
        # mean covers only the time since the start at first.
        age = max(0.0, now - self.started_at)
        seconds = USUAL_SECONDS * (1 - math.exp(-age / USUAL_SECONDS))
        return max(0.0, usage.usual - usage.recent) / max(
            RECENT_SECONDS, seconds - RECENT_SECONDS
        )

    def _usage(self, workspace: str, now: float) -> WorkspaceUsage:
        usage = self._usages_by_workspace.get(workspace)
        if usage is None:
            if len(self._usages_by_workspace) >= MAX_WORKSPACES:
                oldest = min(
                    self._usages_by_workspace,
                    key=lambda name: self._usages_by_workspace[name].updated_at,
                )
                del self._usages_by_workspace[oldest]
            usage = WorkspaceUsage(updated_at=now)
            self._usages_by_workspace[workspace] = usage
        usage.decay(now)
        return usage
