"""Give the policy's messages their names on the links."""

from ..policy.messages import (
    Grant,
    Handover,
    HeldGrants,
    Queued,
    Redirect,
    Refusal,
    Release,
    SlotRequest,
)
from .messages import register

GRANT_MESSAGES_BY_NAME = {
    "ask": SlotRequest,
    "grant": Grant,
    "redirect": Redirect,
    "queued": Queued,
    "refusal": Refusal,
    "release": Release,
    "handover": Handover,
    "held": HeldGrants,
}


def register_grants() -> None:
    """Let links carry the policy's messages."""
    for name, message_class in GRANT_MESSAGES_BY_NAME.items():
        register(name, message_class)


register_grants()
