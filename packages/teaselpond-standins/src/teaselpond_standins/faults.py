"""Keep the faults that a stand-in injects into its answers."""

from collections.abc import Callable
from typing import Generic, TypeVar

from attrs import define, field

F = TypeVar("F")

# The count of a fault that stays armed until it is cleared.
UNLIMITED_CALLS = -1


@define
class _ArmedFault(Generic[F]):
    fault: F
    calls_to_skip: int
    remaining_calls: int


@define
class FaultPlan(Generic[F]):
    """Hold armed faults in the order in which they were added."""

    _armed: list[_ArmedFault[F]] = field(factory=list, init=False)

    def add(self, fault: F, count: int = UNLIMITED_CALLS, skip: int = 0) -> None:
        """Arm a fault for ``count`` matching calls after ``skip`` others."""
        self._armed.append(_ArmedFault(fault, skip, count))

    def clear(self) -> None:
        """Disarm every fault."""
        self._armed.clear()

    def consume(self, matches: Callable[[F], bool]) -> F | None:
        """Return the first armed fault that matches, and count the call.

        A matching fault with calls left to skip counts the call as skipped
        and is passed over.
        """
        for armed in self._armed:
            if armed.remaining_calls == 0 or not matches(armed.fault):
                continue
            if armed.calls_to_skip > 0:
                armed.calls_to_skip -= 1
                continue
            if armed.remaining_calls > 0:
                armed.remaining_calls -= 1
            return armed.fault
        return None
