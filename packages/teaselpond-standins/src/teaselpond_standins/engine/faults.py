"""Define the faults that can be injected into an engine."""

import enum
from fnmatch import fnmatchcase

from attrs import frozen


class EngineFaultKind(enum.Enum):
    """List the faults of a call to an engine."""

    # Before the request runs.
    REFUSE = "refuse"
    DROP = "drop"
    # While the answer is sent, after its event number ``event``.
    BREAK = "break"
    FORGET = "forget"
    SILENCE = "silence"
    TRUNCATE = "truncate"
    CRASH = "crash"
    # The request runs, but its answer is wrong or malformed.
    CROSS = "cross"
    RUBBISH = "rubbish"
    DUPLICATE = "duplicate"
    FAIL = "fail"


@frozen
class EngineFault:
    """Describe a fault and the calls that it affects.

    ``operation`` (the name of a route of the stand-in) and ``request_id`` are
    shell patterns; ``event`` counts from 1, and 0 is before the first event.
    """

    kind: EngineFaultKind
    operation: str = "chat"
    request_id: str = "*"
    event: int = 0

    def matches(self, operation: str, request_id: str) -> bool:
        """Return whether the fault affects a call."""
        return fnmatchcase(operation, self.operation) and fnmatchcase(
            request_id, self.request_id
        )
