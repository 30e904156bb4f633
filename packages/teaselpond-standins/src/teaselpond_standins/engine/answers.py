"""Generate answers that a test can compute from the prompt."""

import re
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

from attrs import frozen

from teaselpond_model.prefixes import content_text, count_tokens, prompt_text

DEFAULT_WORDS = 24
WORD_BYTES = 4
# A prompt sets the length of its answer with a word such as "words:120".
_LENGTH = re.compile(r"\bwords:(\d+)\b")
_POISON = re.compile(r"\bpoison-\w+")
_TOKEN = re.compile(r"\s*\S+|\s+$")

Messages = Sequence[Mapping[str, Any]]


@frozen
class Continuation:
    """Hold the tokens that follow a partial answer and the finish reason."""

    tokens: list[str]
    finish_reason: str


def expected_answer(messages: Messages, max_tokens: int | None = None) -> str:
    """Return the complete answer to a prompt.

    If the last message is a partial answer, include its text.
    """
    question, _ = split_partial_answer(messages)
    count = _word_count(question, max_tokens)
    if max_tokens is not None:
        count = min(count, max_tokens)
    return _write_words(question, count)


def continue_answer(messages: Messages, max_tokens: int | None) -> Continuation:
    """Return the tokens that continue the messages.

    If the last message is a partial answer, continue after its text.
    """
    question, partial = split_partial_answer(messages)
    limit = None if max_tokens is None else count_tokens(partial) + max_tokens + 1
    whole = _write_words(question, _word_count(question, limit))
    tokens = _TOKEN.findall(whole[len(partial) :])
    if max_tokens is None or len(tokens) <= max_tokens:
        return Continuation(tokens, "stop")
    return Continuation(tokens[:max_tokens], "length")


def split_partial_answer(messages: Messages) -> tuple[Messages, str]:
    """Split messages into the question and the partial answer at the end.

    The partial answer is empty if the last message is not an assistant's.
    """
    if messages and messages[-1].get("role") == "assistant":
        return messages[:-1], content_text(messages[-1].get("content"))
    return messages, ""


def find_poison(messages: Messages) -> str:
    """Return the poison word of a prompt, or an empty string if it has none.

    An engine that runs a prompt with a poison word crashes.
    """
    found = _POISON.search(prompt_text(messages))
    return found.group() if found else ""


def _word_count(question: Messages, max_tokens: int | None) -> int:
    lengths = _LENGTH.findall(prompt_text(question))
    if lengths:
        return int(lengths[-1])
    # A prompt that sets no length gets an answer of the maximum length.
    return DEFAULT_WORDS if max_tokens is None else max_tokens


def _write_words(question: Messages, count: int) -> str:
    seed = prompt_text(question).encode(errors="surrogatepass")
    base = blake2b(seed, digest_size=16).digest()
    return " ".join(_word(base, index) for index in range(count))


def _word(base: bytes, index: int) -> str:
    content = base + index.to_bytes(4, "big")
    return blake2b(content, digest_size=WORD_BYTES).hexdigest()
