"""Describe the items that the sections of the document hold."""

import enum

from attrs import field, frozen

from . import rules

DIGEST_RULE = rules.TextRule("a SHA-256 digest in hexadecimal", r"[0-9a-f]{64}")


class ServiceState(enum.Enum):
    """Name whether operators let a zone or a host take new work."""

    IN = "in"
    OUT = "out"


class ServiceContract(enum.Enum):
    """Name how often a call of a plain service may run."""

    AT_MOST_ONCE = "at-most-once"
    IDEMPOTENT = "idempotent"


@frozen
class ZoneItem:
    """Describe an availability zone."""

    zone_id: str
    region: str = rules.text()
    state: ServiceState = rules.choice(ServiceState, ServiceState.IN)


@frozen
class HostItem:
    """Tell the state that operators gave to a host; others are in."""

    host_id: str
    state: ServiceState = rules.choice(ServiceState, ServiceState.OUT)


@frozen
class PoolItem:
    """Describe engines that run one model under one role.

    ``slots`` is the most requests at once on one engine and ``cold_limit``
    the most on one that has just started. ``checks_fence`` tells that the
    engines refuse orders with an old fencing number.
    """

    pool_id: str
    model: str = rules.text()
    hosts: tuple[str, ...] = rules.texts(required=True)
    slots: int = rules.whole(1, 1024, 8)
    cold_limit: int = rules.whole(1, 1024, 2)
    checks_fence: bool = rules.flag(True)
    role: str = rules.text("serve")


@frozen
class ModelItem:
    """Describe the version and the adapters of a model."""

    model_id: str
    version: str = rules.text()
    adapters: tuple[str, ...] = rules.texts()
    prefill_tokens_per_second: float = rules.number(1, 10_000_000, 2_000.0)


@frozen
class WorkspaceItem:
    """Describe a workspace, its share and the keys of its callers.

    A workspace without key digests is open to every caller.
    """

    workspace_id: str
    models: tuple[str, ...] = rules.texts()
    services: tuple[str, ...] = rules.texts()
    weight: float = rules.number(0.01, 1_000, 1.0)
    key_digests: tuple[str, ...] = rules.texts(DIGEST_RULE)


@frozen
class ServiceItem:
    """Describe a plain service and the contract of its calls."""

    service_id: str
    hosts: tuple[str, ...] = rules.texts(required=True)
    contract: ServiceContract = rules.choice(ServiceContract)
    timeout_seconds: float = rules.number(0.01, 600, 5.0)


@frozen
class PolicyItem:
    """Hold the limits by which the fleet places, queues and retries."""

    policy_id: str = field(default="policy")
    load_multiple: float = rules.number(1.01, 10, 1.25)
    queue_limit: int = rules.whole(0, 100_000, 256)
    interactive_deadline_seconds: float = rules.number(0.1, 3_600, 30.0)
    label_deadline_seconds: float = rules.number(0.1, 3_600, 60.0)
    plan_deadline_seconds: float = rules.number(1, 86_400, 900.0)
    retry_budget_ratio: float = rules.number(0, 1, 0.1)
    retry_budget_per_second: float = rules.number(0, 1_000, 1.0)
    warm_up_answers: int = rules.whole(1, 100_000, 32)
    zone_spill_load: float = rules.number(0, 10, 0.8)
    locate_seconds: float = rules.number(1, 3_600, 10.0)
    quarantine_deaths: int = rules.whole(1, 100, 2)
    quarantine_seconds: float = rules.number(1, 2_592_000, 3_600.0)
    order_timeout_seconds: float = rules.number(0.1, 3_600, 10.0)
    order_concurrency: int = rules.whole(1, 1_000, 1)
    capacity_floor_ratio: float = rules.number(0, 1, 0.75)


Item = (
    ZoneItem
    | HostItem
    | PoolItem
    | ModelItem
    | WorkspaceItem
    | ServiceItem
    | PolicyItem
)
