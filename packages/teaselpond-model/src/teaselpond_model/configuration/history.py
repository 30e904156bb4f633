"""Record what each accepted version changed and who changed it."""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import frozen

from .entries import HISTORY_PREFIX, Change, EntryKey

# Commits delete the records of versions older than this many.
HISTORY_VERSIONS = 10_000


@frozen
class HistoryRecord:
    """Describe an accepted version; ``when`` is a Unix time in seconds."""

    version: int
    apply_id: str
    who: str
    when: float
    note: str
    changes: tuple[Change, ...]

    @property
    def sections(self) -> tuple[str, ...]:
        """Return the names of the changed sections, each once."""
        return tuple(dict.fromkeys(change.key.section for change in self.changes))

    def to_value(self) -> dict[str, Any]:
        """Convert to a JSON value."""
        return {
            "version": self.version,
            "apply_id": self.apply_id,
            "who": self.who,
            "when": self.when,
            "note": self.note,
            "changes": [
                [change.key.section, change.key.item_id, change.before, change.after]
                for change in self.changes
            ],
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "HistoryRecord":
        """Build from a JSON value; raise KeyError when a member is missing."""
        return cls(
            value["version"],
            value["apply_id"],
            value["who"],
            value["when"],
            value["note"],
            tuple(
                Change(EntryKey(section, item_id), before, after)
                for section, item_id, before, after in value["changes"]
            ),
        )


def history_key(version: int) -> str:
    """Return the table key of a version's record."""
    return f"{HISTORY_PREFIX}{version:012d}"


def undo(
    values: Mapping[EntryKey, Any], records: Iterable[HistoryRecord]
) -> dict[EntryKey, Any]:
    """Return the values with some records undone, the newest record first."""
    undone = dict(values)
    for record in records:
        for change in record.changes:
            if change.before is None:
                undone.pop(change.key, None)
            else:
                undone[change.key] = change.before
    return undone
