"""Detect valid changes that are likely to harm the running fleet."""

from collections.abc import Callable, Iterable, Iterator, Mapping

from attrs import Factory, frozen

from .checks import Fault
from .document import SECTIONS_BY_NAME, Document
from .exceptions import DangerousChange, DocumentInvalid
from .sections import AdminState


@frozen
class CapacityInUse:
    """Hold the fleet's current requests, as far as daemons could be queried.

    ``requests_by_model`` and ``requests_by_workspace`` count running and
    queued requests; ``zones_by_host`` maps host ids to zone ids.
    """

    requests_by_model: Mapping[str, int] = Factory(dict)
    requests_by_workspace: Mapping[str, int] = Factory(dict)
    zones_by_host: Mapping[str, str] = Factory(dict)


DangerCheck = Callable[[Document, Document, CapacityInUse], Iterable[Fault]]

_checks: list[tuple[str, DangerCheck]] = []


def register(section: str) -> Callable[[DangerCheck], DangerCheck]:
    """Register a check of changes whose faults are reported for a section."""

    def decorate(check: DangerCheck) -> DangerCheck:
        _checks.append((section, check))
        return check

    return decorate


def find_dangers(
    before: Document, after: Document, in_use: CapacityInUse
) -> tuple[DangerousChange, ...]:
    """Return every danger of a change from one document to another."""
    return tuple(
        DangerousChange(
            fault.message,
            check_id=fault.check_id,
            section=SECTIONS_BY_NAME[section].header(fault.item_id),
            key=fault.key,
            hint=fault.hint or "use --force if this is intended",
        )
        for section, check in _checks
        for fault in check(before, after, in_use)
    )


def check_change(before: Document, after: Document, in_use: CapacityInUse) -> None:
    """Raise DocumentInvalid with every danger of a change."""
    dangers = find_dangers(before, after, in_use)
    if dangers:
        raise DocumentInvalid("the change is dangerous", dangers)


def slots_by_model(
    document: Document, zones_by_host: Mapping[str, str]
) -> dict[str, int]:
    """Return the slots of the hosts in service, by model.

    A host whose zone isn't known counts as if its zone were in service.
    """
    slots = dict.fromkeys(document.models_by_id, 0)
    for pool in document.pools_by_id.values():
        count = sum(
            host_id not in document.hosts_by_id
            and (
                host_id not in zones_by_host
                or document.is_zone_in_service(zones_by_host[host_id])
            )
            for host_id in pool.hosts
        )
        slots[pool.model] = slots.get(pool.model, 0) + count * pool.slots
    return slots


def zones_in_service(document: Document) -> frozenset[str]:
    """Return the ids of the zones in service."""
    return frozenset(
        zone.zone_id
        for zone in document.zones_by_id.values()
        if zone.state is AdminState.IN
    )


@register("zones")
def check_zone_in_service(
    before: Document, after: Document, in_use: CapacityInUse
) -> Iterator[Fault]:
    """Detect a change after which no zone is in service."""
    if zones_in_service(before) and not zones_in_service(after):
        message = "no zone is left to take new work"
        zone_id = sorted(zones_in_service(before))[0]
        yield Fault("zones.W001", message, zone_id, "state")


@register("zones")
def check_zone_removed(
    before: Document, after: Document, in_use: CapacityInUse
) -> Iterator[Fault]:
    """Detect zones that are removed while they are in service."""
    for zone_id in sorted(zones_in_service(before) - after.zones_by_id.keys()):
        message = "the zone is removed while it is in service"
        yield Fault(
            "zones.W002",
            message,
            zone_id,
            "",
            "take it out of service first, or use --force",
        )


@register("capacity")
def check_capacity_in_use(
    before: Document, after: Document, in_use: CapacityInUse
) -> Iterator[Fault]:
    """Detect models whose slots drop to zero or below their requests."""
    zones_by_host = in_use.zones_by_host
    slots_after = slots_by_model(after, zones_by_host)
    for model, slots_before in sorted(slots_by_model(before, zones_by_host).items()):
        slots = slots_after.get(model, 0)
        requests = in_use.requests_by_model.get(model, 0)
        if slots < slots_before and (slots < requests or slots == 0):
            message = f"{slots} slots are left for {requests} requests of {model}"
            pools = [p for p in before.pools_by_id.values() if p.model == model]
            yield Fault("capacity.W001", message, pools[0].pool_id, "hosts")


@register("workspaces")
def check_workspace_removed(
    before: Document, after: Document, in_use: CapacityInUse
) -> Iterator[Fault]:
    """Detect workspaces that are removed in use or opened to all callers."""
    for workspace_id, workspace in sorted(before.workspaces_by_id.items()):
        item_after = after.workspaces_by_id.get(workspace_id)
        requests = in_use.requests_by_workspace.get(workspace_id, 0)
        if item_after is None and requests:
            message = f"the workspace is removed while it runs {requests} requests"
            yield Fault("workspaces.W001", message, workspace_id, "")
        if (
            item_after is not None
            and workspace.key_digests
            and not item_after.key_digests
        ):
            message = "the workspace is opened to callers without a key"
            yield Fault("workspaces.W002", message, workspace_id, "key_digests")


@register("services")
def check_contract_changed(
    before: Document, after: Document, in_use: CapacityInUse
) -> Iterator[Fault]:
    """Detect services whose contract changes, such as to allow retries."""
    for service_id, service in sorted(before.services_by_id.items()):
        item_after = after.services_by_id.get(service_id)
        if item_after is None or item_after.contract is service.contract:
            continue
        message = f'the contract changes to "{item_after.contract.value}"'
        yield Fault("services.W001", message, service_id, "contract")
