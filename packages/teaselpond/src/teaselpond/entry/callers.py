"""Read a call's workspace, class, deadline and ids from request headers."""

import hashlib
import hmac
import re
import uuid

from aiohttp import web
from attrs import frozen

from teaselpond_model.configuration import Document, WorkspaceItem

from ..delivery.verdicts import RefusalCause, refuse
from ..exceptions import Refused

WORKSPACE_HEADER = "X-Workspace"
CHAT_HEADER = "X-Chat"
REQUEST_ID_KEY: web.RequestKey[str] = web.RequestKey("request_id")
REQUEST_ID_HEADER = "X-Request-Id"
CLASS_HEADER = "X-Class"
DEADLINE_HEADER = "X-Deadline-Seconds"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
LAST_EVENT_ID_HEADER = "Last-Event-ID"
AFFINITY_HEADER = "X-Affinity"
RESUMABLE_HEADER = "X-Resumable"
CALLER_REQUEST_CLASSES = ("interactive", "label")
MAX_DEADLINE_SECONDS = 3600.0
MAX_LAST_EVENT_ID_LENGTH = 2048
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/+=-]{0,127}")


@frozen
class CallContext:
    """Hold the values of a call's headers.

    ``deadline`` is a time on the clock that ``read_call`` was given. ``peer``
    is the caller's IP address.
    """

    request_id: str
    workspace: WorkspaceItem
    chat: str
    request_class: str
    deadline: float
    peer: str
    last_event_id: str = ""
    idempotency_key: str = ""
    affinity: str = ""
    resumable: bool = False


def read_call(
    request: web.Request, document: Document, now: float, default_deadline: float
) -> CallContext:
    """Return a call's context; raise Refused for an invalid header.

    ``now`` is the time on the daemon's clock. ``default_deadline`` is the
    number of seconds from ``now`` that a call without a deadline header gets.
    """
    workspace = _read_workspace(request, document)
    return CallContext(
        request_id=read_request_id(request),
        workspace=workspace,
        chat=_read_name(request, CHAT_HEADER),
        request_class=_read_class(request),
        deadline=now + _read_deadline(request, default_deadline),
        peer=request.remote or "",
        last_event_id=_read_last_event_id(request),
        idempotency_key=_read_name(request, IDEMPOTENCY_KEY_HEADER),
        resumable=request.headers.get(RESUMABLE_HEADER, "").lower() == "true",
        affinity=request.headers.get(AFFINITY_HEADER, "")[:MAX_LAST_EVENT_ID_LENGTH],
    )


def read_request_id(request: web.Request) -> str:
    """Return the caller's request id, or a new one if it sent none."""
    return _read_name(request, REQUEST_ID_HEADER) or uuid.uuid4().hex


def _read_workspace(request: web.Request, document: Document) -> WorkspaceItem:
    workspace_id = _read_name(request, WORKSPACE_HEADER)
    if not workspace_id:
        raise _refuse_header(f"the header {WORKSPACE_HEADER} is missing")
    workspace = document.workspaces_by_id.get(workspace_id)
    if workspace is None:
        raise refuse(
            RefusalCause.CALLER_UNKNOWN, f"workspace {workspace_id} does not exist"
        )
    if workspace.key_digests and not _key_matches(request, workspace):
        raise refuse(
            RefusalCause.CALLER_UNKNOWN,
            f"the key of workspace {workspace_id} is missing or wrong",
        )
    return workspace


def _key_matches(request: web.Request, workspace: WorkspaceItem) -> bool:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return False
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    return any(
        hmac.compare_digest(digest, known_digest.lower())
        for known_digest in workspace.key_digests
    )


def _read_name(request: web.Request, header: str) -> str:
    value = request.headers.get(header, "")
    if value and not NAME_PATTERN.fullmatch(value):
        raise _refuse_header(
            f"the header {header} is not a valid name of up to 128 characters"
        )
    return value


def _read_class(request: web.Request) -> str:
    value = request.headers.get(CLASS_HEADER, CALLER_REQUEST_CLASSES[0])
    if value not in CALLER_REQUEST_CLASSES:
        raise _refuse_header(
            f"the header {CLASS_HEADER} is not one of "
            f"{', '.join(CALLER_REQUEST_CLASSES)}"
        )
    return value


def _read_deadline(request: web.Request, default_seconds: float) -> float:
    value = request.headers.get(DEADLINE_HEADER)
    if value is None:
        return default_seconds
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds <= MAX_DEADLINE_SECONDS:
        raise _refuse_header(
            f"the header {DEADLINE_HEADER} is not between 0 and "
            f"{MAX_DEADLINE_SECONDS:.0f} seconds"
        )
    return seconds


def _read_last_event_id(request: web.Request) -> str:
    value = request.headers.get(LAST_EVENT_ID_HEADER, "")
    if len(value) > MAX_LAST_EVENT_ID_LENGTH:
        raise _refuse_header(
            f"the header {LAST_EVENT_ID_HEADER} is longer than "
            f"{MAX_LAST_EVENT_ID_LENGTH} characters"
        )
    return value


def _refuse_header(message: str) -> Refused:
    return refuse(RefusalCause.INPUT_INVALID, message)
