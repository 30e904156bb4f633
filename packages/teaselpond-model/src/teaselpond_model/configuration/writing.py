"""Convert documents to the tables of a TOML file."""

from typing import Any

from .document import SECTIONS_BY_NAME, Document, item_to_value
from .reading import BASE_VERSION_KEY


def document_to_tables(document: Document, version: int | None = None) -> dict:
    """Return the tables whose TOML parses to the document.

    The version, if given, comes first; it is the base version of an edit of
    the file.
    """
    tables: dict[str, Any] = {}
    if version is not None:
        tables[BASE_VERSION_KEY] = version
    for name, section in SECTIONS_BY_NAME.items():
        if name == "policy":
            tables[name] = item_to_value(document.policy)
            continue
        items = sorted(document.items_by_id(name).items())
        if not items:
            continue
        table = tables
        for part in section.path:
            table = table.setdefault(part, {})
        for item_id, item in items:
            table[item_id] = item_to_value(item)
    return tables
