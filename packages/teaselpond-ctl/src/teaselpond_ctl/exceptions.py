"""Define the errors that end a command."""

from teaselpond_model.exceptions import TeaselpondError


class CommandRefused(TeaselpondError):
    """Report a command that could not be executed."""


class CommandUsage(TeaselpondError):
    """Report an invalid command, flag or setting."""


class DaemonUnreachable(TeaselpondError):
    """Report that no daemon answered a request."""
