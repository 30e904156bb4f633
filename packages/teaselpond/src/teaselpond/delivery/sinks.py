"""Define the sinks that answers are written to."""

import json
import time
from collections.abc import Callable
from typing import Protocol

from attrs import define, field, frozen

from ..upstreams.events import EVENT_END
from .answers import AnswerText
from .chats import ChatCall


@frozen
class AnswerHead:
    """Hold what is known of an answer before its first event is sent."""

    request_id: str
    engine_id: str
    cached_tokens: int = 0
    prompt_tokens: int = 0


class Sink(Protocol):
    """Receive an answer's events; a write waits for a slow caller."""

    async def begin(self, head: AnswerHead) -> None:
        """Receive the head, once and before any event; raise CallerGone."""

    async def write(self, raw: bytes) -> None:
        """Receive one or more complete events; raise CallerGone."""


@define
class BufferedAnswer:
    """Buffer an answer that isn't streamed.

    ``report`` is called with the number of events received so far.
    """

    call: ChatCall
    report: Callable[[int], None] | None = None
    events: int = 0
    head: AnswerHead | None = None
    body: bytes = field(default=b"", repr=False)

    async def begin(self, head: AnswerHead) -> None:
        """Store the head."""
        self.head = head

    async def write(self, raw: bytes) -> None:
        """Count events; the relay collects their text."""
        self.events += raw.count(EVENT_END)
        if self.report is not None:
            self.report(self.events)

    def finish(self, text: AnswerText) -> None:
        """Build the body of the complete answer."""
        message = {"role": "assistant", "content": text.text}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": text.finish_reason or "stop",
        }
        document = {
            "id": f"chatcmpl-{self.call.request_id}",
            "object": "chat.completion",
            "created": int(time.time()),
            "model": self.call.model,
            "choices": [choice],
            "usage": text.usage,
        }
        self.body = json.dumps(document).encode()
