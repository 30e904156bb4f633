"""Send single requests to the gateways of a site, for tests of one fault."""

from collections.abc import Mapping

import aiohttp

from ..platform.operator import HOST, KEY


async def send_call(
    session: aiohttp.ClientSession,
    address: str,
    path: str,
    request_id: str,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    deadline_ms: int = 1000,
) -> int | None:
    """Send a request and read its answer; return the status, None if cut."""
    all_headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "X-Teaselpond-Attempt-Id": request_id,
        "X-Teaselpond-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    method = "GET" if body is None else "POST"
    try:
        async with session.request(
            method, f"http://{address}{path}", data=body, headers=all_headers
        ) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return None
