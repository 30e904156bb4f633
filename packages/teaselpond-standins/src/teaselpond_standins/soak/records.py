"""Record the requests, the disturbances and the operator's changes of a soak.

All times are in seconds of the monotonic clock.
"""

import enum
import math
from collections.abc import Iterable

from attrs import define, field, frozen

from ..drill.records import Ending

# The checks of time limits apply to a host after this long without trouble.
# It is the longest limit that the platform's deployments configure.
STABLE_SECONDS = 4.0
STORE = "store"


class CallKind(enum.Enum):
    """List the kinds of requests; each has its own route."""

    STREAM = "stream"
    SINGLE = "single"
    ORDER = "orders"
    STOCK = "stock"

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in (CallKind.STREAM, CallKind.SINGLE)

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request of this kind may run more than once."""
        return self in (CallKind.STREAM, CallKind.STOCK)


@define(eq=False)
class Attempt:
    """Record one request to one gateway, and how it ended.

    ``seal`` is the engine's signature in the answer. The body was complete
    ``body_seconds`` after the head.
    """

    request_id: str
    kind: CallKind
    gateway: str
    target: str
    key: str
    headers: dict[str, str]
    deadline_seconds: float
    sent: float
    ended: float = math.inf
    ending: Ending = Ending.CUT
    status: int = 0
    reason: str = ""
    seal: str = ""
    retry_after: float | None = None
    body: bytes = b""
    gave_up_at: float | None = None
    body_seconds: float = 0.0

    @property
    def is_success(self) -> bool:
        """Return whether a complete answer came with a status of 2xx."""
        return self.ending is Ending.WHOLE and 200 <= self.status < 300

    @property
    def promises_not_run(self) -> bool:
        """Return whether the status means that the request will never run."""
        return self.status in (408, 421, 429, 503)


@define(eq=False)
class Trouble:
    """Record a fault of a gateway, an engine or the store, and its duration.

    ``name`` is the gateway, the engine or STORE.
    """

    name: str
    kind: str
    start: float
    end: float = math.inf
    is_planned: bool = False


@frozen
class KeyWritten:
    """Record when the configuration with a workspace's key was accepted."""

    key: str
    at: float


@frozen
class DirectoryAnswer:
    """Record the gateways that a gateway's directory returned."""

    at: float
    gateway: str
    named: frozenset[str]


@frozen
class Stop:
    """Record a planned stop of a gateway, and how it ended."""

    gateway: str
    asked: float
    ended: float
    exit_code: int | None


@define(eq=False)
class SoakRecords:
    """Collect everything that the checks need.

    ``left_at_by_engine`` has the times of each removal and return.
    """

    started: float = 0.0
    attempts: list[Attempt] = field(factory=list)
    troubles: list[Trouble] = field(factory=list)
    stops: list[Stop] = field(factory=list)
    answers: list[DirectoryAnswer] = field(factory=list)
    revoked_at_by_key: dict[str, float] = field(factory=dict)
    valid_from_by_key: dict[str, float] = field(factory=dict)
    left_at_by_engine: dict[str, list[tuple[float, float]]] = field(factory=dict)
    unready_at_end: list[str] = field(factory=list)
    last_attempts: list[Attempt] = field(factory=list)
    failures: list[str] = field(factory=list)

    def begin_trouble(
        self, name: str, kind: str, now: float, *, is_planned: bool = False
    ) -> Trouble:
        """Record a trouble that starts now and has no end yet."""
        trouble = Trouble(name, kind, now, is_planned=is_planned)
        self.troubles.append(trouble)
        return trouble

    def had_no_trouble(self, names: Iterable[str], start: float, end: float) -> bool:
        """Return whether none of some names had trouble in an interval."""
        name_set = frozenset(names)
        return not any(
            trouble.name in name_set and trouble.start <= end and trouble.end >= start
            for trouble in self.troubles
        )

    def was_stable(self, gateway: str, start: float, end: float) -> bool:
        """Return whether a gateway and the store were stable in an interval.

        They are stable if they had no trouble in it, nor in the
        STABLE_SECONDS before it.
        """
        return self.had_no_trouble((gateway, STORE), start - STABLE_SECONDS, end)

    def was_down(self, gateway: str, since: float, until: float) -> bool:
        """Return whether a gateway was down during a whole interval."""
        return any(
            trouble.name == gateway
            and trouble.kind == "killed"
            and trouble.start <= since
            and trouble.end >= until
            for trouble in self.troubles
        )
