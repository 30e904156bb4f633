"""Define the daemon's exceptions."""

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
    "UpstreamInvalid",
    "UpstreamRefused",
    "UpstreamSilent",
    "UpstreamStreamMissing",
    "UpstreamUnavailable",
]


class Refused(TeaselpondError):
    """Report that a request is refused, and whether it may have run.

    ``retry_after`` is in seconds. ``alternatives`` are daemons that the
    caller can try instead. Only ``delivery.verdicts`` creates these errors.
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
    """Report that the caller's connection closed or accepts no more bytes."""


class UpstreamReset(UpstreamUnavailable):
    """Report a new connection that ended before a request was written."""


class UpstreamSilent(UpstreamBroken):
    """Report an upstream that sent nothing within the idle timeout."""


class UpstreamInvalid(UpstreamBroken):
    """Report an upstream that lives and sent what is no valid answer."""


class UpstreamCrossed(UpstreamInvalid):
    """Report an answer that carries another request's id."""


class UpstreamStreamMissing(UpstreamBroken):
    """Report that an engine no longer keeps a stream."""


class UpstreamRefused(TeaselpondError):
    """Report that an upstream answered with an error status.

    ``not_run`` is true if the upstream states that it did not run the
    request.
    """

    def __init__(
        self, status: int, body: bytes, *, not_run: bool, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(f"status {status}", step=step, peer=peer)
        self.status = status
        self.body = body
        self.not_run = not_run
