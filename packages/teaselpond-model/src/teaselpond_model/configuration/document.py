"""Define the configuration document and its sections."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs
from attrs import Factory, evolve, frozen

from .digests import add_entry_digest, entry_digest
from .rules import rule_of
from .sections import (
    AdminState,
    HostItem,
    Item,
    ModelItem,
    PolicyItem,
    PoolItem,
    ServiceItem,
    WorkspaceItem,
    ZoneItem,
)


@frozen
class Section:
    """Describe a section: its item type, TOML path and document attribute.

    ``document_attribute`` names the attribute of Document with its items. It
    is empty for the policy, which is a single item.
    """

    name: str
    item_type: type
    path: tuple[str, ...]
    document_attribute: str

    def header(self, item_id: str) -> str:
        """Return the TOML table header of one item."""
        return ".".join(self.path if self.name == "policy" else (*self.path, item_id))


SECTIONS_BY_NAME: Mapping[str, Section] = {
    section.name: section
    for section in (
        Section("zones", ZoneItem, ("zones",), "zones_by_id"),
        Section("hosts", HostItem, ("hosts",), "hosts_by_id"),
        Section("capacity", PoolItem, ("capacity", "pools"), "pools_by_id"),
        Section("models", ModelItem, ("models",), "models_by_id"),
        Section("workspaces", WorkspaceItem, ("workspaces",), "workspaces_by_id"),
        Section("services", ServiceItem, ("services",), "services_by_id"),
        Section("policy", PolicyItem, ("policy",), ""),
    )
}


@frozen
class Document:
    """Hold every section of the configuration, its items by their ids."""

    zones_by_id: Mapping[str, ZoneItem] = Factory(dict)
    hosts_by_id: Mapping[str, HostItem] = Factory(dict)
    pools_by_id: Mapping[str, PoolItem] = Factory(dict)
    models_by_id: Mapping[str, ModelItem] = Factory(dict)
    workspaces_by_id: Mapping[str, WorkspaceItem] = Factory(dict)
    services_by_id: Mapping[str, ServiceItem] = Factory(dict)
    policy: PolicyItem = PolicyItem()

    def items_by_id(self, section: str) -> Mapping[str, Item]:
        """Return the items of a section by their ids."""
        if section == "policy":
            return {self.policy.policy_id: self.policy}
        return getattr(self, SECTIONS_BY_NAME[section].document_attribute)

    def items(self) -> Iterator[tuple[str, str, Item]]:
        """Yield the section, the id and the item for each item."""
        for section in SECTIONS_BY_NAME:
            for item_id, item in self.items_by_id(section).items():
                yield section, item_id, item

    def with_section(self, section: str, items_by_id: Mapping[str, Item]) -> "Document":
        """Return a document with the items of one section replaced."""
        if section == "policy":
            policy = items_by_id.get("policy", PolicyItem())
            return evolve(self, policy=policy)
        return evolve(
            self, **{SECTIONS_BY_NAME[section].document_attribute: items_by_id}
        )

    def digest(self, section: str) -> str:
        """Return a section's digest, equal for sections with equal items."""
        total = 0
        for item_id, item in self.items_by_id(section).items():
            value = item_to_value(item)
            total = add_entry_digest(total, entry_digest(section, item_id, value))
        return f"{total:032x}"

    def is_zone_in_service(self, zone_id: str) -> bool:
        """Return whether a zone is declared and may take new work."""
        zone = self.zones_by_id.get(zone_id)
        return zone is not None and zone.state is AdminState.IN

    def is_host_in_service(self, host_id: str, zone_id: str) -> bool:
        """Return whether a host and its zone may take new work."""
        host = self.hosts_by_id.get(host_id)
        if host is not None and host.state is AdminState.OUT:
            return False
        return self.is_zone_in_service(zone_id)


def item_to_value(item: Item) -> dict[str, Any]:
    """Convert an item to a JSON value, without its id."""
    return {
        attribute.name: rule.write(getattr(item, attribute.name))
        for attribute in attrs.fields(type(item))
        if (rule := rule_of(attribute)) is not None
    }
