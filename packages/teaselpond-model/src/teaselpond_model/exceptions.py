"""Define the errors that every teaselpond program shares."""


class TeaselpondError(Exception):
    """Report an error with the step that failed and the peer it called."""

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = " ".join(
            part
            for part in (
                f"step={self.step}" if self.step else "",
                f"peer={self.peer}" if self.peer else "",
            )
            if part
        )
        message = super().__str__()
        return f"{message} ({context})" if context else message


class ImproperlyConfigured(TeaselpondError):
    """Report a setting or a document entry that is missing or invalid."""


class StoreUnavailable(TeaselpondError):
    """Report that the platform refused a call or could not be reached.

    A write that raises this error itself, not a subclass, was not applied.
    """


class StoreOutcomeUnknown(StoreUnavailable):
    """Report that a write was sent, but its answer is missing or unusable.

    The write may or may not have been applied.
    """


class TransactionConflict(TeaselpondError):
    """Report that a compare-and-set check of a transaction failed."""

    def __init__(self, keys: tuple[str, ...], *, step: str = "", peer: str = ""):
        super().__init__(
            f"keys changed since they were read: {', '.join(keys)}",
            step=step,
            peer=peer,
        )
        self.keys = keys


class UpstreamUnavailable(TeaselpondError):
    """Report that an upstream could not be reached; nothing was sent."""


class UpstreamBroken(TeaselpondError):
    """Report a truncated, mismatched or malformed answer of an upstream."""


class LeaseLost(TeaselpondError):
    """Report that a lease expired or passed to another holder."""
