"""Decode the list of an engine's cached prompt parts."""

import json

from ..gateway.calls import PromptPart
from ..gateway.exceptions import MalformedEntry

CACHE_PATH = "/v1/kv-list"


def decode_cache(content: bytes) -> list[PromptPart]:
    """Return an engine's cached prompt parts; raise MalformedEntry."""
    try:
        # An entry is an empty string, the part's id, its tokens and the model.
        return [
            PromptPart(str(part_id), int(tokens))
            for _, part_id, tokens, _ in json.loads(content)["held"]
        ]
    except (ValueError, LookupError, TypeError) as error:
        raise MalformedEntry(repr(error), step="cache") from error
