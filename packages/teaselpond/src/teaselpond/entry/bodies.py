"""Read request bodies within bounds of size and time."""

import asyncio
import json
from typing import Any

from aiohttp import web

from ..delivery.verdicts import RefusalCause, refuse

BODY_TIMEOUT_SECONDS = 30.0


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """Return the whole body; raise Refused when it is too large or slow."""
    if (request.content_length or 0) > max_bytes:
        raise refuse(RefusalCause.INPUT_TOO_LARGE, "the body is too large")
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise refuse(RefusalCause.INPUT_TOO_LARGE, "the body is too large") from error
    except TimeoutError as error:
        raise refuse(RefusalCause.INPUT_INVALID, "the body came too slowly") from error
    except (web.PayloadAccessError, ConnectionError, ValueError) as error:
        raise refuse(RefusalCause.INPUT_INVALID, "the body was cut") from error


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object that a body holds; raise Refused."""
    try:
        value = json.loads(body.decode())
    except (ValueError, RecursionError) as error:
        raise refuse(
            RefusalCause.INPUT_INVALID, "the body is not JSON in UTF-8"
        ) from error
    if not isinstance(value, dict):
        raise refuse(RefusalCause.INPUT_INVALID, "the body is not a JSON object")
    return value
