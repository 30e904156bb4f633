"""Describe one call of a caller, as the gateway handles it."""

from attrs import frozen
from multidict import CIMultiDict

from .configuration import Route, Workspace


@frozen
class PromptPart:
    """Hold one leading part of a prompt, by the id that names its text."""

    part_id: str
    tokens: int


@frozen
class Prompt:
    """Hold what a caller tells of a prompt.

    The last part belongs to the request or its session alone; the ones
    before it are shared with other requests.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests have too."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Return the last shared part's id; empty where nothing is shared.

        The parts before a part are always the same ones, so its id names the
        whole beginning.
        """
        shared = self.shared_parts
        return shared[-1].part_id if shared else ""


@frozen
class Head:
    """Hold what the head of a caller's request says.

    ``deadline_seconds`` is how long the caller waits, None if it is not told.
    ``headers`` are those that go on to an upstream.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str | None
    deadline_seconds: float | None
    prompt: Prompt | None
    last_event_id: str | None
    headers: CIMultiDict[str]

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@frozen
class Call:
    """Hold a call that a configuration allows; times on the boot clock."""

    head: Head
    body: bytes
    route: Route
    service: str
    workspace: Workspace | None
    version: int
    arrived_at: float
    expires_at: float

    @property
    def may_repeat(self) -> bool:
        """Tell whether the call may run more than once."""
        return self.route.is_idempotent

    @property
    def priority(self) -> int:
        """Return the call's rank; 0 goes first."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
