"""Describe the faults that a plain service can show."""

import enum
from fnmatch import fnmatchcase

from attrs import frozen


class ServiceFaultKind(enum.Enum):
    """Name what goes wrong with a call."""

    # The call does not run.
    REFUSE = "refuse"
    DROP = "drop"
    DROP_REUSED = "drop-reused"
    REDIRECT = "redirect"
    # The call runs, perhaps after its caller has gone.
    SLOW = "slow"
    LATE = "late"
    RUN_THEN_FAIL = "run-then-fail"
    RUN_THEN_DROP = "run-then-drop"
    RUN_THEN_REDIRECT = "run-then-redirect"
    CROSS = "cross"
    HALF = "half"
    SILENCE = "silence"


NOT_RUN_KINDS = frozenset(
    {
        ServiceFaultKind.REFUSE,
        ServiceFaultKind.DROP,
        ServiceFaultKind.DROP_REUSED,
        ServiceFaultKind.REDIRECT,
    }
)


@frozen
class ServiceFault:
    """Describe a fault, the keys it strikes, and its delay.

    ``key`` is a shell pattern; ``seconds`` is the delay of slow and late.
    """

    kind: ServiceFaultKind
    key: str = "*"
    seconds: float = 0.0

    def fits(self, key: str, is_reused: bool) -> bool:
        """Tell whether a call is struck."""
        if self.kind is ServiceFaultKind.DROP_REUSED and not is_reused:
            return False
        return fnmatchcase(key, self.key)
