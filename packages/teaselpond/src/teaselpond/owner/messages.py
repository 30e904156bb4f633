"""Define what daemons ask each other about slots."""

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
    """Ask an owner for a slot; two hosts' clocks share no zero.

    ``remaining_seconds`` replaces the deadline of the request.
    """

    request: SlotRequest
    remaining_seconds: float


@message("slot-cancel")
@frozen
class CancelSlot:
    """Tell an owner that nobody awaits a request's slot any more."""

    request_id: str


register("slot-grant", Grant)
register("slot-redirect", Redirect)
register("slot-refusal", Refusal)
register("slot-release", Release)
register("slot-held", HeldGrants)
register("slot-handover", Handover)
