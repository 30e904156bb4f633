"""Test the parsing of malformed, hostile and unusual chat requests."""

import json
import time

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpond.delivery.answers import COMPACT_BYTES, AnswerText
from teaselpond.delivery.chats import (
    MAX_BODY_BYTES,
    ChatCall,
    build_engine_body,
    parse_chat,
)
from teaselpond.exceptions import Refused
from teaselpond.policy import RequestClass

HELLO = [{"role": "user", "content": "hello"}]
JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["role", "content", "text", "x"]), inner)
    ),
    max_leaves=8,
)


def parse(body: bytes, **ids: str) -> ChatCall:
    """Parse a body, with default ids."""
    names = {"workspace": "w", "chat": "c", "request_id": "r"} | ids
    return parse_chat(
        body,
        request_class=RequestClass.INTERACTIVE,
        deadline=time.monotonic() + 1,
        **names,
    )


class ParseTests(testtools.TestCase):
    """Check that each body is either parsed or refused as not run."""

    def assert_refused(self, body: bytes, status: int = 400, **ids: str) -> None:
        try:
            parse(body, **ids)
        except Refused as refused:
            self.assertEqual((status, "not-run"), (refused.status, refused.run.value))
        else:
            self.fail(f"expected a refusal, but the body was parsed: {body[:80]!r}")

    def test_refused_bodies(self) -> None:
        """Refuse bodies that no engine could run."""
        good = {"model": "m", "messages": HELLO}
        for body in (
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            b'{"model": "m", "messages": [{"role": "user", "content": "\\ud800"}]}',
            b"[" * 100_000,
            json.dumps({"messages": HELLO}).encode(),
            *(
                json.dumps(good | change).encode()
                for change in (
                    {"model": ""},
                    {"model": 3},
                    {"n": 2},
                    {"stream": "yes"},
                    {"max_tokens": 0},
                    {"max_tokens": True},
                    {"messages": []},
                    {"messages": "hello"},
                    {"messages": [{"role": "root", "content": ""}]},
                    {"messages": [{"role": ["user"], "content": ""}]},
                    {"messages": [{"role": "user", "content": 3}]},
                )
            ),
        ):
            self.assert_refused(body)
        self.assert_refused(b" " * (MAX_BODY_BYTES + 1), 413)

    def test_refused_ids(self) -> None:
        """Refuse ids that can't be forwarded in a header."""
        body = json.dumps({"model": "m", "messages": HELLO}).encode()
        for name in ("workspace", "chat", "request_id"):
            for value in ("", "a b", "a\r\nX: 1", "\u00e4", "x" * 129):
                self.assert_refused(body, **{name: value})

    @settings(derandomize=True, max_examples=300)
    @given(JSON)
    def test_any_json(self, messages) -> None:
        """Parse or refuse any JSON without an unexpected error."""
        body = json.dumps({"model": "m", "messages": messages}).encode()
        try:
            call = parse(body)
        except Refused as refused:
            self.assertEqual("not-run", refused.run.value)
            return
        json.loads(build_engine_body(call, "sent", 1))

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=100))
    def test_any_bytes(self, body: bytes) -> None:
        """Refuse any bytes without an unexpected error."""
        self.assert_refused(body)

    def test_sent_text_is_appended_to_a_partial_answer(self) -> None:
        """Extend a partial answer in the caller's own request."""
        partial = {"role": "assistant", "content": "so"}
        call = parse(json.dumps({"model": "m", "messages": [*HELLO, partial]}).encode())
        messages = json.loads(build_engine_body(call, " far"))["messages"]
        self.assertEqual([*HELLO, partial | {"content": "so far"}], messages)


class AnswerTextTests(testtools.TestCase):
    """Check that text is found in events without parsing them."""

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.text(max_size=20)), st.booleans())
    def test_any_text(self, parts: list[str], ascii_only: bool) -> None:
        """Find the same text as a JSON parser does, for any events."""
        text = AnswerText()
        for part in parts:
            chunk = {"choices": [{"index": 0, "delta": {"content": part}}]}
            data = json.dumps(chunk, ensure_ascii=ascii_only)
            encoded = data.encode("utf-8", "surrogatepass")
            text.add(b"id: 1\ndata: " + encoded + b"\n\n")
        self.assertEqual("".join(parts), text.text)

    def test_split_surrogates_and_compaction(self) -> None:
        """Join a surrogate pair that was split between two events."""
        text = AnswerText()
        filler = b'{"content": "' + b"x" * COMPACT_BYTES + b'"}\n\n'
        for raw in (
            b'{"content": "\\ud83d"}\n\n',
            b'{"content": "\\ude00"}\n\n',
            filler,
        ):
            text.add(raw)
        self.assertEqual("\U0001f600" + "x" * COMPACT_BYTES, text.text)

    def test_finish_usage_and_tool_calls(self) -> None:
        """Detect the finish reason, the usage and tool calls."""
        text = AnswerText()
        text.add(b'{"delta": {"tool_calls": []}, "finish_reason": null}\n\n')
        self.assertEqual((False, False), (text.finished, text.continuable))
        text.add(b'{"finish_reason": "stop"}, "usage": {"total_tokens": 3}\n\n')
        self.assertEqual((True, {"total_tokens": 3}), (text.finished, text.usage))
