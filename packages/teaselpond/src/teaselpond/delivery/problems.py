"""Render refusals as RFC 9457 problem details."""

import json
import math

from attrs import frozen

from ..exceptions import Refused

CONTENT_TYPE = "application/problem+json"
REASON_URL = "urn:teaselpond:reason:"


@frozen
class Problem:
    """Hold the status, headers and body of a refusal's response."""

    status: int
    headers_by_name: dict[str, str]
    body: bytes


def render(refused: Refused, request_id: str = "") -> Problem:
    """Return the response for a refusal.

    Clients of the OpenAI API read the ``error`` member. The peer is left
    out, because callers must not see upstream addresses.
    """
    run = refused.run.value
    body = {
        "type": REASON_URL + refused.reason.value,
        "title": refused.reason.value.replace("-", " "),
        "status": refused.status,
        "reason": refused.reason.value,
        "detail": refused.message,
        "run": run,
        "request_id": request_id,
        "error": {
            "message": f"{refused.message} (run: {run})",
            "type": refused.reason.value,
            "code": run,
            "param": None,
        },
    }
    headers = {"Content-Type": CONTENT_TYPE, "X-Run": run}
    if request_id:
        headers["X-Request-Id"] = request_id
    if refused.retry_after is not None:
        body["retry_after"] = round(refused.retry_after, 3)
        headers["Retry-After"] = str(max(1, math.ceil(refused.retry_after)))
    if refused.alternatives:
        body["alternatives"] = [str(address) for address in refused.alternatives]
    return Problem(refused.status, headers, json.dumps(body).encode())


def render_event(refused: Refused, request_id: str = "") -> bytes:
    """Return a refusal as the last event of a stream that has started."""
    return b"event: error\ndata: " + render(refused, request_id).body + b"\n\n"
