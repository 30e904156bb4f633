"""Store the events of an answer for readers that may resume."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

from attrs import define, field, frozen

DONE = "[DONE]"


@frozen
class StreamEvent:
    """Hold one server-sent event."""

    event_id: int
    data: str

    def encode(self) -> bytes:
        """Return the event encoded for the wire."""
        return f"id: {self.event_id}\ndata: {self.data}\n\n".encode()


@define(eq=False)
class AnswerStream:
    """Collect the events of an answer, which readers follow from any event."""

    stream_id: str
    request_id: str
    model: str
    created: int
    text: str = ""
    finish_reason: str = ""
    ended_at: float | None = None
    _events: list[StreamEvent] = field(factory=list)
    _changed: asyncio.Event = field(factory=asyncio.Event)

    @property
    def is_done(self) -> bool:
        """Return whether the final event has been added."""
        return bool(self._events) and self._events[-1].data == DONE

    def add_token(self, token: str) -> None:
        """Add an event with one more token."""
        delta = {"content": token} if self._events else _first_delta(token)
        self.text += token
        self._add(json.dumps(self._chunk(delta, None)))

    def finish(self, reason: str, usage: dict[str, int], now: float) -> None:
        """Add the final events, with the finish reason and usage."""
        self.finish_reason = reason
        chunk = self._chunk({} if self._events else _first_delta(""), reason)
        self._add(json.dumps(chunk | {"usage": usage}))
        self._add(DONE)
        self.ended_at = now

    def abandon(self, now: float) -> None:
        """End the stream without its final events."""
        self.ended_at = now
        self._notify_readers()

    async def follow(self, after: int) -> AsyncIterator[StreamEvent]:
        """Yield the events after number ``after`` until the stream ends."""
        position = max(after, 0)
        while True:
            while position < len(self._events):
                yield self._events[position]
                position += 1
            if self.ended_at is not None:
                return
            await self._changed.wait()

    def whole_answer(self, usage: dict[str, int]) -> dict[str, Any]:
        """Return the answer as one chat completion object."""
        message = {"role": "assistant", "content": self.text}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": self.finish_reason,
        }
        return self._envelope("chat.completion", choice) | {"usage": usage}

    def _add(self, data: str) -> None:
        self._events.append(StreamEvent(len(self._events) + 1, data))
        self._notify_readers()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _chunk(self, delta: dict[str, str], reason: str | None) -> dict[str, Any]:
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        return self._envelope("chat.completion.chunk", choice)

    def _envelope(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self.stream_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }


def _first_delta(token: str) -> dict[str, str]:
    return {"role": "assistant", "content": token}
