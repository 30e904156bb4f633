"""Define the settings of one gateway process."""

from attrs import frozen

from teaselpond_model.contracts import Address


@frozen
class Listeners:
    """Configure the addresses to listen on; None opens no listener."""

    entry: Address
    ready: Address | None
    peers: Address | None
    directory: Address | None

    def addresses(self) -> tuple[Address | None, ...]:
        """Return the addresses of all listeners."""
        return self.entry, self.ready, self.peers, self.directory


@frozen
class Bounds:
    """Configure the limits of the deployment; times are in seconds.

    ``grace_seconds`` is the time from the stop signal until the platform
    kills the process, ``revoke_seconds`` the time within which a revoked key
    must be refused; ``strict_revocation`` refuses all keys rather than exceed
    it while the configuration cannot be confirmed. ``retry_*`` configure the
    retry budget, ``cold_*`` the budget for recently started upstreams.
    ``load_cap_factor`` limits an upstream's load, as a multiple of the mean.
    """

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
    """Configure one gateway process.

    ``seeds`` are addresses of peers, which may be stale. ``datagram_port`` is
    the UDP port for messages between peers, the same on every host.
    ``is_first_start`` is true if no host of the deployment ran before.
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
