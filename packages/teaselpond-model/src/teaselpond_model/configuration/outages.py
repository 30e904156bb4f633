"""Take zones and hosts out of service while the table service is down.

The daemons send such an outage over their links and commit it as a separate
version when the table service is available again. An outage cannot put
anything back into service. Each daemon that received it applies it until the
stored configuration has an entry that resolves it.
"""

from typing import Any

from attrs import evolve, frozen

from .document import Document, item_to_value
from .entries import EntryKey, apply_values
from .exceptions import DocumentError
from .proposals import ConflictScope, Edit, StateProposal, values_with_state
from .replica import Replica
from .sections import AdminState
from .store import Author, Commit, CommitResult, ConfigurationStore

OUTAGE_SECTION = "outages"
# How an outage was resolved: committed as a version, withdrawn by an operator,
# or without effect because its zone is no longer declared.
WRITTEN = "written"
WITHDRAWN = "withdrawn"
VOID = "void"


@frozen
class Outage:
    """Order a zone or a host out of service, without the table service.

    ``section`` is ``zones`` or ``hosts``, and ``item_id`` the zone or host.
    """

    outage_id: str
    section: str
    item_id: str
    who: str
    note: str = ""

    @property
    def key(self) -> EntryKey:
        """Return the key of the entry that resolves this outage."""
        return EntryKey(OUTAGE_SECTION, self.outage_id)

    def is_resolved(self, replica: Replica) -> bool:
        """Return whether a replica has the entry that resolves this outage."""
        return self.key in replica.entries_by_key

    def proposal(self) -> StateProposal:
        """Return the proposal that commits this outage."""
        return StateProposal(self.section, self.item_id, AdminState.OUT)


def resolution_value(result: str) -> dict[str, Any]:
    """Return the value of the entry that resolves an outage."""
    return {"result": result}


def apply_outage(document: Document, outage: Outage) -> Document:
    """Return the document with an outage applied; raise DocumentError."""
    key = EntryKey(outage.section, outage.item_id)
    values = {
        EntryKey(outage.section, item_id): item_to_value(item)
        for item_id, item in document.items_by_id(outage.section).items()
    }
    changed = values_with_state(outage.proposal(), values)
    return apply_values(document, {key: changed[key]})


def with_resolutions(edit: Edit, outages: tuple[Outage, ...], result: str) -> Edit:
    """Return the edit with entries added that resolve some outages."""
    resolutions = {outage.key: resolution_value(result) for outage in outages}
    return evolve(edit, wanted={**edit.wanted, **resolutions})


async def commit_outage(
    store: ConfigurationStore, outage: Outage, replica: Replica, now: float
) -> CommitResult:
    """Commit an outage as the next version, once.

    Its id is the commit's apply id, by which daemons that commit it at the
    same time find the first one's version. Raise the errors of
    ``ConfigurationStore.commit``.
    """
    base = replica.values_by_key()
    try:
        wanted, result = values_with_state(outage.proposal(), base), WRITTEN
    except DocumentError:
        # The zone has been removed from the document since the outage began.
        wanted, result = base, VOID
    edit = Edit(replica.head.version, base, wanted, ConflictScope.ENTRY)
    commit = Commit(
        with_resolutions(edit, (outage,), result),
        Author(outage.who, outage.note),
        outage.outage_id,
        now,
        force=True,
    )
    return await store.commit(commit, replica)
