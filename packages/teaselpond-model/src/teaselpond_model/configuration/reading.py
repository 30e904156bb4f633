"""Parse the document from TOML and from JSON values."""

import tomllib
from typing import Any

import attrs
from attrs import NOTHING, frozen

from . import rules
from .document import SECTIONS_BY_NAME, Document, Section
from .exceptions import DocumentError, DocumentInvalid
from .sections import Item

# The top-level TOML key of the version that a file was edited from.
BASE_VERSION_KEY = "version"


@frozen
class ParsedDocument:
    """Hold a parsed document and the version that it was edited from.

    ``base_version`` is None if the file doesn't have the key.
    """

    document: Document
    base_version: int | None = None


class Faults:
    """Collect the faults of one file."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.errors: list[DocumentError] = []

    def add(
        self, check_id: str, message: str, section: str = "", key: str = "", hint=""
    ) -> None:
        """Add one fault."""
        self.errors.append(
            DocumentError(
                message,
                check_id=check_id,
                section=section,
                key=key,
                hint=hint,
                file=self.file,
            )
        )

    def raise_if_any(self) -> None:
        """Raise DocumentInvalid with the collected faults, if any."""
        if self.errors:
            raise DocumentInvalid("the document is not valid", self.errors)


def read_toml(text: str, file: str = "") -> ParsedDocument:
    """Parse a document; raise DocumentInvalid with every fault."""
    faults = Faults(file)
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        faults.add("document.E001", f"not TOML: {error}")
        faults.raise_if_any()
    base_version = _read_base_version(tables.pop(BASE_VERSION_KEY, None), faults)
    _check_known_sections(tables, faults)
    document = Document()
    for section in SECTIONS_BY_NAME.values():
        items = _read_section(section, tables, faults)
        document = document.with_section(section.name, items)
    faults.raise_if_any()
    return ParsedDocument(document, base_version)


def _read_base_version(value: Any, faults: Faults) -> int | None:
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        faults.add(
            "document.E002", "expected a whole number, 0 or more", key=BASE_VERSION_KEY
        )
        return None
    return value


def _check_known_sections(tables: dict[str, Any], faults: Faults) -> None:
    known_names = {section.path[0] for section in SECTIONS_BY_NAME.values()}
    for name in sorted(set(tables) - known_names):
        allowed = ", ".join(sorted(known_names))
        faults.add("document.E003", "unknown section", name, hint=f"allowed: {allowed}")
    capacity = tables.get("capacity", {})
    if isinstance(capacity, dict):
        for name in sorted(set(capacity) - {"pools"}):
            faults.add(
                "document.E003", "unknown key", "capacity", name, "allowed: pools"
            )


def _read_section(
    section: Section, tables: dict[str, Any], faults: Faults
) -> dict[str, Item]:
    table: Any = tables
    for name in section.path:
        table = table.get(name, {}) if isinstance(table, dict) else None
    if not isinstance(table, dict):
        faults.add("document.E004", "expected a table", ".".join(section.path))
        return {}
    if section.name == "policy":
        table = {"policy": table}
    items: dict[str, Item] = {}
    for item_id, value in table.items():
        item = read_item(section, item_id, value, faults)
        if item is not None:
            items[item_id] = item
    return items


def read_item(
    section: Section, item_id: str, value: Any, faults: Faults
) -> Item | None:
    """Parse one item, or add its faults and return None."""
    header = section.header(item_id)
    if not rules.ID_PATTERN.fullmatch(item_id):
        hint = "allowed: lower-case letters, digits, '-' and '.', at most 64"
        faults.add("document.E005", "the id is not allowed", header, hint=hint)
        return None
    if not isinstance(value, dict):
        faults.add("document.E004", "expected a table", header)
        return None
    faults_before = len(faults.errors)
    _check_known_keys(section, header, value, faults)
    values = _read_values(section, header, value, faults)
    if len(faults.errors) > faults_before:
        return None
    return section.item_type(item_id, **values)


def _check_known_keys(
    section: Section, header: str, value: dict[str, Any], faults: Faults
) -> None:
    known_names = [
        attribute.name
        for attribute in attrs.fields(section.item_type)
        if rules.rule_of(attribute) is not None
    ]
    for key in sorted(set(value) - set(known_names)):
        hint = f"allowed: {', '.join(known_names)}"
        faults.add("document.E006", "unknown key", header, key, hint)


def _read_values(
    section: Section, header: str, value: dict[str, Any], faults: Faults
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for attribute in attrs.fields(section.item_type):
        rule = rules.rule_of(attribute)
        if rule is None:
            continue
        if attribute.name not in value:
            if attribute.default is NOTHING:
                hint = f"allowed: {rule.allowed}"
                faults.add(
                    "document.E007", "the key is missing", header, attribute.name, hint
                )
            continue
        try:
            values[attribute.name] = rule.read(value[attribute.name])
        except ValueError:
            message = f"{value[attribute.name]!r} is not allowed"
            hint = f"allowed: {rule.allowed}"
            faults.add("document.E008", message, header, attribute.name, hint)
    return values


def item_from_value(section: Section, item_id: str, value: dict[str, Any]) -> Item:
    """Build an item from its accepted value, possibly of a newer program.

    Unknown keys are ignored. A value that isn't allowed is replaced by the
    rule's safest choice, or else by the key's default. Raise DocumentInvalid
    when a key without a default is missing or its value isn't allowed.
    """
    faults = Faults("")
    values = {}
    for attribute in attrs.fields(section.item_type):
        rule = rules.rule_of(attribute)
        if rule is None or attribute.name not in value:
            continue
        try:
            values[attribute.name] = rule.read(value[attribute.name])
        except ValueError:
            if isinstance(rule, rules.ChoiceRule):
                values[attribute.name] = rule.safest
    try:
        return section.item_type(item_id, **values)
    except TypeError as error:
        faults.add("document.E009", str(error), section.header(item_id))
        faults.raise_if_any()
        raise
