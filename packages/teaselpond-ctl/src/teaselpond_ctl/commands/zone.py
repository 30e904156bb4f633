"""Take availability zones out of service and back in."""

from fire import decorators

from teaselpond_model.configuration import ServiceState
from teaselpond_model.configuration.proposals import StateProposal

from .base import FOLLOW_LIMIT_SECONDS, Command


class ZoneCommand(Command):
    """Take availability zones out of service and back in."""

    @decorators.SetParseFn(str, "zone", "note")
    async def out(
        self,
        zone: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = FOLLOW_LIMIT_SECONDS,
    ) -> None:
        """Take a zone out: it gets no new work within seconds."""
        await self._set(zone, ServiceState.OUT, note, force, wait_seconds)

    @decorators.SetParseFn(str, "zone", "note")
    async def in_(
        self,
        zone: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = FOLLOW_LIMIT_SECONDS,
    ) -> None:
        """Take a zone back in."""
        await self._set(zone, ServiceState.IN, note, force, wait_seconds)

    async def status(self) -> None:
        """List the zones and what runs in each of them."""
        async with self._session() as session:
            replica = await session.store.load()
            answers = [a for a in await session.ask_all("/ops/status") if a.succeeded]
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
        self._output.table(rows, columns)

    async def _set(
        self,
        zone: str,
        state: ServiceState,
        note: str,
        force: bool,
        wait_seconds: float,
    ) -> None:
        async with self._session() as session:
            await self._commit(
                session,
                StateProposal("zones", zone, state),
                note=note or f"zone {zone} {state.value}",
                force=force,
                wait_seconds=wait_seconds,
            )


# "in" is a keyword of the language, and the operators' word.
setattr(ZoneCommand, "in", ZoneCommand.in_)
del ZoneCommand.in_
