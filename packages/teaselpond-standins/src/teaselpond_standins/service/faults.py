"""Describe the faults that the stand-in of a plain service can inject."""

import enum
from fnmatch import fnmatchcase

from attrs import frozen


class ServiceFaultKind(enum.Enum):
    """List the faults that a call can have."""

    # The call does not run.
    REFUSE = "refuse"
    DROP = "drop"
    DROP_REUSED = "drop-reused"
    REDIRECT = "redirect"
    # The call runs, perhaps after its caller has disconnected.
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
    """Describe a fault and the idempotency keys that it applies to.

    ``key`` is a shell pattern; ``seconds`` is the delay of SLOW and LATE.
    """

    kind: ServiceFaultKind
    key: str = "*"
    seconds: float = 0.0

    def matches(self, key: str, is_reused: bool) -> bool:
        """Return whether the fault applies to a call.

        DROP_REUSED applies only on connections that were used before.
        """
        if self.kind is ServiceFaultKind.DROP_REUSED and not is_reused:
            return False
        return fnmatchcase(key, self.key)
