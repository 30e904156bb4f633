"""Send HTTP requests to the operators' interface of the daemons."""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
from attrs import frozen

from teaselpond_model.contracts import Address
from teaselpond_model.resends import forbid_resend

from .exceptions import DaemonUnreachable


@frozen
class DaemonAnswer:
    """Hold one daemon's answer, or the reason why there is none.

    ``status`` is the HTTP status, or 0 if the daemon couldn't be reached.
    ``problem`` is empty if the request succeeded.
    """

    address: Address
    status: int
    value: Any = None
    problem: str = ""

    @property
    def succeeded(self) -> bool:
        """Return whether the daemon answered with a 2xx status."""
        return 200 <= self.status < 300


class DaemonClient:
    """Send operators' requests to daemons."""

    def __init__(
        self, session: aiohttp.ClientSession, operator_key: str, timeout_seconds: float
    ) -> None:
        self.session = session
        self.headers = (
            {"Authorization": f"Bearer {operator_key}"} if operator_key else {}
        )
        self.timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def request(
        self, address: Address, path: str, *, method: str = "GET", body: Any = None
    ) -> DaemonAnswer:
        """Send a request to one daemon and return its answer or its error."""
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers=self.headers,
                timeout=self.timeout,
                middlewares=(forbid_resend,),
            ) as response:
                return await self._read_answer(address, response)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            problem = f"{type(error).__name__} {error}".strip()
            return DaemonAnswer(address, 0, problem=problem)

    async def _read_answer(
        self, address: Address, response: aiohttp.ClientResponse
    ) -> DaemonAnswer:
        if response.status == 204:
            return DaemonAnswer(address, response.status)
        value = await response.json(content_type=None)
        if response.status < 300:
            return DaemonAnswer(address, response.status, value)
        detail = value.get("detail", "") if isinstance(value, dict) else ""
        problem = f"status {response.status} {detail}".strip()
        return DaemonAnswer(address, response.status, value, problem)

    async def request_all(
        self,
        addresses: Sequence[Address],
        path: str,
        *,
        method: str = "GET",
        body: Any = None,
    ) -> tuple[DaemonAnswer, ...]:
        """Send a request to every daemon concurrently."""
        requests = (self.request(a, path, method=method, body=body) for a in addresses)
        return tuple(await asyncio.gather(*requests))

    async def request_first(self, addresses: Sequence[Address], path: str) -> Any:
        """Return the value of the first successful answer.

        Daemons are tried in the given order. Raise DaemonUnreachable if none
        answers with success.
        """
        problems = []
        for address in addresses:
            answer = await self.request(address, path)
            if answer.succeeded:
                return answer.value
            problems.append(f"{address}: {answer.problem}")
        raise DaemonUnreachable(
            "no daemon answered: " + ("; ".join(problems) or "no daemon is listed"),
            step=path,
        )
