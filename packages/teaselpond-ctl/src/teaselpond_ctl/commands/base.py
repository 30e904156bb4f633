"""Define the base class of the commands."""

import time
import uuid
from typing import Any

from teaselpond_model.configuration import CapacityInUse, Outage, render_changes
from teaselpond_model.configuration.outages import WITHDRAWN, with_resolutions
from teaselpond_model.configuration.proposals import Proposal
from teaselpond_model.configuration.replica import Replica
from teaselpond_model.configuration.store import Author, Commit, CommitResult

from ..output import Output
from ..session import Session
from ..settings import Settings

DEFAULT_WAIT_SECONDS = 5.0


class Command:
    """Run commands with shared settings and output."""

    def __init__(self, settings: Settings, output: Output) -> None:
        self._settings = settings
        self._output = output

    def _open_session(self) -> Session:
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
    ) -> CommitResult:
        store = session.store
        replica = replica or await store.load()
        edit = await store.edit(proposal, replica)
        edit = with_resolutions(edit, withdrawn, WITHDRAWN)
        commit = Commit(
            edit,
            Author(self._settings.author(), note),
            uuid.uuid4().hex,
            time.time(),
            CapacityInUse() if force else await session.capacity_in_use(),
            force,
        )
        committed = await store.commit(commit, replica)
        await self._report_commit(session, committed, wait_seconds)
        return committed

    async def _report_commit(
        self, session: Session, committed: CommitResult, wait_seconds: float
    ) -> None:
        output = self._output
        if not committed.changes:
            output.print_text(
                f"nothing to change: same content as version {committed.version}"
            )
        else:
            output.print_text(render_changes(committed.changes))
            output.print_text(f"accepted as version {committed.version}")
        pending: list[str] = []
        if wait_seconds:
            pending = await session.wait_until_in_force(committed.version, wait_seconds)
        for address in pending:
            output.print_text(f"not in force yet on {address}")
        output.print_json(_summarize(committed, pending))


def _summarize(committed: CommitResult, pending: list[str]) -> dict[str, Any]:
    return {
        "version": committed.version,
        "changes": [str(change.key) for change in committed.changes],
        "not_in_force_on": pending,
    }
