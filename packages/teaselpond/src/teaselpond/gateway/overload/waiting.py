"""Order the calls that wait for one service's capacity in this host.

Handles the few calls (2 to 5 a second) that one of many hosts has for a small
service, as well as some dozens; it sorts them whole each time.
"""

import bisect
import copy
import math

from attrs import define, field, frozen

from ..calls import Call
from .workspaces import WorkspaceUsages

# Spare times in the same band count as equal, so that workspaces take turns.
SPARE_BAND_SECONDS = 0.1
# A wait of this part of the objective raises a call by one priority, so that
# nothing starves.
AGEING_RATIO = 0.5
# Sorting some dozens of calls at each look of each of them would take a
# quarter of a core.
ORDER_SECONDS = 0.02


@frozen
class Waiting:
    """Describe a waiting call; ``number`` counts those of its queue."""

    call: Call
    since: float
    number: int

    @property
    def workspace(self) -> str:
        """Return the name of the caller's workspace, empty if it has none."""
        return workspace_of(self.call)

    def aged_priority(self, now: float) -> int:
        """Return the priority, less one for each part of the wait."""
        ageing = max(0.01, self.call.route.objective_seconds * AGEING_RATIO)
        return self.call.priority - math.floor(max(0.0, now - self.since) / ageing)

    def spare_seconds(self, answer_seconds: float, now: float) -> float:
        """Return how long the call may wait and still meet its objective."""
        return objective_at(self.call) - answer_seconds - now


@define
class WaitingCalls:
    """Hold the calls that wait for one service, in their order.

    The order is renewed every ORDER_SECONDS, because it depends on the time.
    """

    held_bytes: int = 0
    _waiting_by_id: dict[str, Waiting] = field(factory=dict)
    _keys_by_id: dict[str, tuple] = field(factory=dict)
    _sorted_keys: list[tuple] = field(factory=list)
    _sorted_at: float | None = None
    _last_number: int = 0

    def copy(self) -> "WaitingCalls":
        """Return a copy with the same calls, to which others can be added."""
        copied = copy.copy(self)
        copied._waiting_by_id = dict(self._waiting_by_id)
        copied._keys_by_id = dict(self._keys_by_id)
        copied._sorted_keys = list(self._sorted_keys)
        return copied

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, call: Call) -> bool:
        return call.head.request_id in self._waiting_by_id

    def add(self, call: Call, since: float) -> None:
        """Add a call that waits since some time, unless it is known."""
        if call not in self:
            self._last_number += 1
            waiting = Waiting(call, since, self._last_number)
            self._waiting_by_id[call.head.request_id] = waiting
            self.held_bytes += len(call.body)

    def since(self, call: Call) -> float:
        """Return when a waiting call began to wait."""
        return self._waiting_by_id[call.head.request_id].since

    def remove(self, call: Call) -> Waiting | None:
        """Remove a call and return it, None if it does not wait."""
        request_id = call.head.request_id
        waiting = self._waiting_by_id.get(request_id)
        if waiting is None or waiting.call is not call:
            return None
        del self._waiting_by_id[request_id]
        self.held_bytes -= len(call.body)
        key = self._keys_by_id.pop(request_id, None)
        if key is not None:
            del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
        return waiting

    def position(
        self, call: Call, usages: WorkspaceUsages, answer_seconds: float, now: float
    ) -> int:
        """Return how many calls are offered before a waiting one."""
        if self._sorted_at is None or now - self._sorted_at >= ORDER_SECONDS:
            self._sorted_at = now
            self._keys_by_id = {
                request_id: self._rank(waiting, usages, answer_seconds, now)
                for request_id, waiting in self._waiting_by_id.items()
            }
            self._sorted_keys = sorted(self._keys_by_id.values())
        request_id = call.head.request_id
        key = self._keys_by_id.get(request_id)
        if key is None:
            waiting = self._waiting_by_id[request_id]
            key = self._rank(waiting, usages, answer_seconds, now)
            self._keys_by_id[request_id] = key
            bisect.insort(self._sorted_keys, key)
        return bisect.bisect_left(self._sorted_keys, key)

    def _rank(
        self,
        waiting: Waiting,
        usages: WorkspaceUsages,
        answer_seconds: float,
        now: float,
    ) -> tuple:
        """Return the sorting key; the least one goes first.

        A hot workspace comes after the others of its priority. Calls that can
        still meet their objective go before those that are late.
        """
        spare = waiting.spare_seconds(answer_seconds, now)
        return (
            waiting.aged_priority(now),
            usages.is_hot(waiting.workspace, now),
            spare < 0,
            math.floor(spare / SPARE_BAND_SECONDS),
            usages.served_share(waiting.workspace, now),
            waiting.since,
            waiting.number,
        )


def workspace_of(call: Call) -> str:
    """Return the name of a caller's workspace, empty if it has none."""
    return call.workspace.name if call.workspace is not None else ""


def objective_at(call: Call) -> float:
    """Return by when a call's answer meets its objective."""
    return min(call.arrived_at + call.route.objective_seconds, call.expires_at)
