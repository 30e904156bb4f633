"""Check rules that span the sections of a document."""

from collections.abc import Callable, Iterable, Iterator

from attrs import frozen

from .document import SECTIONS_BY_NAME, Document
from .exceptions import DocumentError, DocumentInvalid
from .sections import AdminState

Check = Callable[[Document], Iterable["Fault"]]

_checks_by_section: dict[str, list[Check]] = {}


@frozen
class Fault:
    """Describe a violation that a check found at one key of one item."""

    check_id: str
    message: str
    item_id: str
    key: str
    hint: str = ""


def register(section: str) -> Callable[[Check], Check]:
    """Register a check whose faults are reported for a section."""

    def decorate(check: Check) -> Check:
        _checks_by_section.setdefault(section, []).append(check)
        return check

    return decorate


def run_checks(document: Document, file: str = "") -> tuple[DocumentError, ...]:
    """Run every registered check and return all faults as errors."""
    return tuple(
        DocumentError(
            fault.message,
            check_id=fault.check_id,
            section=SECTIONS_BY_NAME[section].header(fault.item_id),
            key=fault.key,
            hint=fault.hint,
            file=file,
        )
        for section in SECTIONS_BY_NAME
        for check in _checks_by_section.get(section, ())
        for fault in check(document)
    )


def check_document(document: Document, file: str = "") -> None:
    """Raise DocumentInvalid with every fault of a document."""
    errors = run_checks(document, file)
    if errors:
        raise DocumentInvalid("the document is not valid", errors)


def _allowed_ids(ids: Iterable[str]) -> str:
    return f"allowed: {', '.join(sorted(ids)) or 'nothing is declared'}"


@register("capacity")
def check_pool_models(document: Document) -> Iterator[Fault]:
    """Check that each pool's model is declared."""
    for pool in document.pools_by_id.values():
        if pool.model not in document.models_by_id:
            message = f'the model "{pool.model}" is not declared'
            hint = _allowed_ids(document.models_by_id)
            yield Fault("capacity.E001", message, pool.pool_id, "model", hint)


@register("capacity")
def check_pool_hosts(document: Document) -> Iterator[Fault]:
    """Check that each pool has hosts and no host is in several pools."""
    pools_by_host: dict[str, str] = {}
    for pool in document.pools_by_id.values():
        if not pool.hosts:
            message = "a pool needs at least one host"
            yield Fault("capacity.E002", message, pool.pool_id, "hosts")
        for host_id in pool.hosts:
            other = pools_by_host.setdefault(host_id, pool.pool_id)
            if other != pool.pool_id:
                message = f'the host "{host_id}" is also in the pool "{other}"'
                hint = "allowed: a host in one pool only"
                yield Fault("capacity.E003", message, pool.pool_id, "hosts", hint)


@register("capacity")
def check_cold_limits(document: Document) -> Iterator[Fault]:
    """Check that no pool's cold limit exceeds its slots."""
    for pool in document.pools_by_id.values():
        if pool.cold_limit > pool.slots:
            message = f"{pool.cold_limit} is more than the pool's slots"
            hint = f"allowed: 1 to {pool.slots}"
            yield Fault("capacity.E004", message, pool.pool_id, "cold_limit", hint)


@register("workspaces")
def check_workspace_models(document: Document) -> Iterator[Fault]:
    """Check that a pool serves each model of a workspace."""
    served = {pool.model for pool in document.pools_by_id.values()}
    for workspace in document.workspaces_by_id.values():
        for model in workspace.models:
            if model not in served:
                message = f'no pool serves the model "{model}"'
                item_id = workspace.workspace_id
                yield Fault(
                    "workspaces.E001", message, item_id, "models", _allowed_ids(served)
                )


@register("workspaces")
def check_workspace_services(document: Document) -> Iterator[Fault]:
    """Check that each service of a workspace is declared."""
    services = document.services_by_id
    for workspace in document.workspaces_by_id.values():
        for service in workspace.services:
            if service not in services:
                message = f'the service "{service}" is not declared'
                item_id = workspace.workspace_id
                yield Fault(
                    "workspaces.E002",
                    message,
                    item_id,
                    "services",
                    _allowed_ids(services),
                )


@register("services")
def check_service_hosts(document: Document) -> Iterator[Fault]:
    """Check that each service has hosts and none of them is an engine."""
    engines = {
        host_id for pool in document.pools_by_id.values() for host_id in pool.hosts
    }
    for service in document.services_by_id.values():
        if not service.hosts:
            message = "a service needs at least one host"
            yield Fault("services.E001", message, service.service_id, "hosts")
        for host_id in sorted(engines.intersection(service.hosts)):
            message = f'the host "{host_id}" is an engine of a pool'
            yield Fault("services.E002", message, service.service_id, "hosts")


@register("zones")
def check_zones_exist(document: Document) -> Iterator[Fault]:
    """Check that a document with pools also declares a zone."""
    if document.pools_by_id and not document.zones_by_id:
        message = "pools are declared, but no zone"
        yield Fault("zones.E001", message, "ZONE", "", "allowed: at least one zone")


@register("hosts")
def check_listed_hosts(document: Document) -> Iterator[Fault]:
    """Check that only hosts that are out of service are listed."""
    for host in document.hosts_by_id.values():
        if host.state is AdminState.IN:
            message = "a host that is in service must not be listed"
            hint = "allowed: only hosts that are out of service; remove the entry"
            yield Fault("hosts.E001", message, host.host_id, "state", hint)


@register("policy")
def check_limits(document: Document) -> Iterator[Fault]:
    """Check that each upper limit is not below the value it limits."""
    policy = document.policy
    for name, limit_name in (
        ("backoff_seconds", "backoff_limit_seconds"),
        ("ejection_seconds", "ejection_limit_seconds"),
    ):
        value, limit = getattr(policy, name), getattr(policy, limit_name)
        if limit < value:
            message = f"{limit:g} is below {name}"
            hint = f"allowed: {value:g} or more"
            yield Fault("policy.E001", message, policy.policy_id, limit_name, hint)
