"""Take hosts out of service and back in."""

from fire import decorators

from teaselpond_model.configuration import ServiceState

from .base import DEFAULT_WAIT_SECONDS
from .state import StateCommand, StateOptions


class HostCommand(StateCommand):
    """Take hosts out of service and back in."""

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
        """Take an entry host or an upstream host out.

        ``by_links`` tells the daemons at once, when the table service is
        away; they write the order down when it is back.
        """
        options = StateOptions(note, force, wait_seconds)
        if by_links:
            await self._order_out(host, options)
        else:
            await self._set(host, ServiceState.OUT, options)

    @decorators.SetParseFn(str, "host", "note")
    async def in_(
        self,
        host: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
    ) -> None:
        """Take a host back in."""
        options = StateOptions(note, force, wait_seconds)
        await self._set(host, ServiceState.IN, options)


# "in" is a keyword of the language, and the operators' word.
setattr(HostCommand, "in", HostCommand.in_)
del HostCommand.in_
