"""Take availability zones out of service and put them back."""

from fire import decorators

from teaselpond_model.configuration import AdminState

from .base import DEFAULT_WAIT_SECONDS
from .state import StateCommand, StateOptions


class ZoneCommand(StateCommand):
    """Take availability zones out of service and put them back."""

    section = "zones"

    @decorators.SetParseFn(str, "zone", "note")
    async def out(
        self,
        zone: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
        by_links: bool = False,
    ) -> None:
        """Take a zone out of service; it gets no new work within seconds.

        ``by_links`` sends the order directly to the daemons, for use while
        the table service is unavailable. They store it once the service
        is back.
        """
        options = StateOptions(note, force, wait_seconds)
        if by_links:
            await self._order_outage(zone, options)
        else:
            await self._commit_state(zone, AdminState.OUT, options)

    @decorators.SetParseFn(str, "zone", "note")
    async def in_(
        self,
        zone: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
    ) -> None:
        """Put a zone back into service."""
        options = StateOptions(note, force, wait_seconds)
        await self._commit_state(zone, AdminState.IN, options)

    async def status(self) -> None:
        """List the zones with their engines, daemons and load."""
        async with self._open_session() as session:
            replica = await session.store.load()
            answers = [
                a for a in await session.request_all("/ops/status") if a.succeeded
            ]
        engines = [e for answer in answers for e in answer.value.get("engines", ())]
        rows = []
        for zone_id, zone in sorted(replica.document.zones_by_id.items()):
            zone_engines = [e for e in engines if e["zone"] == zone_id]
            rows.append(
                {
                    "zone": zone_id,
                    "region": zone.region,
                    "state": zone.state.value,
                    "engines": len({engine["engine_id"] for engine in zone_engines}),
                    "in_flight": sum(engine["in_flight"] for engine in zone_engines),
                    "daemons": sum(a.value["zone"] == zone_id for a in answers),
                }
            )
        columns = ("zone", "region", "state", "engines", "in_flight", "daemons")
        self._output.print_table(rows, columns)


# The command is named "in", which is a Python keyword.
setattr(ZoneCommand, "in", ZoneCommand.in_)
del ZoneCommand.in_
