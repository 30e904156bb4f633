"""Share what the commands have in common."""

import time
import uuid
from typing import Any

from teaselpond_model.configuration import CapacityInUse, Outage, render_changes
from teaselpond_model.configuration.outages import WITHDRAWN, settle_with
from teaselpond_model.configuration.proposals import Proposal
from teaselpond_model.configuration.replica import Replica
from teaselpond_model.configuration.store import Author, Commit, Committed

from ..output import Output
from ..session import Session
from ..settings import Settings

FOLLOW_LIMIT_SECONDS = 5.0


class Command:
    """Hold the settings and the output of one group of commands."""

    def __init__(self, settings: Settings, output: Output) -> None:
        self._settings = settings
        self._output = output

    def _session(self) -> Session:
        return Session(self._settings, self._output)

    async def _commit(
        self,
        session: Session,
        proposal: Proposal,
        *,
        note: str,
        force: bool,
        wait_seconds: float,
        replica: Replica | None = None,
        withdrawn: tuple[Outage, ...] = (),
    ) -> Committed:
        store = session.store
        replica = replica or await store.load()
        edit = await store.edit(proposal, replica)
        edit = settle_with(edit, withdrawn, WITHDRAWN)
        commit = Commit(
            edit,
            Author(self._settings.author(), note),
            uuid.uuid4().hex,
            time.time(),
            CapacityInUse() if force else await session.in_use(),
            force,
        )
        committed = await store.commit(commit, replica)
        await self._report(session, committed, wait_seconds)
        return committed

    async def _report(
        self, session: Session, committed: Committed, wait_seconds: float
    ) -> None:
        output = self._output
        if not committed.changes:
            output.print_text(
                f"nothing to change; version {committed.version} holds it"
            )
        else:
            output.print_text(render_changes(committed.changes))
            output.print_text(f"accepted as version {committed.version}")
        lacking: list[str] = []
        if wait_seconds:
            lacking = await session.follow(committed.version, wait_seconds)
        for address in lacking:
            output.print_text(f"not in force yet on {address}")
        output.print_json(_summary(committed, lacking))


def _summary(committed: Committed, lacking: list[str]) -> dict[str, Any]:
    return {
        "version": committed.version,
        "changes": [str(change.key) for change in committed.changes],
        "not_in_force_on": lacking,
    }
