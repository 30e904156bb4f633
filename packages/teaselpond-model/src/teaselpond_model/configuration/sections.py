"""Define the items of the document's sections."""

import enum

from attrs import field, frozen

from . import rules

DIGEST_RULE = rules.TextRule("a SHA-256 digest in hexadecimal", r"[0-9a-f]{64}")


class AdminState(enum.Enum):
    """Define the states of a zone or a host.

    IN: it is in service and may take new work.
    """

    IN = "in"
    OUT = "out"


class ServiceContract(enum.Enum):
    """Define how often a call to a service may be executed."""

    AT_MOST_ONCE = "at-most-once"
    IDEMPOTENT = "idempotent"


@frozen
class ZoneItem:
    """Describe an availability zone."""

    zone_id: str
    region: str = rules.text()
    state: AdminState = rules.choice(AdminState.OUT, AdminState.IN)


@frozen
class HostItem:
    """Describe the state of a host; hosts without an item are in service."""

    host_id: str
    state: AdminState = rules.choice(AdminState.OUT, AdminState.OUT)


@frozen
class PoolItem:
    """Describe a pool of engines that run one model in one role.

    ``slots`` limits the concurrent requests of one engine, ``cold_limit``
    those of an engine that has just started. ``checks_fence`` is true if the
    engines refuse orders with an old fencing number.
    """

    pool_id: str
    model: str = rules.text()
    hosts: tuple[str, ...] = rules.texts(required=True)
    slots: int = rules.integer(1, 1024, 8)
    cold_limit: int = rules.integer(1, 1024, 2)
    checks_fence: bool = rules.flag(True)
    role: str = rules.text("serve")


@frozen
class ModelItem:
    """Describe the version and the adapters of a model."""

    model_id: str
    version: str = rules.text()
    adapters: tuple[str, ...] = rules.texts()


@frozen
class WorkspaceItem:
    """Describe what a workspace may use and the keys of its callers.

    A workspace without key digests is open to every caller.
    """

    workspace_id: str
    models: tuple[str, ...] = rules.texts()
    services: tuple[str, ...] = rules.texts()
    key_digests: tuple[str, ...] = rules.texts(DIGEST_RULE)


@frozen
class ServiceItem:
    """Describe a service that is not an engine.

    ``contract`` defines how often one of its calls may be executed.
    """

    service_id: str
    hosts: tuple[str, ...] = rules.texts(required=True)
    contract: ServiceContract = rules.choice(ServiceContract.AT_MOST_ONCE)
    timeout_seconds: float = rules.number(0.01, 600, 5.0)


@frozen
class PolicyItem:
    """Hold the limits for placing, queueing and retrying requests."""

    policy_id: str = field(default="policy")
    load_multiple: float = rules.number(1.01, 10, 1.25)
    load_floor: int = rules.integer(1, 1_024, 2)
    queue_per_slot: float = rules.number(0, 1_000, 2.0)
    ageing_seconds: float = rules.number(0.01, 3_600, 2.0)
    share_factor: float = rules.number(0.01, 1_000, 2.0)
    new_chat_multiple: float = rules.number(0.1, 10, 1.0)
    prefill_tokens_per_second: float = rules.number(1, 10_000_000, 8_000.0)
    quiet_seconds: float = rules.number(1, 3_600, 10.0)
    slow_first_token_factor: float = rules.number(1, 1_000, 4.0)
    slow_first_token_seconds: float = rules.number(0.1, 600, 2.0)
    attempts_per_request: int = rules.integer(1, 10, 3)
    retry_budget_share: float = rules.number(0, 1, 0.1)
    retry_budget_per_second: float = rules.number(0, 1_000, 1.0)
    backoff_seconds: float = rules.number(0.01, 60, 0.1)
    backoff_limit_seconds: float = rules.number(0.01, 600, 5.0)
    ejection_failures: int = rules.integer(1, 1_000, 5)
    ejection_seconds: float = rules.number(0.1, 3_600, 10.0)
    ejection_limit_seconds: float = rules.number(0.1, 86_400, 300.0)
    ejection_share: float = rules.number(0, 1, 0.1)
    order_timeout_seconds: float = rules.number(0.1, 60, 4.0)
    order_concurrency: int = rules.integer(1, 1_000, 1)
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
