"""Define the exceptions of the gateway."""

from ..exceptions import TeaselpondError


class HistoryLost(TeaselpondError):
    """Report that the store no longer has the requested changes."""


class MalformedEntry(TeaselpondError):
    """Report an entry of the store that cannot be decoded."""


class MalformedRequest(TeaselpondError):
    """Report a caller's request that cannot be decoded."""


class StreamCut(TeaselpondError):
    """Report a stream that was partly sent and cannot be completed."""
