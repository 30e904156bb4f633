"""Keep one workspace's surge from taking the slots of the others."""

from collections import Counter

from attrs import define, field

RECENT_SECONDS = 60.0


@define
class WorkspaceShares:
    """Count slots by workspace and bound the share of each under load."""

    share: float
    threshold: float
    in_use_by_workspace: Counter[str] = field(factory=Counter)
    _seen_at_by_workspace: dict[str, float] = field(factory=dict)

    def see(self, workspace: str, now: float) -> None:
        """Note that a workspace is active."""
        self._seen_at_by_workspace.pop(workspace, None)
        self._seen_at_by_workspace[workspace] = now
        oldest = next(iter(self._seen_at_by_workspace))
        if self._seen_at_by_workspace[oldest] < now - RECENT_SECONDS:
            del self._seen_at_by_workspace[oldest]

    def take(self, workspace: str) -> None:
        """Count a slot taken."""
        self.in_use_by_workspace[workspace] += 1

    def give_back(self, workspace: str) -> None:
        """Count a slot given back."""
        self.in_use_by_workspace[workspace] -= 1
        if self.in_use_by_workspace[workspace] <= 0:
            del self.in_use_by_workspace[workspace]

    def may_take(self, workspace: str, in_use: int, limit: int) -> bool:
        """Tell whether a workspace may take one more of the slots.

        Below the threshold, or when it has been alone lately, it may.
        """
        if len(self._seen_at_by_workspace) <= 1 or in_use < self.threshold * limit:
            return True
        allowed = max(1, int(self.share * limit))
        return self.in_use_by_workspace[workspace] < allowed
