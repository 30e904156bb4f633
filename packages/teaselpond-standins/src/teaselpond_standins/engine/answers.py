"""Make up answers that a test can foretell from the prompt."""

import re
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

from teaselpond_model.prefixes import content_text, prompt_text

DEFAULT_WORDS = 24
WORD_BYTES = 4
# A prompt asks for a length by a word such as ``words:120``.
_LENGTH = re.compile(r"\bwords:(\d+)\b")
_POISON = re.compile(r"\bpoison-\w+")
_TOKEN = re.compile(r"\s*\S+|\s+$")

Messages = Sequence[Mapping[str, Any]]


def expected_answer(messages: Messages, max_tokens: int | None = None) -> str:
    """Return the whole answer to a prompt, from its first word."""
    question, _ = split_partial_answer(messages)
    text = prompt_text(question)
    lengths = _LENGTH.findall(text)
    count = int(lengths[-1]) if lengths else DEFAULT_WORDS
    if max_tokens is not None:
        count = min(count, max_tokens)
    seed = text.encode(errors="surrogatepass")
    base = blake2b(seed, digest_size=16).digest()
    return " ".join(_word(base, index) for index in range(count))


def remaining_tokens(messages: Messages) -> list[str]:
    """Return what follows a partial answer, cut into tokens."""
    _, partial = split_partial_answer(messages)
    return _TOKEN.findall(expected_answer(messages)[len(partial) :])


def split_partial_answer(messages: Messages) -> tuple[Messages, str]:
    """Return the messages asked, and the answer that they already end in."""
    if messages and messages[-1].get("role") == "assistant":
        return messages[:-1], content_text(messages[-1].get("content"))
    return messages, ""


def is_poison(messages: Messages) -> bool:
    """Tell whether a prompt crashes the engine that runs it."""
    return _POISON.search(prompt_text(messages)) is not None


def _word(base: bytes, index: int) -> str:
    content = base + index.to_bytes(4, "big")
    return blake2b(content, digest_size=WORD_BYTES).hexdigest()
