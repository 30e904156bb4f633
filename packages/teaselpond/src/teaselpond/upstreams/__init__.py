"""Talk to engines and plain services."""

from .connections import Answer, UpstreamClient
from .engines import EngineClient, EngineStream, StreamHead
from .events import EventBatch

__all__ = [
    "Answer",
    "EngineClient",
    "EngineStream",
    "EventBatch",
    "StreamHead",
    "UpstreamClient",
]
