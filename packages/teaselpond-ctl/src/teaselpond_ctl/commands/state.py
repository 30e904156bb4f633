"""Take zones and hosts out of service and back in."""

import uuid

import attrs
from attrs import frozen

from teaselpond_model.configuration import Outage, ServiceState
from teaselpond_model.configuration.proposals import StateProposal

from ..exceptions import CommandRefused
from .base import Command


@frozen
class StateOptions:
    """Hold the flags that taking out and in have in common."""

    note: str
    force: bool
    wait_seconds: float


class StateCommand(Command):
    """Share what zones and hosts have in common."""

    section = ""

    async def _set(
        self, item_id: str, state: ServiceState, options: StateOptions
    ) -> None:
        """Accept the state as the next version of the document."""
        async with self._open_session() as session:
            withdrawn: tuple[Outage, ...] = ()
            if state is ServiceState.IN:
                withdrawn = await session.pending_outages(self.section, item_id)
            await self._commit(
                session,
                StateProposal(self.section, item_id, state),
                note=options.note or f"{self.section} {item_id} {state.value}",
                force=options.force,
                wait_seconds=options.wait_seconds,
                withdrawn=withdrawn,
            )

    async def _order_out(self, item_id: str, options: StateOptions) -> None:
        """Tell every daemon; raise CommandRefused when none takes it."""
        author = self._settings.author()
        outage = Outage(uuid.uuid4().hex, self.section, item_id, author, options.note)
        body = {**attrs.asdict(outage), "force": options.force}
        async with self._open_session() as session:
            answers = await session.request_all(
                "/ops/outages", method="POST", body=body
            )
        done = [answer for answer in answers if answer.succeeded]
        for answer in answers:
            if not answer.succeeded:
                self._output.print_text(f"{answer.address}: {answer.problem}")
        if not done:
            raise CommandRefused("no daemon took the order", step="order out")
        self._output.print_text(
            f"taken by {len(done)} of {len(answers)} daemons, which tell the others; "
            f"they write it down as {outage.outage_id} when the table service is back"
        )
        self._output.print_json({"taken_by": len(done), "outage_id": outage.outage_id})
