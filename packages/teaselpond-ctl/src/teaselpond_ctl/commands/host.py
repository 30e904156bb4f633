"""Take hosts out of service and put them back."""

from fire import decorators

from teaselpond_model.configuration import AdminState

from .base import DEFAULT_WAIT_SECONDS
from .state import StateCommand, StateOptions


class HostCommand(StateCommand):
    """Take hosts out of service and put them back."""

    section = "hosts"

    @decorators.SetParseFn(str, "host", "note")
    async def out(
        self,
        host: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
        by_links: bool = False,
    ) -> None:
        """Take an entry host or an upstream host out of service.

        ``by_links`` sends the order directly to the daemons, for use while
        the table service is unavailable. They store it once the service
        is back.
        """
        options = StateOptions(note, force, wait_seconds)
        if by_links:
            await self._order_outage(host, options)
        else:
            await self._commit_state(host, AdminState.OUT, options)

    @decorators.SetParseFn(str, "host", "note")
    async def in_(
        self,
        host: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
    ) -> None:
        """Put a host back into service."""
        options = StateOptions(note, force, wait_seconds)
        await self._commit_state(host, AdminState.IN, options)


# The command is named "in", which is a Python keyword.
setattr(HostCommand, "in", HostCommand.in_)
del HostCommand.in_
