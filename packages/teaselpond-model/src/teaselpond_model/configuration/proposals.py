"""Define proposed changes and detect conflicts with others' changes."""

import enum
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from .document import Document
from .entries import (
    Change,
    EntryKey,
    changes_between,
    document_from_values,
    render_changes,
    values_by_key,
)
from .exceptions import ConfigurationConflict, DocumentError
from .sections import AdminState


class ConflictScope(enum.Enum):
    """Define the unit at which two operators' changes conflict."""

    SECTION = "section"
    ENTRY = "entry"


@frozen
class DocumentProposal:
    """Propose a complete document that was edited from a base version."""

    document: Document
    base_version: int


@frozen
class StateProposal:
    """Propose to take a zone or a host out of service or back in."""

    section: str
    item_id: str
    state: AdminState


@frozen
class RollbackProposal:
    """Propose the content of an earlier version as a new version."""

    version: int


Proposal = DocumentProposal | StateProposal | RollbackProposal


@frozen
class Edit:
    """Hold the values that an operator started from and the wanted ones.

    ``base`` holds the values of ``base_version``.
    """

    base_version: int
    base: Mapping[EntryKey, Any]
    wanted: Mapping[EntryKey, Any]
    conflict_scope: ConflictScope

    def rebase(
        self, current: Mapping[EntryKey, Any], head_version: int
    ) -> tuple[Change, ...]:
        """Return the changes that apply the edit to the current values.

        Changes that others have made alike are left out. Raise
        ConfigurationConflict when others changed the same sections (or
        entries) differently since the base version.
        """
        ours = tuple(
            change
            for change in changes_between(self.base, self.wanted)
            if current.get(change.key) != change.after
        )
        theirs = changes_between(self.base, current)
        conflicting = self._conflict_units(ours) & self._conflict_units(theirs)
        if conflicting:
            raise self._conflict(conflicting, ours, theirs, head_version)
        return tuple(
            Change(change.key, current.get(change.key), change.after) for change in ours
        )

    def _conflict_units(self, changes: tuple[Change, ...]) -> set[object]:
        if self.conflict_scope is ConflictScope.ENTRY:
            return {change.key for change in changes}
        return {change.key.section for change in changes}

    def _conflict(
        self,
        conflicting: set[object],
        ours: tuple[Change, ...],
        theirs: tuple[Change, ...],
        head_version: int,
    ) -> ConfigurationConflict:
        ours = tuple(c for c in ours if self._conflict_units((c,)) & conflicting)
        theirs = tuple(c for c in theirs if self._conflict_units((c,)) & conflicting)
        sections = tuple(sorted({change.key.section for change in ours}))
        diff = "\n".join(
            (
                "what others changed:",
                render_changes(theirs),
                "what this change wants:",
                render_changes(ours),
            )
        )
        return ConfigurationConflict(sections, diff, self.base_version, head_version)


def values_with_state(
    proposal: StateProposal, values: Mapping[EntryKey, Any]
) -> dict[EntryKey, Any]:
    """Return the values with a zone or host taken out of service or back in.

    Raise DocumentError when the zone is not declared.
    """
    key = EntryKey(proposal.section, proposal.item_id)
    current = values.get(key)
    changed = dict(values)
    if proposal.section == "hosts" and proposal.state is AdminState.IN:
        changed.pop(key, None)
        return changed
    if proposal.section == "zones" and current is None:
        zones = sorted(key.item_id for key in values if key.section == "zones")
        raise DocumentError(
            "the zone is not declared",
            check_id="zones.E002",
            section=f"zones.{proposal.item_id}",
            hint=f"allowed: {', '.join(zones)}",
        )
    changed[key] = {**(current or {}), "state": proposal.state.value}
    return changed


def document_edit(proposal: DocumentProposal, base: Mapping[EntryKey, Any]) -> Edit:
    """Return the edit from the base version's values to a document.

    Items that the document leaves unchanged keep their stored values, which
    may have keys that this program's version doesn't know, or lack some.
    """
    parsed = values_by_key(document_from_values(base))
    wanted = {
        key: base[key] if key in base and parsed.get(key) == value else value
        for key, value in values_by_key(proposal.document).items()
    }
    return Edit(proposal.base_version, base, wanted, ConflictScope.SECTION)
