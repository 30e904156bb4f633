"""Keep the faults that a stand-in has been told to show."""

from collections.abc import Callable
from typing import Generic, TypeVar

from attrs import define, field

F = TypeVar("F")

UNLIMITED_CALLS = -1


@define
class _ArmedFault(Generic[F]):
    fault: F
    skip: int
    left: int


@define
class FaultPlan(Generic[F]):
    """Hold armed faults, in the order in which they were added."""

    _armed: list[_ArmedFault[F]] = field(factory=list, init=False)

    def add(self, fault: F, count: int = UNLIMITED_CALLS, skip: int = 0) -> None:
        """Arm a fault for the calls that it fits, after some are spared."""
        self._armed.append(_ArmedFault(fault, skip, count))

    def clear(self) -> None:
        """Disarm every fault."""
        self._armed.clear()

    def consume(self, fits: Callable[[F], bool]) -> F | None:
        """Return the first armed fault that fits a call, and use it up."""
        for armed in self._armed:
            if armed.left == 0 or not fits(armed.fault):
                continue
            if armed.skip > 0:
                armed.skip -= 1
                continue
            if armed.left > 0:
                armed.left -= 1
            return armed.fault
        return None
