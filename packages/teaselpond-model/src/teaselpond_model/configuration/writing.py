"""Convert documents to the tables of a TOML file."""

from typing import Any

from .document import SECTIONS_BY_NAME, Document, item_to_value
from .reading import BASE_VERSION_KEY


def document_to_tables(document: Document, version: int | None = None) -> dict:
    """Return the tables that read back as the document.

    The version is named first, as the base of the next edit.
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
        for step in section.path:
            table = table.setdefault(step, {})
        for item_id, item in items:
            table[item_id] = item_to_value(item)
    return tables
