"""Decode and encode the headers of requests and responses."""

import math
from collections.abc import Iterable

from multidict import CIMultiDict, CIMultiDictProxy

from ..gateway.answers import AnswerHead
from ..gateway.calls import Call, Forwarding, Head, Prompt, PromptPart
from ..gateway.engines import Engine
from ..gateway.exceptions import MalformedRequest

# Identifies one attempt of a caller, who sends a new id with each retry.
REQUEST_ID = "X-Teaselpond-Attempt-Id"
DEADLINE = "X-Teaselpond-Deadline-Ms"
PREFIX_HASH = "X-Teaselpond-Prefix-Hash"
TOKEN_COUNT = "X-Teaselpond-Token-Count"
WORKSPACE = "X-Teaselpond-Tenant"
SIGNATURE = "X-Teaselpond-Server-Seal"
NOT_EXECUTED = "X-Teaselpond-Not-Executed"
EXPECT_ENGINE = "X-Teaselpond-Expect-Instance"
COLD_MILLISECONDS = "X-Teaselpond-Cold-Ms"
# The running requests, the waiting requests and the slots of an upstream. Some
# add a fourth figure for how long work takes: 100 is as long as usual.
LOAD = "X-Teaselpond-Instance-Load"
URGENCY_CLASS = "X-Teaselpond-Urgency-Class"
LAST_EVENT_ID = "Last-Event-Id"
# Set to 1 in all answers of an upstream that is leaving.
LEAVING = "Server-Leaving"
# The address of the upstream to copy cached parts of the prompt from.
COPY_FROM = "Kv-Fetch"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
EVENT_STREAM_TYPE = "text/event-stream"
KEY_SCHEME = "bearer "
MILLISECONDS_PER_SECOND = 1000.0
USUAL_SLOWNESS = 100.0
# More requests than any upstream holds; larger figures are cut to this.
MAX_LOAD = 0xFFFF
LOAD_FIGURES = 3

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set only by the gateway, or not meant for upstreams.
GATEWAY_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        DEADLINE,
        WORKSPACE,
        EXPECT_ENGINE,
        URGENCY_CLASS,
        AUTHORIZATION,
        LAST_EVENT_ID,
        "X-Teaselpond-Expect-Version",
        "X-Teaselpond-Pin-Ms",
        "X-Teaselpond-Retain",
        "X-Teaselpond-Kv-Backup",
        "Kv-From",
        COPY_FROM,
    )
)


def decode_head(
    method: str, target: str, headers: CIMultiDictProxy[str] | CIMultiDict[str]
) -> Head:
    """Decode the head of a caller's request; raise MalformedRequest."""
    request_ids = headers.getall(REQUEST_ID, [])
    if len(request_ids) != 1 or not request_ids[0]:
        raise MalformedRequest(
            f"expected one {REQUEST_ID} header that is not empty,"
            f" got {len(request_ids)} headers"
        )
    if not target.startswith("/"):
        raise MalformedRequest(f"expected a path as request target, got {target!r:.40}")
    return Head(
        request_id=request_ids[0],
        method=method,
        target=target,
        host=headers.get("Host", ""),
        key=_decode_key(headers.get(AUTHORIZATION)),
        deadline_seconds=_decode_deadline(headers.get(DEADLINE)),
        prompt=_decode_prompt(headers.get(PREFIX_HASH), headers.get(TOKEN_COUNT)),
        last_event_id=headers.get(LAST_EVENT_ID),
        headers=_end_to_end_headers(headers, GATEWAY_HEADERS),
    )


def encode_request(
    call: Call,
    engine: Engine,
    remaining_seconds: float,
    forwarding: Forwarding,
) -> CIMultiDict[str]:
    """Encode the headers of a call to an upstream, without the request id."""
    headers = call.head.headers.copy()
    headers[DEADLINE] = str(max(1, int(remaining_seconds * MILLISECONDS_PER_SECOND)))
    headers[EXPECT_ENGINE] = engine.engine_id
    if call.workspace is not None:
        headers[WORKSPACE] = call.workspace.name
    if forwarding.copy_from is not None:
        headers[COPY_FROM] = str(forwarding.copy_from.address)
    if forwarding.last_event_id is not None:
        headers[LAST_EVENT_ID] = forwarding.last_event_id
    if forwarding.urgency_class is not None:
        headers[URGENCY_CLASS] = str(forwarding.urgency_class)
    return headers


