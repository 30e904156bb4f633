"""Limit a workspace's slots to leave some for other workspaces."""

from collections import Counter

from attrs import define, field

ACTIVE_WORKSPACE_SECONDS = 60.0


@define
class WorkspaceShares:
    """Limit each workspace's slots to a multiple of the free slots.

    These are the dynamic thresholds of Choudhury and Hahne (1998) for shared
    buffers: a burst of one workspace leaves some slots free for the others,
    without configured shares.
    """

    in_use_by_workspace: Counter[str] = field(factory=Counter)
    _active_at_by_workspace: dict[str, float] = field(factory=dict)

    def record_activity(self, workspace: str, now: float) -> None:
        """Record that a workspace is active; expire the oldest activity."""
        self._active_at_by_workspace.pop(workspace, None)
        # Reinsert the workspace last, to keep the dict ordered by activity.
        self._active_at_by_workspace[workspace] = now
        oldest = next(iter(self._active_at_by_workspace))
        if self._active_at_by_workspace[oldest] < now - ACTIVE_WORKSPACE_SECONDS:
            del self._active_at_by_workspace[oldest]

    def acquire(self, workspace: str) -> None:
        """Count a slot acquired by a workspace."""
        self.in_use_by_workspace[workspace] += 1

    def release(self, workspace: str) -> None:
        """Count a slot released by a workspace."""
        self.in_use_by_workspace[workspace] -= 1
        if self.in_use_by_workspace[workspace] <= 0:
            del self.in_use_by_workspace[workspace]

    def may_acquire(self, workspace: str, free: int, factor: float) -> bool:
        """Return whether a workspace may acquire one more slot.

        If it is the only one with recent activity, it may use all slots.
        """
        if len(self._active_at_by_workspace) <= 1:
            return True
        return self.in_use_by_workspace[workspace] < factor * free
