"""Name the prefixes of a prompt as the engines' caches do."""

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
    """Return a message's content as text, be it whole or in parts."""
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
    """Count a text's tokens."""
    return len(text.split())


def prefix_hashes(text: str) -> tuple[str, ...]:
    """Return the chain hash of each whole block of a text, in hexadecimal."""
    words = text.split()
    digest = b""
    hashes = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(words[start : start + BLOCK_TOKENS])
        content = digest + block.encode(errors="surrogatepass")
        digest = blake2b(content, digest_size=DIGEST_BYTES).digest()
        hashes.append(digest.hex())
    return tuple(hashes)
