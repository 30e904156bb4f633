"""Define the errors of the gateway."""

from ..exceptions import TeaselpondError


class HistoryLost(TeaselpondError):
    """Report that the store no longer keeps the changes asked for."""


class MalformedEntry(TeaselpondError):
    """Report an entry of the store that cannot be read."""


class MalformedRequest(TeaselpondError):
    """Report a caller's request that cannot be read."""


class StreamCut(TeaselpondError):
    """Report an answer that has begun and cannot be completed."""
