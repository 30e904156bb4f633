"""Show the platform's faults: refused, slow, dropped and lost calls."""

import asyncio
import enum
from collections import Counter
from fnmatch import fnmatchcase

from attrs import define, field, frozen

from teaselpond_model.exceptions import StoreOutcomeUnknown, StoreUnavailable

from ..faults import UNLIMITED_CALLS, FaultPlan

READ_OPERATIONS = frozenset({"table.get", "table.scan", "objects.get", "hosts.list"})


class PlatformFaultKind(enum.Enum):
    """Name what goes wrong with a call."""

    REFUSE = "refuse"
    DROP = "drop"
    SLOW = "slow"
    LOSE_ANSWER = "lose-answer"
    SLOW_ANSWER = "slow-answer"
    RUBBISH = "rubbish"
    STALE = "stale"


BEFORE_EFFECT = frozenset({PlatformFaultKind.REFUSE, PlatformFaultKind.DROP})
AFTER_EFFECT = frozenset({PlatformFaultKind.LOSE_ANSWER, PlatformFaultKind.RUBBISH})


@frozen
class PlatformFault:
    """Describe a fault, the operations and keys it strikes, and its delay.

    ``operation`` and ``key`` are shell patterns; ``seconds`` is the delay of
    the slow kinds.
    """

    kind: PlatformFaultKind
    operation: str = "*"
    key: str = "*"
    seconds: float = 0.0

    def fits(self, operation: str, keys: tuple[str, ...]) -> bool:
        """Tell whether a call of an operation on some keys is struck."""
        return fnmatchcase(operation, self.operation) and (
            self.key == "*" or any(fnmatchcase(key, self.key) for key in keys)
        )


class InjectedUnavailable(StoreUnavailable):
    """Report an injected fault of a read, or a write that was not done."""

    def __init__(self, kind: PlatformFaultKind, step: str) -> None:
        super().__init__(f"injected fault: {kind.value}", step=step, peer="standin")
        self.kind = kind


class InjectedOutcomeUnknown(StoreOutcomeUnknown):
    """Report an injected fault of a write that may have been done."""

    def __init__(self, kind: PlatformFaultKind, step: str) -> None:
        super().__init__(f"injected fault: {kind.value}", step=step, peer="standin")
        self.kind = kind


@define
class PlatformFaults:
    """Count the calls to a platform and strike some of them."""

    plan: FaultPlan[PlatformFault] = field(factory=FaultPlan)
    calls_by_operation: Counter[str] = field(factory=Counter)

    def add(
        self,
        kind: PlatformFaultKind,
        operation: str = "*",
        *,
        key: str = "*",
        seconds: float = 0.0,
        count: int = UNLIMITED_CALLS,
        skip: int = 0,
    ) -> None:
        """Arm a fault for ``count`` calls, after ``skip`` are spared."""
        self.plan.add(PlatformFault(kind, operation, key, seconds), count, skip)

    def clear(self) -> None:
        """Disarm every fault."""
        self.plan.clear()

    @property
    def reads(self) -> int:
        """Count the reads so far."""
        return sum(self.calls_by_operation[name] for name in READ_OPERATIONS)

    @property
    def writes(self) -> int:
        """Count the writes so far."""
        return self.calls_by_operation.total() - self.reads

    async def enter(self, operation: str, *keys: str) -> PlatformFault | None:
        """Count a call; delay it, or raise as if it had not been done."""
        self.calls_by_operation[operation] += 1
        fault = self.plan.consume(lambda armed: armed.fits(operation, keys))
        if fault is None:
            return None
        if fault.kind is PlatformFaultKind.SLOW:
            await asyncio.sleep(fault.seconds)
        if fault.kind in BEFORE_EFFECT:
            raise _make_error(fault.kind, operation)
        return fault

    async def leave(self, operation: str, fault: PlatformFault | None) -> None:
        """Delay the answer of a call that was done, or raise as if lost."""
        if fault is None:
            return
        if fault.kind is PlatformFaultKind.SLOW_ANSWER:
            await asyncio.sleep(fault.seconds)
        if fault.kind in AFTER_EFFECT:
            raise _make_error(fault.kind, operation)


def _make_error(kind: PlatformFaultKind, operation: str) -> StoreUnavailable:
    # A caller only knows that a write was not done when it was refused.
    if kind is PlatformFaultKind.REFUSE or operation in READ_OPERATIONS:
        return InjectedUnavailable(kind, operation)
    return InjectedOutcomeUnknown(kind, operation)
