"""Define the errors of the daemon."""

from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import (
    TeaselpondError,
    UpstreamBroken,
    UpstreamUnavailable,
)

from .reasons import Reason, Run

__all__ = [
    "CallerGone",
    "Refused",
    "TeaselpondError",
    "UpstreamBroken",
    "UpstreamCrossed",
    "UpstreamRefused",
    "UpstreamSilent",
    "UpstreamStreamMissing",
    "UpstreamUnavailable",
]


class Refused(TeaselpondError):
    """Report a request that gets no answer, and whether it ran.

    ``retry_after`` is in seconds; ``alternatives`` are daemons to ask
    instead. Only ``delivery.verdicts`` makes these errors.
    """

    def __init__(
        self,
        message: str,
        *,
        reason: Reason,
        run: Run,
        status: int,
        retry_after: float | None = None,
        alternatives: tuple[Address, ...] = (),
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.message = message
        self.reason = reason
        self.run = run
        self.status = status
        self.retry_after = retry_after
        self.alternatives = alternatives


class CallerGone(TeaselpondError):
    """Report that the caller's connection ended or takes no more bytes."""


class UpstreamSilent(UpstreamBroken):
    """Report an upstream that sent nothing for the idle timeout."""


class UpstreamCrossed(UpstreamBroken):
    """Report an answer that carries another request's id."""


class UpstreamStreamMissing(UpstreamBroken):
    """Report a stream that the engine no longer keeps."""


class UpstreamRefused(TeaselpondError):
    """Report an upstream's whole answer with an error status.

    ``not_run`` tells whether the upstream vouches that nothing ran.
    """

    def __init__(
        self, status: int, body: bytes, *, not_run: bool, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(f"status {status}", step=step, peer=peer)
        self.status = status
        self.body = body
        self.not_run = not_run
