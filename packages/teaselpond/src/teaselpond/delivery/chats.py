"""Parse chat requests and build the request bodies for engines."""

import json

from attrs import field, frozen

from teaselpond_model.prefixes import (
    content_text,
    count_tokens,
    prefix_hashes,
    prompt_text,
)

from ..policy import RequestClass, select_prefixes
from .poison import chat_fingerprint
from .verdicts import RefusalCause, refuse

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_MESSAGES = 10_000
MAX_ID_CHARACTERS = 128
ROLES = frozenset({"system", "developer", "user", "assistant", "tool"})


@frozen
class ChatCall:
    """Hold a parsed chat request.

    ``chat`` is the id of the chat, ``document`` the request's JSON body.
    ``fingerprint`` is equal for repeats of the same request. ``deadline`` is a
    time of this daemon's monotonic clock, in seconds. When the caller of a
    ``resumable`` call disconnects, the engine still completes the answer, so
    the caller can resume it.
    """

    workspace: str
    chat: str
    request_id: str
    model: str
    request_class: RequestClass
    deadline: float
    document: dict = field(repr=False)
    prompt_tokens: int
    prefixes: tuple[str, ...]
    fingerprint: str
    streamed: bool = False
    resumable: bool = False
    hint_engine: str = ""


def parse_chat(
    body: bytes,
    *,
    workspace: str,
    chat: str,
    request_id: str,
    request_class: RequestClass,
    deadline: float,
    resumable: bool = False,
    hint_engine: str = "",
) -> ChatCall:
    """Parse a chat request's body; raise Refused if it is invalid."""
    for name, value in (
        ("workspace", workspace),
        ("chat", chat),
        ("request id", request_id),
    ):
        check_id(name, value)
    document = parse_document(body)
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise refuse(RefusalCause.INPUT_INVALID, "model: expected a non-empty string")
    if document.get("n", 1) != 1:
        raise refuse(
            RefusalCause.INPUT_INVALID, "n: expected 1, as each request has one answer"
        )
    streamed = document.get("stream", False)
    if not isinstance(streamed, bool):
        raise refuse(RefusalCause.INPUT_INVALID, "stream: expected true or false")
    limit = document.get("max_tokens")
    if limit is not None and (type(limit) is not int or limit < 1):
        raise refuse(
            RefusalCause.INPUT_INVALID, "max_tokens: expected an integer above 0"
        )
    messages = _check_messages(document.get("messages"))
    prompt = prompt_text(messages)
    return ChatCall(
        workspace=workspace,
        chat=chat,
        request_id=request_id,
        model=model,
        request_class=request_class,
        deadline=deadline,
        document=document,
        prompt_tokens=count_tokens(prompt),
        prefixes=select_prefixes(prefix_hashes(prompt)),
        fingerprint=chat_fingerprint(workspace, model, prompt.encode()),
        streamed=streamed,
        resumable=resumable,
        hint_engine=hint_engine,
    )


def parse_document(body: bytes) -> dict:
    """Parse a JSON object; raise Refused."""
    if len(body) > MAX_BODY_BYTES:
        raise refuse(RefusalCause.INPUT_TOO_LARGE)
    try:
        document = json.loads(body.decode("utf-8"))
        # JSON can express lone surrogates, which UTF-8 can't encode.
        json.dumps(document, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as error:
        raise refuse(
            RefusalCause.INPUT_INVALID, "the body is not JSON in UTF-8"
        ) from error
    if not isinstance(document, dict):
        raise refuse(RefusalCause.INPUT_INVALID, "the body is not a JSON object")
    return document


def check_id(name: str, value: str) -> None:
    """Raise Refused for an id that can't be forwarded in a header."""
    if not value or len(value) > MAX_ID_CHARACTERS:
        raise refuse(
            RefusalCause.INPUT_INVALID,
            f"{name}: expected 1 to {MAX_ID_CHARACTERS} characters",
        )
    if not all("!" <= character <= "~" for character in value):
        raise refuse(
            RefusalCause.INPUT_INVALID,
            f"{name}: expected printable ASCII without spaces",
        )


def build_engine_body(
    call: ChatCall, sent_text: str = "", sent_tokens: int = 0
) -> bytes:
    """Return a request body for an engine.

    The engine continues the answer after ``sent_text``, and ``sent_tokens``
    count against the caller's ``max_tokens``.
    """
    document = dict(call.document)
    document["stream"] = True
    if sent_text:
        document["messages"] = _append_sent_text(document["messages"], sent_text)
        limit = document.get("max_tokens")
        if limit is not None:
            document["max_tokens"] = max(1, limit - sent_tokens)
    return json.dumps(document, ensure_ascii=False).encode()


def _append_sent_text(messages: list[dict], sent_text: str) -> list[dict]:
    last = messages[-1]
    if last["role"] != "assistant":
        return [*messages, {"role": "assistant", "content": sent_text}]
    joined = {**last, "content": content_text(last.get("content")) + sent_text}
    return [*messages[:-1], joined]


def _check_messages(messages: object) -> list[dict]:
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise refuse(
            RefusalCause.INPUT_INVALID,
            f"messages: expected a list of 1 to {MAX_MESSAGES}",
        )
    for index, message in enumerate(messages):
        role = message.get("role") if isinstance(message, dict) else None
        if not isinstance(role, str) or role not in ROLES:
            raise refuse(RefusalCause.INPUT_INVALID, f"messages[{index}]: unknown role")
        if not isinstance(message.get("content"), str | list | None):
            raise refuse(
                RefusalCause.INPUT_INVALID,
                f"messages[{index}]: expected content that is a string, a list or null",
            )
    return messages
