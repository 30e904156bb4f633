"""Keep the policy in step with the configuration and the membership."""

import time
from collections.abc import Callable

from teaselpond_model.contracts import Host, HostKind, HostState

from ..configuration import ConfigurationInForce
from ..membership import Daemon, Membership, Upstream, UpstreamState
from ..owner import EnginePollers, SlotBroker, build_profiles, build_settings


class FleetFollower:
    """Feed the dispatcher with engines and daemons, and poll what it owns."""

    def __init__(
        self,
        broker: SlotBroker,
        pollers: EnginePollers,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._broker = broker
        self._pollers = pollers
        self._clock = clock
        self._in_force: ConfigurationInForce | None = None
        self._membership = Membership()

    @property
    def membership(self) -> Membership:
        """Return the membership as it was last taken."""
        return self._membership

    def upstream_hosts(self) -> dict[str, Host]:
        """Return the upstreams' hosts by id."""
        return {
            host_id: host_of_upstream(upstream)
            for host_id, upstream in self._membership.upstreams_by_id.items()
        }

    def take_configuration(self, in_force: ConfigurationInForce | None) -> None:
        """Follow a configuration that came into force."""
        if in_force is None:
            return
        self._in_force = in_force
        self._configure()

    def take_membership(self, membership: Membership) -> None:
        """Follow the daemons and upstreams in sight."""
        former = self._membership
        self._membership = membership
        dispatcher = self._broker.dispatcher
        daemons = [host_of_daemon(each) for each in membership.usable_daemons()]
        self._broker.hand_over(dispatcher.set_daemons(daemons, self._clock()))
        for daemon_id in former.daemons_by_id.keys() - membership.daemons_by_id.keys():
            self._broker.drop_origin(daemon_id)
        self._configure()

    def _configure(self) -> None:
        if self._in_force is None:
            return
        document = self._in_force.document
        profiles = tuple(build_profiles(document, self.upstream_hosts()))
        dispatcher = self._broker.dispatcher
        self._broker.hand_over(
            dispatcher.configure(
                build_settings(document.policy), profiles, self._clock()
            )
        )
        self._pollers.follow(
            engine.profile.host for engine in dispatcher.engines.by_id.values()
        )


def host_of_daemon(daemon: Daemon) -> Host:
    """Return a daemon as the policy sees it."""
    return Host(daemon.daemon_id, daemon.caller_address, daemon.zone, HostKind.ENTRY)


def host_of_upstream(upstream: Upstream) -> Host:
    """Return an upstream as the policy sees it; flapping ones are leaving."""
    is_live = upstream.state is UpstreamState.LIVE
    state = HostState.LIVE if is_live else HostState.LEAVING
    return Host(upstream.host_id, upstream.address, upstream.zone, upstream.kind, state)
