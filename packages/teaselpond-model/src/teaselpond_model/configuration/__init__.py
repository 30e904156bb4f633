"""Describe, read, check and store the configuration document."""

from .checks import check_document, run_checks
from .dangers import CapacityInUse, check_change, find_dangers
from .document import SECTIONS_BY_NAME, Document, Section, item_to_value
from .entries import (
    CONFIGURATION_PREFIX,
    ENTRY_PREFIX,
    HEAD_KEY,
    HISTORY_PREFIX,
    Change,
    EntryKey,
    apply_values,
    changes_between,
    document_from_values,
    render_changes,
    values_by_key,
)
from .exceptions import (
    ConfigurationConflict,
    DangerousChange,
    DocumentError,
    DocumentInvalid,
    HistoryLost,
)
from .outages import Outage
from .reading import ParsedDocument, read_toml
from .sections import (
    AdminState,
    HostItem,
    Item,
    ModelItem,
    PolicyItem,
    PoolItem,
    ServiceContract,
    ServiceItem,
    WorkspaceItem,
    ZoneItem,
)

__all__ = [
    "CONFIGURATION_PREFIX",
    "ENTRY_PREFIX",
    "HEAD_KEY",
    "HISTORY_PREFIX",
    "SECTIONS_BY_NAME",
    "AdminState",
    "CapacityInUse",
    "Change",
    "ConfigurationConflict",
    "DangerousChange",
    "Document",
    "DocumentError",
    "DocumentInvalid",
    "EntryKey",
    "HistoryLost",
    "HostItem",
    "Item",
    "ModelItem",
    "Outage",
    "ParsedDocument",
    "PolicyItem",
    "PoolItem",
    "Section",
    "ServiceContract",
    "ServiceItem",
    "WorkspaceItem",
    "ZoneItem",
    "apply_values",
    "check_change",
    "check_document",
    "changes_between",
    "document_from_values",
    "find_dangers",
    "item_to_value",
    "read_toml",
    "render_changes",
    "run_checks",
    "values_by_key",
]
