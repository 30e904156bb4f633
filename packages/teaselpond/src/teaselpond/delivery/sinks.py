"""Say where answers go."""

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
    """Hold what is known of an answer when its first events come."""

    request_id: str
    engine_id: str
    cached_tokens: int = 0
    prompt_tokens: int = 0


class Sink(Protocol):
    """Take an answer's events, as fast as the caller reads them."""

    async def begin(self, head: AnswerHead) -> None:
        """Take the head, once, before any event; raise CallerGone."""

    async def write(self, raw: bytes) -> None:
        """Take whole events; raise CallerGone."""


@define
class BufferedAnswer:
    """Gather an answer that isn't streamed."""

    call: ChatCall
    report: Callable[[int], None] | None = None
    events: int = 0
    head: AnswerHead | None = None
    body: bytes = field(default=b"", repr=False)

    async def begin(self, head: AnswerHead) -> None:
        """Keep the head."""
        self.head = head

    async def write(self, raw: bytes) -> None:
        """Count events; their text is gathered by the relay."""
        self.events += raw.count(EVENT_END)
        if self.report is not None:
            self.report(self.events)

    def finish(self, text: AnswerText) -> None:
        """Write the body of the whole answer."""
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
