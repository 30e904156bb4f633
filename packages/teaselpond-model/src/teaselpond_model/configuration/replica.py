"""Hold a consistent copy of the stored configuration."""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import Factory, evolve, frozen

from ..contracts import TableEntry
from .digests import add_entry_digest, entry_digest, remove_entry_digest
from .document import SECTIONS_BY_NAME, Document
from .entries import ENTRY_PREFIX, HEAD_KEY, EntryKey, apply_values
from .exceptions import ReplicaBroken


@frozen
class Head:
    """Describe the last accepted version of the document.

    ``when`` is a Unix time in seconds, for information only.
    """

    version: int = 0
    apply_id: str = ""
    who: str = ""
    when: float = 0.0
    digests_by_section: Mapping[str, str] = Factory(dict)

    def to_value(self) -> dict[str, Any]:
        """Convert to a JSON value."""
        return {
            "version": self.version,
            "apply_id": self.apply_id,
            "who": self.who,
            "when": self.when,
            "digests": dict(self.digests_by_section),
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Head":
        """Build from a JSON value; raise KeyError when a member is missing."""
        return cls(
            value["version"],
            value["apply_id"],
            value["who"],
            value["when"],
            value["digests"],
        )


@frozen
class Replica:
    """Hold the entries of one accepted version and the resulting document.

    ``table_version`` is the table version of the transaction that accepted
    it. Deleted entries stay as tombstones, for ``changed_after`` to return.
    """

    head: Head = Head()
    table_version: int = 0
    entries_by_key: Mapping[EntryKey, TableEntry] = Factory(dict)
    digests_by_section: Mapping[str, int] = Factory(dict)
    document: Document = Document()

    def values_by_key(self) -> dict[EntryKey, Any]:
        """Return the values of the sections that this program knows."""
        return {
            key: entry.value
            for key, entry in self.entries_by_key.items()
            if entry.value is not None and key.section in SECTIONS_BY_NAME
        }

    def changed_after(self, table_version: int) -> tuple[TableEntry, ...]:
        """Return the head and the entries changed after a table version.

        The result is empty if the replica is not newer than that version.
        """
        if table_version >= self.table_version:
            return ()
        head = TableEntry(HEAD_KEY, self.head.to_value(), self.table_version)
        return (
            head,
            *(
                entry
                for entry in self.entries_by_key.values()
                if entry.version > table_version
            ),
        )

    def with_entries(self, entries: Iterable[TableEntry]) -> "Replica":
        """Return the replica with newer entries applied.

        Return it unchanged if the entries have no head or one that is deleted
        or not newer. Raise ReplicaBroken when the result doesn't match the
        digests of the head.
        """
        entries = tuple(entries)
        head_entry = next((entry for entry in entries if entry.key == HEAD_KEY), None)
        if head_entry is None or head_entry.value is None:
            return self
        if head_entry.version <= self.table_version:
            return self
        changed = self._changed_entries(entries)
        updated = evolve(
            self,
            head=Head.from_value(head_entry.value),
            table_version=head_entry.version,
            entries_by_key={**self.entries_by_key, **changed},
            digests_by_section=self._digests_with(changed),
            document=apply_values(
                self.document, {key: entry.value for key, entry in changed.items()}
            ),
        )
        updated.verify()
        return updated

    def _changed_entries(
        self, entries: Iterable[TableEntry]
    ) -> dict[EntryKey, TableEntry]:
        changed = {}
        for entry in entries:
            if not entry.key.startswith(ENTRY_PREFIX):
                continue
            key = EntryKey.parse(entry.key)
            current = self.entries_by_key.get(key)
            if current is None or entry.version > current.version:
                changed[key] = entry
        return changed

    def _digests_with(self, changed: Mapping[EntryKey, TableEntry]) -> dict[str, int]:
        values = {key: entry.value for key, entry in changed.items()}
        return updated_digests(self.digests_by_section, self.entries_by_key, values)

    def digests(self) -> dict[str, str]:
        """Return the digests of the sections in hexadecimal."""
        return render_digests(self.digests_by_section)

    def verify(self) -> None:
        """Raise ReplicaBroken if the entries don't match the head."""
        expected = dict(self.head.digests_by_section)
        if self.digests() != expected:
            sections = sorted(
                name
                for name in expected.keys() | self.digests().keys()
                if expected.get(name) != self.digests().get(name)
            )
            raise ReplicaBroken(
                f"the entries of version {self.head.version} don't match the "
                f"head's digests of {', '.join(sections)}",
                step="apply a configuration delta",
            )


def render_digests(digests_by_section: Mapping[str, int]) -> dict[str, str]:
    """Return digests in hexadecimal, without empty sections."""
    return {
        section: f"{digest:032x}"
        for section, digest in sorted(digests_by_section.items())
        if digest
    }


def updated_digests(
    digests_by_section: Mapping[str, int],
    entries_by_key: Mapping[EntryKey, TableEntry],
    values: Mapping[EntryKey, Any],
) -> dict[str, int]:
    """Return the sections' digests with values set, or removed if None."""
    digests = dict(digests_by_section)
    for key, value in values.items():
        section_digest = digests.get(key.section, 0)
        current = entries_by_key.get(key)
        if current is not None and current.value is not None:
            old = entry_digest(key.section, key.item_id, current.value)
            section_digest = remove_entry_digest(section_digest, old)
        if value is not None:
            new = entry_digest(key.section, key.item_id, value)
            section_digest = add_entry_digest(section_digest, new)
        digests[key.section] = section_digest
    return digests


def next_head(
    replica: Replica,
    values: Mapping[EntryKey, Any],
    apply_id: str,
    who: str,
    now: float,
) -> Head:
    """Return the head of the next version, which sets or removes values."""
    digests = updated_digests(
        replica.digests_by_section, replica.entries_by_key, values
    )
    version = replica.head.version + 1
    return Head(version, apply_id, who, now, render_digests(digests))
