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
    ``exposure_*`` limit the requests that an unproved version of a service's
    upstreams gets: that ratio of all requests, plus the slack.
    ``rollback_seconds`` is how soon a version that proved bad gets no more.
    They are None where versions are not rolled out.
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
    exposure_ratio: float | None = None
    exposure_slack: float | None = None
    rollback_seconds: float | None = None


@frozen
class HostCapacity:
    """Hold what the platform grants a host; None is unknown.

    ``cores`` is the processor time that it has in a second, in seconds of one
    core, ``link_mbps`` the bandwidth of its link.
    """

    cores: float | None = None
    memory_bytes: int | None = None
    descriptors: int | None = None
    link_mbps: float | None = None


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
    capacity: HostCapacity = HostCapacity()
