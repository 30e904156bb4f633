"""Inject faults into calls to the platform.

A call can be refused, dropped or delayed, its answer can be lost or
malformed, and a read can see an old state.
"""

import asyncio
import enum
from collections import Counter
from fnmatch import fnmatchcase

from attrs import define, field, frozen

from teaselpond_model.exceptions import StoreOutcomeUnknown, StoreUnavailable

from ..faults import UNLIMITED_CALLS, FaultPlan

READ_OPERATIONS = frozenset({"table.get", "table.scan", "objects.get", "hosts.list"})


class PlatformFaultKind(enum.Enum):
    """List the faults that a call to the platform can have."""

    REFUSE = "refuse"
    DROP = "drop"
    SLOW = "slow"
    LOSE_ANSWER = "lose-answer"
    SLOW_ANSWER = "slow-answer"
    RUBBISH = "rubbish"
    STALE = "stale"


FAILS_BEFORE_EXECUTION = frozenset({PlatformFaultKind.REFUSE, PlatformFaultKind.DROP})
FAILS_AFTER_EXECUTION = frozenset(
    {PlatformFaultKind.LOSE_ANSWER, PlatformFaultKind.RUBBISH}
)


@frozen
class PlatformFault:
    """Describe a fault and the operations and keys that it applies to.

    ``operation`` and ``key`` are shell patterns; ``seconds`` is the delay of
    the slow kinds.
    """

    kind: PlatformFaultKind
    operation: str = "*"
    key: str = "*"
    seconds: float = 0.0

    def matches(self, operation: str, keys: tuple[str, ...]) -> bool:
        """Return whether the fault applies to a call with these keys."""
        return fnmatchcase(operation, self.operation) and (
            self.key == "*" or any(fnmatchcase(key, self.key) for key in keys)
        )


class InjectedUnavailable(StoreUnavailable):
    """Report an injected fault of a read or of a write that did not run."""

    def __init__(self, kind: PlatformFaultKind, step: str) -> None:
        super().__init__(f"injected fault: {kind.value}", step=step, peer="standin")
        self.kind = kind


class InjectedOutcomeUnknown(StoreOutcomeUnknown):
    """Report an injected fault of a write that may have run."""

    def __init__(self, kind: PlatformFaultKind, step: str) -> None:
        super().__init__(f"injected fault: {kind.value}", step=step, peer="standin")
        self.kind = kind


@define
class PlatformFaults:
    """Count the calls to a platform and inject faults into some of them."""

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
        """Add a fault for ``count`` matching calls; ``skip`` pass first."""
        self.plan.add(PlatformFault(kind, operation, key, seconds), count, skip)

    def clear(self) -> None:
        """Remove every fault."""
        self.plan.clear()

    @property
    def reads(self) -> int:
        """Return the number of reads so far."""
        return sum(self.calls_by_operation[name] for name in READ_OPERATIONS)

    @property
    def writes(self) -> int:
        """Return the number of writes so far."""
        return self.calls_by_operation.total() - self.reads

    async def before_call(self, operation: str, *keys: str) -> PlatformFault | None:
        """Count a call and apply a fault that comes before it runs.

        Return the fault that matches the call, or None. Raise
        InjectedUnavailable or InjectedOutcomeUnknown.
        """
        self.calls_by_operation[operation] += 1
        fault = self.plan.consume(lambda armed: armed.matches(operation, keys))
        if fault is None:
            return None
        if fault.kind is PlatformFaultKind.SLOW:
            await asyncio.sleep(fault.seconds)
        if fault.kind in FAILS_BEFORE_EXECUTION:
            raise _build_error(fault.kind, operation)
        return fault

    async def after_call(self, operation: str, fault: PlatformFault | None) -> None:
        """Apply a fault that comes after a call has run.

        Raise InjectedUnavailable or InjectedOutcomeUnknown.
        """
        if fault is None:
            return
        if fault.kind is PlatformFaultKind.SLOW_ANSWER:
            await asyncio.sleep(fault.seconds)
        if fault.kind in FAILS_AFTER_EXECUTION:
            raise _build_error(fault.kind, operation)


def _build_error(kind: PlatformFaultKind, operation: str) -> StoreUnavailable:
    # Only a refusal tells the caller that a write did not run.
    if kind is PlatformFaultKind.REFUSE or operation in READ_OPERATIONS:
        return InjectedUnavailable(kind, operation)
    return InjectedOutcomeUnknown(kind, operation)
