"""Call a fleet as a client does: locate daemons, connect and retry."""

import asyncio
import json
from typing import Any

import aiohttp
from attrs import define, field, frozen

from teaselpond_model.exceptions import TeaselpondError

ATTEMPTS = 8
RETRY_SECONDS = 0.3
CALL_TIMEOUT_SECONDS = 40.0
END_OF_STREAM = "[DONE]"


class CallFailed(TeaselpondError):
    """Report a call that no daemon answered."""


@frozen
class Answer:
    """Hold a complete answer and the daemon that sent its end."""

    text: str
    status: int
    headers: dict[str, str]
    address: str


@define
class StreamState:
    """Hold the received part of a stream, to resume it on another daemon."""

    parts: list[str] = field(factory=list)
    last_event_id: str = ""
    is_complete: bool = False


class Caller:
    """Send requests on behalf of one workspace."""

    def __init__(
        self, session: aiohttp.ClientSession, addresses: tuple[str, ...], workspace: str
    ) -> None:
        self.session = session
        self.addresses = addresses
        self.workspace = workspace
        self.affinity_by_chat: dict[str, str] = {}

    async def locate(self, chat: str = "") -> dict[str, Any]:
        """Return the addresses for a chat from the first daemon that answers.

        Raise CallFailed if no daemon answers.
        """
        parameters = {"workspace": self.workspace, "chat": chat}
        for address in self.addresses:
            try:
                async with self.session.get(
                    f"http://{address}/v1/locate", params=parameters
                ) as response:
                    if response.status == 200:
                        return await response.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
        raise CallFailed("no daemon answered the locate request", step="locate")

    async def chat(
        self, chat: str, messages: list[dict[str, str]], **body: Any
    ) -> Answer:
        """Stream one turn of a chat, resuming it on another daemon if broken.

        Raise CallFailed if the answer is still incomplete after all attempts.
        """
        state = StreamState()
        request = {"model": "fitting", "messages": messages, "stream": True, **body}
        headers = {"X-Chat": chat, "X-Resumable": "true"}
        if chat in self.affinity_by_chat:
            headers["X-Affinity"] = self.affinity_by_chat[chat]
        error: Exception | None = None
        for _attempt in range(ATTEMPTS):
            for address in await self._locate_addresses(chat):
                if state.last_event_id:
                    headers["Last-Event-ID"] = state.last_event_id
                try:
                    answer = await self._receive_stream(
                        address, request, headers, state
                    )
                except (aiohttp.ClientError, TimeoutError, CallFailed) as caught:
                    error = caught
                    continue
                if answer is not None:
                    self.affinity_by_chat[chat] = answer.headers.get("X-Affinity", "")
                    return answer
            await asyncio.sleep(RETRY_SECONDS)
        raise CallFailed(f"no complete answer for chat {chat}: {error}", step="chat")

    async def _receive_stream(
        self, address: str, request: dict, headers: dict, state: StreamState
    ) -> Answer | None:
        async with self.session.post(
            f"http://{address}/v1/chat/completions",
            json=request,
            headers={"X-Workspace": self.workspace, **headers},
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
        ) as response:
            if response.status != 200:
                raise CallFailed(await response.text(), step="chat", peer=address)
            async for line in response.content:
                self._read_line(line.decode().rstrip("\n"), state)
            if not state.is_complete:
                return None
            return Answer(
                "".join(state.parts), response.status, dict(response.headers), address
            )

    def _read_line(self, line: str, state: StreamState) -> None:
        if line.startswith("id:"):
            state.last_event_id = line[3:].strip()
        if not line.startswith("data:"):
            return
        data = line[5:].strip()
        if data == END_OF_STREAM:
            state.is_complete = True
            return
        for choice in json.loads(data).get("choices", ()):
            state.parts.append(choice.get("delta", {}).get("content") or "")

    async def call_service(
        self, service: str, path: str, body: dict, key: str = ""
    ) -> Answer:
        """Call a service through the first reachable daemon."""
        headers = {"X-Workspace": self.workspace}
        if key:
            headers["Idempotency-Key"] = key
        return await self._call(
            "POST", f"/v1/services/{service}/{path}", headers, json=body
        )

    async def submit_job(self, body: dict, key: str) -> Answer:
        """Submit a job through the first reachable daemon."""
        headers = {"X-Workspace": self.workspace, "Idempotency-Key": key}
        return await self._call("POST", "/v1/jobs", headers, json=body)

    async def get_job(self, job_id: str) -> Answer:
        """Return the answer with a job's state."""
        return await self._call(
            "GET", f"/v1/jobs/{job_id}", {"X-Workspace": self.workspace}
        )

    async def _call(
        self, method: str, path: str, headers: dict, **arguments: Any
    ) -> Answer:
        error: Exception | None = None
        for address in await self._locate_addresses(""):
            try:
                async with self.session.request(
                    method,
                    f"http://{address}{path}",
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
                    **arguments,
                ) as response:
                    text = await response.text()
                    return Answer(
                        text, response.status, dict(response.headers), address
                    )
            except (aiohttp.ClientError, TimeoutError) as caught:
                error = caught
        raise CallFailed(f"no daemon answered {method} {path}: {error}", step="call")

    async def _locate_addresses(self, chat: str) -> tuple[str, ...]:
        located = await self.locate(chat)
        return tuple(located["addresses"])
