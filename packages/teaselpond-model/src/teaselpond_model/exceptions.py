"""Define the errors that every teaselpond program shares."""


class TeaselpondError(Exception):
    """Carry the step and the peer at which an error arose."""

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(
            part
            for part in (
                f"step={self.step}" if self.step else "",
                f"peer={self.peer}" if self.peer else "",
            )
            if part
        )
        message = super().__str__()
        return f"{message} ({where})" if where else message


class ImproperlyConfigured(TeaselpondError):
    """Report a setting or a document entry that cannot be used."""


class StoreUnavailable(TeaselpondError):
    """Report that the platform refused or could not be reached.

    Nothing was written.
    """


class StoreOutcomeUnknown(StoreUnavailable):
    """Report that a write was sent and its answer was lost."""


class TransactionConflict(TeaselpondError):
    """Report that a compare-and-set check of a transaction did not hold."""

    def __init__(self, keys: tuple[str, ...], *, step: str = "", peer: str = ""):
        super().__init__(
            f"changed by someone else: {', '.join(keys)}", step=step, peer=peer
        )
        self.keys = keys


class UpstreamUnavailable(TeaselpondError):
    """Report that an upstream could not be reached; nothing was sent."""


class UpstreamBroken(TeaselpondError):
    """Report an upstream's answer that is cut, crossed or malformed."""


class LeaseLost(TeaselpondError):
    """Report that a lease lapsed or passed to another holder."""
