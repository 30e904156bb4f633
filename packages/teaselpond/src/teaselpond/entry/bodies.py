"""Read request bodies within limits of size, time and memory."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from ..delivery.verdicts import RefusalCause, refuse
from ..exceptions import Refused
from ..inbound.bodies import PIECE_BYTES, BodyRefusal, InboundBody, PacedResponse
from ..timeouts import RunningWaits

BODY_TIMEOUT_SECONDS = 30.0
# Callers that do not go on are ended after half a second.
NO_ROOM_RETRY_SECONDS = 1.0
BODY_KEY: web.RequestKey[InboundBody] = web.RequestKey("inbound_body")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """Return the whole body, which holds memory until the request's end.

    Raise Refused if it is too large, arrives too slowly, is cut off or finds
    no memory.
    """
    request[BODY_KEY] = inbound_body = InboundBody(
        request.protocol.gate, BODY_TIMEOUT_SECONDS
    )
    try:
        body = await inbound_body.read(request, max_bytes, RunningWaits())
    except (ConnectionError, ValueError) as error:
        raise _refuse_body(BodyRefusal.MALFORMED, max_bytes) from error
    if isinstance(body, BodyRefusal):
        raise _refuse_body(body, max_bytes)
    return body


@web.middleware
async def release_bodies(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Release the memory of a request's body when its call has ended."""
    try:
        return await handler(request)
    finally:
        if BODY_KEY in request:
            request[BODY_KEY].release()


async def delay_continue(request: web.Request) -> None:
    """Leave ``100 Continue`` to the reading of the body.

    The body is asked for once the head was checked and there is room for it.
    """
    if request.headers.get("Expect", "").lower() != "100-continue":
        raise web.HTTPExpectationFailed


def make_response(body: bytes, **options: Any) -> web.Response:
    """Return a response; one with a large body counts until it is read."""
    response_class = PacedResponse if len(body) > PIECE_BYTES else web.Response
    return response_class(body=body, **options)


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body; raise Refused if there is none."""
    try:
        value = json.loads(body.decode())
    except (ValueError, RecursionError) as error:
        raise refuse(
            RefusalCause.INPUT_INVALID, "the body is not JSON in UTF-8"
        ) from error
    if not isinstance(value, dict):
        raise refuse(RefusalCause.INPUT_INVALID, "the body is not a JSON object")
    return value


def _refuse_body(refusal: BodyRefusal, max_bytes: int) -> Refused:
    if refusal is BodyRefusal.TOO_LARGE:
        return refuse(
            RefusalCause.INPUT_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
        )
    if refusal is BodyRefusal.BODY_SLOW:
        return refuse(
            RefusalCause.INPUT_SLOW,
            f"the body did not arrive within {BODY_TIMEOUT_SECONDS:.0f} seconds,"
            " or stalled while others waited for memory",
        )
    if refusal is BodyRefusal.NO_ROOM:
        return refuse(RefusalCause.INPUT_NO_ROOM, retry_after=NO_ROOM_RETRY_SECONDS)
    return refuse(RefusalCause.INPUT_INVALID, "the body could not be read to its end")
