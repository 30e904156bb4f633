"""Read request bodies within limits of size and time."""

import asyncio
import json
from typing import Any

from aiohttp import web

from ..delivery.verdicts import RefusalCause, refuse

BODY_TIMEOUT_SECONDS = 30.0


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """Return the whole body.

    Raise Refused if it is too large, arrives too slowly or is cut off.
    """
    if (request.content_length or 0) > max_bytes:
        raise refuse(
            RefusalCause.INPUT_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
        )
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise refuse(
            RefusalCause.INPUT_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
        ) from error
    except TimeoutError as error:
        raise refuse(
            RefusalCause.INPUT_INVALID,
            f"the body did not arrive within {BODY_TIMEOUT_SECONDS:.0f} seconds",
        ) from error
    except (web.PayloadAccessError, ConnectionError, ValueError) as error:
        raise refuse(
            RefusalCause.INPUT_INVALID, "the body could not be read to its end"
        ) from error


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
