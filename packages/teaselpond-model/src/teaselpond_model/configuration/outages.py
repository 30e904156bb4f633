"""Take zones and hosts out while the table service is away.

The order travels by the daemons' links, and is written down as a version of
its own when the table service is back. It can only take out; it holds on
every daemon that knows of it until an entry of the document settles it.
"""

from typing import Any

from attrs import evolve, frozen

from .document import Document, item_to_value
from .entries import EntryKey, apply_values
from .exceptions import DocumentError
from .proposals import ConflictScope, Edit, StateProposal, values_with_state
from .replica import Replica
from .sections import ServiceState
from .store import Author, Commit, CommitResult, ConfigurationStore

OUTAGE_SECTION = "outages"
WRITTEN = "written"
WITHDRAWN = "withdrawn"
VOID = "void"


@frozen
class Outage:
    """Order a zone or a host out; ``section`` is ``zones`` or ``hosts``."""

    outage_id: str
    section: str
    item_id: str
    who: str
    note: str = ""

    @property
    def key(self) -> EntryKey:
        """Return the key of the entry that settles this order."""
        return EntryKey(OUTAGE_SECTION, self.outage_id)

    def is_resolved(self, replica: Replica) -> bool:
        """Tell whether a version holds what became of this order."""
        return self.key in replica.entries_by_key

    def proposal(self) -> StateProposal:
        """Return the change that writes this order down."""
        return StateProposal(self.section, self.item_id, ServiceState.OUT)


def resolution_value(result: str) -> dict[str, Any]:
    """Return the value of the entry that settles an order."""
    return {"result": result}


def apply_outage(document: Document, outage: Outage) -> Document:
    """Return the document with an order on top; raise DocumentError."""
    key = EntryKey(outage.section, outage.item_id)
    values = {
        EntryKey(outage.section, item_id): item_to_value(item)
        for item_id, item in document.items_by_id(outage.section).items()
    }
    changed = values_with_state(outage.proposal(), values)
    return apply_values(document, {key: changed[key]})


def with_resolutions(edit: Edit, outages: tuple[Outage, ...], result: str) -> Edit:
    """Return the edit that settles some orders as well."""
    settled = {outage.key: resolution_value(result) for outage in outages}
    return evolve(edit, wanted={**edit.wanted, **settled})


async def write_outage(
    store: ConfigurationStore, outage: Outage, replica: Replica, now: float
) -> CommitResult:
    """Write an order down as the next version, once.

    Daemons that do so at the same time find the first one's version by the
    order's id. Raise as ``ConfigurationStore.commit``.
    """
    base = replica.values_by_key()
    try:
        wanted, result = values_with_state(outage.proposal(), base), WRITTEN
    except DocumentError:
        # The zone was removed from the document meanwhile.
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
