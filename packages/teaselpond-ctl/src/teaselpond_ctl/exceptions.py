"""Define the errors that end a command."""

from teaselpond_model.exceptions import TeaselpondError


class CommandRefused(TeaselpondError):
    """Report that a command wasn't carried out."""


class CommandUsage(TeaselpondError):
    """Report a command that is not complete or not known."""


class DaemonUnreachable(TeaselpondError):
    """Report a daemon that couldn't be asked."""
