"""Call a fleet as a caller would: locate, connect, retry elsewhere."""

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
    """Hold a whole answer and what its headers told."""

    text: str
    status: int
    headers: dict[str, str]
    address: str


@define
class StreamState:
    """Hold what a caller has of a stream, for resuming it elsewhere."""

    parts: list[str] = field(factory=list)
    last_event_id: str = ""
    whole: bool = False


class Caller:
    """Speak for one workspace."""

    def __init__(
        self, session: aiohttp.ClientSession, addresses: tuple[str, ...], workspace: str
    ) -> None:
        self.session = session
        self.addresses = addresses
        self.workspace = workspace
        self.affinity_by_chat: dict[str, str] = {}

    async def locate(self, chat: str = "") -> dict[str, Any]:
        """Ask any daemon which addresses to use."""
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
        raise CallFailed("no daemon answered", step="locate")

    async def chat(
        self, chat: str, messages: list[dict[str, str]], **body: Any
    ) -> Answer:
        """Hold one streamed turn, resuming on another daemon when cut."""
        state = StreamState()
        request = {"model": "fitting", "messages": messages, "stream": True, **body}
        headers = {"X-Chat": chat, "X-Resumable": "true"}
        if chat in self.affinity_by_chat:
            headers["X-Affinity"] = self.affinity_by_chat[chat]
        error: Exception | None = None
        for _attempt in range(ATTEMPTS):
            for address in await self._addresses(chat):
                if state.last_event_id:
                    headers["Last-Event-ID"] = state.last_event_id
                try:
                    answer = await self._stream(address, request, headers, state)
                except (aiohttp.ClientError, TimeoutError, CallFailed) as caught:
                    error = caught
                    continue
                if answer is not None:
                    self.affinity_by_chat[chat] = answer.headers.get("X-Affinity", "")
                    return answer
            await asyncio.sleep(RETRY_SECONDS)
        raise CallFailed(f"chat {chat} has no whole answer: {error}", step="chat")

    async def _stream(
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
            if not state.whole:
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
            state.whole = True
            return
        for choice in json.loads(data).get("choices", ()):
            state.parts.append(choice.get("delta", {}).get("content") or "")

    async def service(
        self, service: str, path: str, body: dict, key: str = ""
    ) -> Answer:
        """Call a plain service on the first daemon that can be reached."""
        headers = {"X-Workspace": self.workspace}
        if key:
            headers["Idempotency-Key"] = key
        return await self._call(
            "POST", f"/v1/services/{service}/{path}", headers, json=body
        )

    async def submit_job(self, body: dict, key: str) -> Answer:
        """Submit a fitting plan."""
        headers = {"X-Workspace": self.workspace, "Idempotency-Key": key}
        return await self._call("POST", "/v1/jobs", headers, json=body)

    async def job(self, job_id: str) -> Answer:
        """Ask for a fitting plan's state."""
        return await self._call(
            "GET", f"/v1/jobs/{job_id}", {"X-Workspace": self.workspace}
        )

    async def _call(
        self, method: str, path: str, headers: dict, **arguments: Any
    ) -> Answer:
        error: Exception | None = None
        for address in await self._addresses(""):
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
        raise CallFailed(f"{method} {path}: {error}", step="call")

    async def _addresses(self, chat: str) -> tuple[str, ...]:
        located = await self.locate(chat)
        return tuple(located["addresses"])
