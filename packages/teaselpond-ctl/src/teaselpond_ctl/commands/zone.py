"""Take availability zones out of service and back in."""

from fire import decorators

from teaselpond_model.configuration import ServiceState

from .base import DEFAULT_WAIT_SECONDS
from .state import StateCommand, StateOptions


class ZoneCommand(StateCommand):
    """Take availability zones out of service and back in."""

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
        """Take a zone out: it gets no new work within seconds.

        ``by_links`` tells the daemons at once, when the table service is
        away; they write the order down when it is back.
        """
        options = StateOptions(note, force, wait_seconds)
        if by_links:
            await self._order_out(zone, options)
        else:
            await self._set(zone, ServiceState.OUT, options)

    @decorators.SetParseFn(str, "zone", "note")
    async def in_(
        self,
        zone: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
    ) -> None:
        """Take a zone back in."""
        options = StateOptions(note, force, wait_seconds)
        await self._set(zone, ServiceState.IN, options)

    async def status(self) -> None:
        """List the zones and what runs in each of them."""
        async with self._open_session() as session:
            replica = await session.store.load()
            answers = [
                a for a in await session.request_all("/ops/status") if a.succeeded
            ]
        engines = [e for answer in answers for e in answer.value.get("engines", ())]
        rows = []
        for zone_id, zone in sorted(replica.document.zones_by_id.items()):
            inside = [e for e in engines if e["zone"] == zone_id]
            rows.append(
                {
                    "zone": zone_id,
                    "region": zone.region,
                    "state": zone.state.value,
                    "engines": len({engine["engine_id"] for engine in inside}),
                    "in_flight": sum(engine["in_flight"] for engine in inside),
                    "daemons": sum(a.value["zone"] == zone_id for a in answers),
                }
            )
        columns = ("zone", "region", "state", "engines", "in_flight", "daemons")
        self._output.print_table(rows, columns)


# "in" is a keyword of the language, and the operators' word.
setattr(ZoneCommand, "in", ZoneCommand.in_)
del ZoneCommand.in_
