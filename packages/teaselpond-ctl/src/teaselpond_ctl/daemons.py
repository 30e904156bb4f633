"""Ask the daemons over HTTP."""

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
    """Hold one daemon's answer, or why there is none.

    ``status`` is 0 when the daemon couldn't be reached.
    """

    address: Address
    status: int
    value: Any = None
    problem: str = ""

    @property
    def succeeded(self) -> bool:
        """Tell whether the daemon did what it was asked."""
        return 200 <= self.status < 300


class DaemonClient:
    """Send operators' calls to daemons."""

    def __init__(
        self, session: aiohttp.ClientSession, operator_key: str, timeout_seconds: float
    ) -> None:
        self.session = session
        self.headers = (
            {"Authorization": f"Bearer {operator_key}"} if operator_key else {}
        )
        self.timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def ask(
        self, address: Address, path: str, *, method: str = "GET", body: Any = None
    ) -> DaemonAnswer:
        """Send one call to one daemon."""
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers=self.headers,
                timeout=self.timeout,
                middlewares=(forbid_resend,),
            ) as response:
                return await self._read(address, response)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            problem = f"{type(error).__name__} {error}".strip()
            return DaemonAnswer(address, 0, problem=problem)

    async def _read(
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

    async def ask_all(
        self,
        addresses: Sequence[Address],
        path: str,
        *,
        method: str = "GET",
        body: Any = None,
    ) -> tuple[DaemonAnswer, ...]:
        """Send one call to every daemon at once."""
        calls = (self.ask(a, path, method=method, body=body) for a in addresses)
        return tuple(await asyncio.gather(*calls))

    async def ask_any(self, addresses: Sequence[Address], path: str) -> Any:
        """Return the first answer; raise DaemonUnreachable when none comes."""
        problems = []
        for address in addresses:
            answer = await self.ask(address, path)
            if answer.succeeded:
                return answer.value
            problems.append(f"{address}: {answer.problem}")
        raise DaemonUnreachable(
            "no daemon answered: " + ("; ".join(problems) or "none is known"),
            step=path,
        )
