"""Convert documents to and from entries of the table service."""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import evolve, frozen

from .digests import canonical_json
from .document import SECTIONS_BY_NAME, Document, item_to_value
from .reading import item_from_value

CONFIGURATION_PREFIX = "config/"
HEAD_KEY = "config/head"
ENTRY_PREFIX = "config/entry/"
HISTORY_PREFIX = "config-history/"


@frozen
class EntryKey:
    """Identify one item of the document by its section and its id."""

    section: str
    item_id: str

    def __str__(self) -> str:
        return f"{ENTRY_PREFIX}{self.section}/{self.item_id}"

    @classmethod
    def parse(cls, key: str) -> "EntryKey":
        """Parse a table key; raise ValueError when it is not an entry's."""
        section, separator, item_id = key.removeprefix(ENTRY_PREFIX).partition("/")
        if not key.startswith(ENTRY_PREFIX) or not separator or not item_id:
            raise ValueError(
                f"expected an entry's key, {ENTRY_PREFIX}SECTION/ID, got {key!r}"
            )
        return cls(section, item_id)


@frozen
class Change:
    """Hold an entry's value before and after a change; None means absent."""

    key: EntryKey
    before: Any
    after: Any

    def reversed(self) -> "Change":
        """Return the change that undoes this one."""
        return evolve(self, before=self.after, after=self.before)


def values_by_key(document: Document) -> dict[EntryKey, Any]:
    """Return the JSON value of each item of a document."""
    return {
        EntryKey(section, item_id): item_to_value(item)
        for section, item_id, item in document.items()
    }


def document_from_values(values: Mapping[EntryKey, Any]) -> Document:
    """Build a document from accepted values.

    Sections that this program doesn't know, such as those of a newer version,
    are ignored.
    """
    return apply_values(Document(), values)


def apply_values(document: Document, values: Mapping[EntryKey, Any]) -> Document:
    """Return the document with some items set, or removed if None."""
    for name, section in SECTIONS_BY_NAME.items():
        changed = {key: value for key, value in values.items() if key.section == name}
        if not changed:
            continue
        items = dict(document.items_by_id(name))
        for key, value in changed.items():
            items.pop(key.item_id, None)
            if value is not None:
                items[key.item_id] = item_from_value(section, key.item_id, value)
        document = document.with_section(name, items)
    return document


def changes_between(
    before: Mapping[EntryKey, Any], after: Mapping[EntryKey, Any]
) -> tuple[Change, ...]:
    """Return the changes between two sets of values, by section and id."""
    section_order = {section: number for number, section in enumerate(SECTIONS_BY_NAME)}
    keys = sorted(
        before.keys() | after.keys(),
        key=lambda key: (
            section_order.get(key.section, len(section_order)),
            key.item_id,
        ),
    )
    return tuple(
        Change(key, before.get(key), after.get(key))
        for key in keys
        if before.get(key) != after.get(key)
    )


def render_changes(changes: Iterable[Change]) -> str:
    """Return changes as a human-readable diff."""
    lines = []
    for change in changes:
        lines.append(f"[{_header(change.key)}]")
        lines.extend(_render_values(change.before or {}, change.after or {}))
    return "\n".join(lines)


def _header(key: EntryKey) -> str:
    section = SECTIONS_BY_NAME.get(key.section)
    return section.header(key.item_id) if section else f"{key.section}.{key.item_id}"


def _render_values(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[str]:
    lines = []
    for name in sorted(before.keys() | after.keys()):
        if before.get(name) == after.get(name):
            continue
        if name in before:
            lines.append(f"- {name} = {canonical_json(before[name])}")
        if name in after:
            lines.append(f"+ {name} = {canonical_json(after[name])}")
    return lines
