"""Define the errors of the links between daemons."""

from teaselpond_model.exceptions import TeaselpondError


class LinkError(TeaselpondError):
    """Report a fault of a link between two daemons."""


class MalformedFrame(LinkError):
    """Report bytes that cannot be decoded as a frame or value."""


class UnknownMessage(LinkError):
    """Report a message type that this daemon does not know."""

    def __init__(self, name: str, *, call_id: int = 0, peer: str = "") -> None:
        super().__init__(f"unknown message {name[:40]!r}", step="decode", peer=peer)
        self.name = name
        self.call_id = call_id


class FrameTooLarge(LinkError):
    """Report a frame above the size limit."""


class HandshakeFailed(LinkError):
    """Report that the identity or protocol of a peer was not accepted."""


class StaleIncarnation(HandshakeFailed):
    """Report that the peer knows a newer incarnation of this daemon."""

    def __init__(self, known_incarnation: int, *, peer: str = "") -> None:
        super().__init__(
            f"the peer already knows incarnation {known_incarnation}",
            step="handshake",
            peer=peer,
        )
        self.known_incarnation = known_incarnation


class PeerUnavailable(LinkError):
    """Report a peer that could not be reached; nothing was sent."""


class AnswerLost(LinkError):
    """Report that a call was sent but not answered; it may have run."""


class CallFailed(LinkError):
    """Report that the peer answered a call with a failure."""

    def __init__(self, reason: str, detail: str, *, peer: str = "") -> None:
        super().__init__(f"{reason}: {detail}", step="call", peer=peer)
        self.reason = reason
        self.detail = detail
