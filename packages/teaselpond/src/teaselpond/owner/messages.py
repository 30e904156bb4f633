"""Define the messages about slots that daemons exchange."""

from attrs import frozen

from ..links import message, register
from ..policy import (
    Grant,
    Handover,
    HeldGrants,
    Redirect,
    Refusal,
    Release,
    SlotRequest,
)


@message("slot-ask")
@frozen
class AcquireSlot:
    """Request a slot from the owner of an engine.

    ``remaining_seconds`` replaces the request's deadline, because monotonic
    clocks of two hosts can't be compared.
    """

    request: SlotRequest
    remaining_seconds: float


@message("slot-cancel")
@frozen
class CancelSlot:
    """Cancel a slot request; its caller no longer waits for the answer."""

    request_id: str


register("slot-grant", Grant)
register("slot-redirect", Redirect)
register("slot-refusal", Refusal)
register("slot-release", Release)
register("slot-held", HeldGrants)
register("slot-handover", Handover)
