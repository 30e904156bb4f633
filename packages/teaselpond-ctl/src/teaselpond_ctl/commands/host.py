"""Take hosts out of service and back in."""

from fire import decorators

from teaselpond_model.configuration import ServiceState
from teaselpond_model.configuration.proposals import StateProposal

from .base import FOLLOW_LIMIT_SECONDS, Command


class HostCommand(Command):
    """Take hosts out of service and back in."""

    @decorators.SetParseFn(str, "host", "note")
    async def out(
        self,
        host: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = FOLLOW_LIMIT_SECONDS,
    ) -> None:
        """Take an entry host or an upstream host out."""
        await self._set(host, ServiceState.OUT, note, force, wait_seconds)

    @decorators.SetParseFn(str, "host", "note")
    async def in_(
        self,
        host: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = FOLLOW_LIMIT_SECONDS,
    ) -> None:
        """Take a host back in."""
        await self._set(host, ServiceState.IN, note, force, wait_seconds)

    async def _set(
        self,
        host: str,
        state: ServiceState,
        note: str,
        force: bool,
        wait_seconds: float,
    ) -> None:
        async with self._session() as session:
            await self._commit(
                session,
                StateProposal("hosts", host, state),
                note=note or f"host {host} {state.value}",
                force=force,
                wait_seconds=wait_seconds,
            )


# "in" is a keyword of the language, and the operators' word.
setattr(HostCommand, "in", HostCommand.in_)
del HostCommand.in_
