"""Record what a soak's callers, operator and strikes did and saw.

All times are in seconds of the steady clock.
"""

import enum
import math
from collections.abc import Iterable

from attrs import define, field, frozen

from ..drill.records import Ending

# A host is judged by its bounds of time once it was calm for this long; the
# longest that the platform's deployments state.
CONTACT_SECONDS = 4.0
STORE = "store"


class CallKind(enum.Enum):
    """Name the kinds of requests, each with a route of its own."""

    STREAM = "stream"
    SINGLE = "single"
    ORDER = "orders"
    STOCK = "stock"

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer comes as events."""
        return self in (CallKind.STREAM, CallKind.SINGLE)

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request of this kind may run more than once."""
        return self in (CallKind.STREAM, CallKind.STOCK)


@define(eq=False)
class Attempt:
    """Hold one request to one gateway, and how it ended."""

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

    @property
    def is_success(self) -> bool:
        """Tell whether the whole of an answer came that says success."""
        return self.ending is Ending.WHOLE and 200 <= self.status < 300

    @property
    def promises_not_run(self) -> bool:
        """Tell whether the status says that nothing ran or will."""
        return self.status in (408, 421, 429, 503)


@define(eq=False)
class Trouble:
    """Tell what was wrong with a gateway, an engine or the store, and when."""

    name: str
    kind: str
    start: float
    end: float = math.inf
    is_planned: bool = False


@frozen
class KeyWritten:
    """Tell when the configuration with a workspace's key was accepted."""

    key: str
    at: float


@frozen
class DirectoryAnswer:
    """Hold the gateways that a gateway's directory named."""

    at: float
    gateway: str
    named: frozenset[str]


@frozen
class Stop:
    """Tell how a planned stop of a gateway went."""

    gateway: str
    asked: float
    ended: float
    exit_code: int | None


@define(eq=False)
class SoakRecords:
    """Gather everything that the checks read."""

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
        """Note that something is wrong from now on."""
        trouble = Trouble(name, kind, now, is_planned=is_planned)
        self.troubles.append(trouble)
        return trouble

    def is_calm(self, names: Iterable[str], start: float, end: float) -> bool:
        """Tell whether none of these had trouble within a span."""
        wanted = frozenset(names)
        return not any(
            trouble.name in wanted and trouble.start <= end and trouble.end >= start
            for trouble in self.troubles
        )

    def is_in_touch(self, gateway: str, start: float, end: float) -> bool:
        """Tell whether a gateway and the store were calm long enough."""
        return self.is_calm((gateway, STORE), start - CONTACT_SECONDS, end)

    def was_down(self, gateway: str, since: float, until: float) -> bool:
        """Tell whether a gateway was killed and stayed down over a span."""
        return any(
            trouble.name == gateway
            and trouble.kind == "killed"
            and trouble.start <= since
            and trouble.end >= until
            for trouble in self.troubles
        )
