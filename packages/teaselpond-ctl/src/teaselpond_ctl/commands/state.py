"""Take zones and hosts out of service and put them back."""

import uuid

import attrs
from attrs import frozen

from teaselpond_model.configuration import AdminState, Outage
from teaselpond_model.configuration.proposals import StateProposal

from ..exceptions import CommandRefused
from .base import Command


@frozen
class StateOptions:
    """Hold the flags that the ``out`` and ``in`` commands share."""

    note: str
    force: bool
    wait_seconds: float


class StateCommand(Command):
    """Change the service state of the items of one section.

    ``section`` is the section of the configuration document.
    """

    section = ""

    async def _commit_state(
        self, item_id: str, state: AdminState, options: StateOptions
    ) -> None:
        """Commit the state as the next version of the document."""
        async with self._open_session() as session:
            withdrawn: tuple[Outage, ...] = ()
            if state is AdminState.IN:
                withdrawn = await session.pending_outages(self.section, item_id)
            await self._commit(
                session,
                StateProposal(self.section, item_id, state),
                note=options.note or f"{self.section} {item_id} {state.value}",
                force=options.force,
                wait_seconds=options.wait_seconds,
                withdrawn=withdrawn,
            )

    async def _order_outage(self, item_id: str, options: StateOptions) -> None:
        """Send an outage to every daemon, without the table service.

        Raise CommandRefused if no daemon accepts it.
        """
        author = self._settings.author()
        outage = Outage(uuid.uuid4().hex, self.section, item_id, author, options.note)
        body = {**attrs.asdict(outage), "force": options.force}
        async with self._open_session() as session:
            answers = await session.request_all(
                "/ops/outages", method="POST", body=body
            )
        accepted = [answer for answer in answers if answer.succeeded]
        for answer in answers:
            if not answer.succeeded:
                self._output.print_text(f"{answer.address}: {answer.problem}")
        if not accepted:
            raise CommandRefused(
                f"no daemon accepted the order to take {item_id} out", step="order out"
            )
        self._output.print_text(
            f"accepted by {len(accepted)} of {len(answers)} daemons, which inform "
            f"their peers; stored as {outage.outage_id} once the table service is back"
        )
        self._output.print_json(
            {"taken_by": len(accepted), "outage_id": outage.outage_id}
        )
