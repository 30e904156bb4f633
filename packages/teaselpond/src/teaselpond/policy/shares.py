"""Keep one workspace's surge from taking the slots of the others."""

from collections import Counter

from attrs import define, field

ACTIVE_WORKSPACE_SECONDS = 60.0


@define
class WorkspaceShares:
    """Bound each workspace's slots by a multiple of those that are free.

    These are the dynamic thresholds of Choudhury and Hahne (1998) for shared
    buffers: a workspace that surges leaves some slots free for the others,
    and no share has to be set beforehand.
    """

    in_use_by_workspace: Counter[str] = field(factory=Counter)
    _active_at_by_workspace: dict[str, float] = field(factory=dict)

    def record_activity(self, workspace: str, now: float) -> None:
        """Note that a workspace is active."""
        self._active_at_by_workspace.pop(workspace, None)
        # The one seen longest ago stands first.
        self._active_at_by_workspace[workspace] = now
        oldest = next(iter(self._active_at_by_workspace))
        if self._active_at_by_workspace[oldest] < now - ACTIVE_WORKSPACE_SECONDS:
            del self._active_at_by_workspace[oldest]

    def acquire(self, workspace: str) -> None:
        """Count a slot taken."""
        self.in_use_by_workspace[workspace] += 1

    def release(self, workspace: str) -> None:
        """Count a slot given back."""
        self.in_use_by_workspace[workspace] -= 1
        if self.in_use_by_workspace[workspace] <= 0:
            del self.in_use_by_workspace[workspace]

    def may_acquire(self, workspace: str, free: int, factor: float) -> bool:
        """Tell whether a workspace may take one more of the free slots.

        One that has been alone lately may take all of them.
        """
        if len(self._active_at_by_workspace) <= 1:
            return True
        return self.in_use_by_workspace[workspace] < factor * free
