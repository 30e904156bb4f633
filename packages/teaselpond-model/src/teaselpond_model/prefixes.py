"""Compute the hashes by which the engines' caches identify prompt prefixes."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Any

BLOCK_TOKENS = 16
DIGEST_BYTES = 8


def prompt_text(messages: Iterable[Mapping[str, Any]]) -> str:
    """Return a chat's messages as the text that an engine reads."""
    return "".join(
        f"{message.get('role', '')}: {content_text(message.get('content'))}\n"
        for message in messages
    )


def content_text(content: Any) -> str:
    """Return a message's content, a string or a list of parts, as text."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    return "".join(
        part["text"]
        for part in content
        if isinstance(part, Mapping) and isinstance(part.get("text"), str)
    )


def count_tokens(text: str) -> int:
    """Return the number of tokens (words between white space) in a text."""
    return len(text.split())


def prefix_hashes(text: str) -> tuple[str, ...]:
    """Return the chain hash of each complete block of a text, in hexadecimal.

    A block's hash covers the block and the hash of the block before it. A
    trailing partial block is left out.
    """
    tokens = text.split()
    digest = b""
    hashes = []
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        content = digest + block.encode(errors="surrogatepass")
        digest = blake2b(content, digest_size=DIGEST_BYTES).digest()
        hashes.append(digest.hex())
    return tuple(hashes)
