"""Translate the call that lists what an engine's cache holds."""

import json

from ..gateway.calls import PromptPart
from ..gateway.exceptions import MalformedEntry

CACHE_PATH = "/v1/kv-list"


def decode_cache(content: bytes) -> list[PromptPart]:
    """Return the prompt parts that an engine holds; raise MalformedEntry."""
    try:
        # An entry is an empty text, the part's id, its tokens and the model.
        return [
            PromptPart(str(part_id), int(tokens))
            for _, part_id, tokens, _ in json.loads(content)["held"]
        ]
    except (ValueError, LookupError, TypeError) as error:
        raise MalformedEntry(repr(error), step="cache") from error
