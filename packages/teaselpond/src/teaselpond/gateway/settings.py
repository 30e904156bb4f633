"""Describe the settings of one gateway process."""

from attrs import frozen

from teaselpond_model.contracts import Address


@frozen
class Listeners:
    """Hold the addresses that a gateway listens on; None where it has none."""

    entry: Address
    ready: Address | None
    peers: Address | None
    directory: Address | None


@frozen
class Bounds:
    """Hold what the deployment promises; times in seconds."""

    grace_seconds: float
    revoke_seconds: float
    strict_revocation: bool
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    cold_overage: float
    cold_slack: float
    load_cap_factor: float
    directory_ttl_seconds: float


@frozen
class GatewaySettings:
    """Hold what a gateway process is told at its start.

    ``seeds`` are peers' addresses, which may be stale; ``datagram_port`` is
    the port of the peers' datagrams, alike on every host. ``is_first_start``
    tells that no host of the deployment ran before.
    """

    host: str
    ip: str
    availability_zone: str
    region: str
    listeners: Listeners
    store: Address
    seeds: tuple[Address, ...]
    datagram_port: int
    metrics_port: int
    bounds: Bounds
    is_first_start: bool