def decode_answer(status: int, headers: CIMultiDictProxy[str]) -> AnswerHead:
    """Decode the status and headers of an upstream's response."""
    load_header = headers.get(LOAD)
    load, slowness, is_load_read = _decode_load(load_header)
    return AnswerHead(
        status=status,
        headers=_end_to_end_headers(headers, frozenset()),
        is_signed=SIGNATURE in headers,
        is_encoded=headers.get("Content-Encoding", "identity") != "identity",
        not_run=NOT_EXECUTED in headers or status == 421,
        is_other_engine=status == 421,
        cold_seconds=_milliseconds_to_seconds(headers.get(COLD_MILLISECONDS)),
        load=load,
        slowness=slowness,
        unreadable_load=None if is_load_read else f"{load_header:.40}",
        # An upstream that has taken over an address speaks for itself only.
        is_leaving=headers.get(LEAVING, "").strip() == "1" and status != 421,
        backoff_seconds=(
            _decode_backoff(headers.get(RETRY_AFTER)) if status == 503 else None
        ),
        is_event_stream=_is_event_stream(headers.get("Content-Type", "")),
    )


def strip_signature(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Return a copy of the headers without the upstream's signature."""
    stripped = headers.copy()
    stripped.popall(SIGNATURE, None)
    return stripped


def encode_refusal(request_id: str, retry_after: float | None) -> CIMultiDict[str]:
    """Encode the headers of a response that the gateway itself generates.

    ``retry_after`` is in seconds.
    """
    headers: CIMultiDict[str] = CIMultiDict()
    if request_id:
        headers[REQUEST_ID] = request_id
    if retry_after is not None:
        headers[RETRY_AFTER] = f"{retry_after:.3f}"
    return headers


def _end_to_end_headers(
    headers: CIMultiDictProxy[str] | CIMultiDict[str], dropped: Iterable[str]
) -> CIMultiDict[str]:
    connection_headers = {
        token.strip().lower()
        for value in headers.getall("Connection", [])
        for token in value.split(",")
    }
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in dropped
        and name.lower() not in connection_headers
    )


def _decode_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip()


def _decode_deadline(value: str | None) -> float | None:
    if value is None:
        return None
    seconds = _milliseconds_to_seconds(value)
    if seconds is None or seconds < 0:
        raise MalformedRequest(
            f"expected non-negative milliseconds in {DEADLINE}, got {value!r:.40}"
        )
    return seconds


def _is_event_stream(content_type: str) -> bool:
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


def _decode_load(value: str | None) -> tuple[int | None, float | None, bool]:
    """Return requests, slowness and whether all figures could be read.

    What can be read is used: a fourth figure that was not expected once hid
    the first three.
    """
    if value is None:
        return None, None, True
    figures = value.split(",")
    try:
        running, waiting, _ = (int(count) for count in figures[:LOAD_FIGURES])
    except ValueError:
        return None, None, False
    load = min(MAX_LOAD, max(0, running) + max(0, waiting))
    if len(figures) == LOAD_FIGURES:
        return load, None, True
    try:
        slowness = float(figures[LOAD_FIGURES]) / USUAL_SLOWNESS
    except ValueError:
        return load, None, False
    if not 0.0 < slowness < math.inf:
        return load, None, False
    return load, slowness, len(figures) == LOAD_FIGURES + 1


def _decode_backoff(value: str | None) -> float | None:
    try:
        return float(value) if value is not None else None
    except ValueError:
        return math.nan


def _milliseconds_to_seconds(value: str | None) -> float | None:
    try:
        return float(value) / MILLISECONDS_PER_SECOND if value is not None else None
    except ValueError:
        return None


def _decode_prompt(prefix: str | None, tokens: str | None) -> Prompt | None:
    if prefix is None or tokens is None:
        return None
    try:
        pairs = [entry.rsplit(":", 1) for entry in prefix.split(",") if entry.strip()]
        parts = tuple(PromptPart(part.strip(), int(count)) for part, count in pairs)
        input_tokens, output_tokens = (int(count) for count in tokens.split(","))
    except ValueError as error:
        raise MalformedRequest(
            f"malformed {PREFIX_HASH} {prefix!r:.40} or {TOKEN_COUNT} {tokens!r:.40}"
        ) from error
    return Prompt(parts, input_tokens, output_tokens)
