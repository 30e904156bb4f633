"""Send requests to engines and plain services over HTTP."""

import importlib
from typing import Any

from .connections import Answer, UpstreamClient
from .events import EventBatch

# The gateway runs on small hosts and uses none of these, so their module is
# imported only when one of them is first used.
_LAZY_ENGINE_NAMES = frozenset({"EngineClient", "EngineStream", "StreamHead"})

__all__ = [
    "Answer",
    "EngineClient",
    "EngineStream",
    "EventBatch",
    "StreamHead",
    "UpstreamClient",
]


def __getattr__(name: str) -> Any:
    if name not in _LAZY_ENGINE_NAMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(".engines", __name__), name)
