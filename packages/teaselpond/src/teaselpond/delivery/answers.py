"""Collect the text of a streamed answer that was sent to a caller."""

import json
import re

from attrs import define, field

COMPACT_BYTES = 16 * 1024

# Matches a string member named "content". Within another JSON string the
# quotes are escaped, so the name can't match there.
_CONTENT = re.compile(rb'"content":\s*"((?:[^"\\]|\\.)*)"')
_FINISH = re.compile(rb'"finish_reason":\s*"([a-z_]+)"')
_USAGE = re.compile(rb'"usage":\s*(\{[^{}]*\})')
_TOOL_CALLS = b'"tool_calls"'


@define
class AnswerText:
    """Collect the text of relayed events without parsing each event.

    Raw events are buffered up to COMPACT_BYTES and then searched at once;
    only their JSON-escaped text is kept. ``continuable`` is false once the
    answer has tool calls, which another engine can't continue.
    """

    finish_reason: str = ""
    continuable: bool = True
    tokens: int = 0
    _raw: list[bytes] = field(factory=list, init=False)
    _raw_size: int = field(default=0, init=False)
    _escaped: list[bytes] = field(factory=list, init=False)
    _usage: bytes = field(default=b"", init=False)

    def add(self, raw: bytes) -> None:
        """Add one or more complete events."""
        self._raw.append(raw)
        self._raw_size += len(raw)
        if self._raw_size >= COMPACT_BYTES:
            self._compact()

    @property
    def text(self) -> str:
        """Return the text so far, joining surrogate pairs that span events."""
        self._compact()
        return json.loads(b'"' + b"".join(self._escaped) + b'"')

    @property
    def finished(self) -> bool:
        """Return whether an event had a finish reason."""
        self._compact()
        return bool(self.finish_reason)

    @property
    def usage(self) -> dict:
        """Return the usage that the engine reported, or an empty dict."""
        self._compact()
        return json.loads(self._usage) if self._usage else {}

    def _compact(self) -> None:
        if not self._raw:
            return
        raw = b"".join(self._raw)
        self._raw.clear()
        self._raw_size = 0
        found = [part for part in _CONTENT.findall(raw) if part]
        self._escaped.extend(found)
        self.tokens += len(found)
        finish = _FINISH.search(raw)
        if finish is not None:
            self.finish_reason = finish.group(1).decode()
        usage = _USAGE.findall(raw)
        if usage:
            self._usage = usage[-1]
        if _TOOL_CALLS in raw:
            self.continuable = False
