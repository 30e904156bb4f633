"""Describe calls, their request heads and prompts."""

from attrs import frozen
from multidict import CIMultiDict

from .configuration import Route, Workspace
from .engines import Engine


@frozen
class PromptPart:
    """Describe one leading part of a prompt; the id identifies its text."""

    part_id: str
    tokens: int


@frozen
class Prompt:
    """Describe a prompt as reported by the caller.

    The last part belongs only to the request or its session; the parts
    before it are shared with other requests.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that are shared with other requests."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Return the last shared part's id; empty if nothing is shared.

        A part always follows the same parts, so its id identifies the whole
        prefix.
        """
        shared = self.shared_parts
        return shared[-1].part_id if shared else ""


@frozen
class Head:
    """Describe the request line and headers of a caller's request.

    ``deadline_seconds`` is how long the caller waits, None if not stated.
    ``headers`` are those that are forwarded to an upstream.
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
class Forwarding:
    """Describe how one attempt of a call is sent to its upstream.

    A stream goes on after ``last_event_id``. The upstream copies cached parts
    of the prompt from ``copy_from`` before it runs the call. It admits a lower
    ``urgency_class`` first; None if priorities do not differ.
    """

    last_event_id: str | None = None
    copy_from: Engine | None = None
    urgency_class: int | None = None


@frozen
class Call:
    """Describe an admitted call; times are on the boot clock."""

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
        """Return whether the call may run more than once."""
        return self.route.is_idempotent

    @property
    def priority(self) -> int:
        """Return the call's priority; 0 is the highest."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
