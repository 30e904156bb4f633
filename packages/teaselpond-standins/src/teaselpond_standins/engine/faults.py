"""Describe the faults that an engine can show."""

import enum
from fnmatch import fnmatchcase

from attrs import frozen


class EngineFaultKind(enum.Enum):
    """Name what goes wrong with a call to an engine."""

    # Before the request runs.
    REFUSE = "refuse"
    DROP = "drop"
    # While the answer is sent, after its event number ``event``.
    BREAK = "break"
    FORGET = "forget"
    SILENCE = "silence"
    TRUNCATE = "truncate"
    CRASH = "crash"
    # An answer that comes, but is not the one asked for.
    CROSS = "cross"
    RUBBISH = "rubbish"
    DUPLICATE = "duplicate"
    FAIL = "fail"


@frozen
class EngineFault:
    """Describe a fault and the calls it strikes.

    ``operation`` (the name of a route of the stand-in) and ``request_id`` are
    shell patterns; ``event`` counts from 1, and 0 means before any.
    """

    kind: EngineFaultKind
    operation: str = "chat"
    request_id: str = "*"
    event: int = 0

    def matches(self, operation: str, request_id: str) -> bool:
        """Tell whether a call is struck."""
        return fnmatchcase(operation, self.operation) and fnmatchcase(
            request_id, self.request_id
        )
