"""Update the dispatcher from the configuration and the membership."""

import time
from collections.abc import Callable

from teaselpond_model.contracts import Host, HostKind, HostState

from ..configuration import ConfigurationInForce
from ..membership import Daemon, DaemonState, Membership, Upstream, UpstreamState
from ..owner import EnginePollers, SlotBroker, build_policy_settings, build_profiles

RUNNING_STATES = (DaemonState.ALIVE, DaemonState.SUSPECT, DaemonState.LEAVING)


class FleetFollower:
    """Configure the dispatcher's engines and daemons, and poll its engines."""

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
        self._held_ids: set[str] = set()

    @property
    def membership(self) -> Membership:
        """Return the membership of the last update."""
        return self._membership

    def upstream_hosts(self) -> dict[str, Host]:
        """Return the upstreams' hosts by id."""
        return {
            host_id: host_from_upstream(upstream)
            for host_id, upstream in self._membership.upstreams_by_id.items()
        }

    def update_configuration(self, in_force: ConfigurationInForce | None) -> None:
        """Apply a configuration that is in force; None changes nothing."""
        if in_force is None:
            return
        self._in_force = in_force
        self._set_daemons()
        self._configure()

    def update_membership(self, membership: Membership) -> None:
        """Apply a new membership."""
        previous = self._membership
        self._membership = membership
        self._set_daemons()
        for daemon_id in ended_daemon_ids(previous, membership):
            self._broker.drop_origin(daemon_id)
        self._configure()

    def hold(self, engine_id: str) -> None:
        """Stop giving an engine new work."""
        self._held_ids.add(engine_id)
        self._configure()

    def resume(self, engine_id: str) -> None:
        """Resume giving an engine new work."""
        self._held_ids.discard(engine_id)
        self._configure()

    def is_held(self, engine_id: str) -> bool:
        """Return whether an engine is held and gets no new work."""
        return engine_id in self._held_ids

    def serving_daemons(self) -> Membership:
        """Return the membership without daemons taken out of service.

        A configuration without zones takes no daemon out.
        """
        if self._in_force is None:
            return self._membership
        document = self._in_force.document
        out_ids = {
            daemon_id
            for daemon_id, daemon in self._membership.daemons_by_id.items()
            if document.zones_by_id
            and not document.is_host_in_service(daemon_id, daemon.zone)
        }
        return self._membership.without(out_ids)

    def _set_daemons(self) -> None:
        daemons = [
            host_from_daemon(each) for each in self.serving_daemons().usable_daemons()
        ]
        dispatcher = self._broker.dispatcher
        self._broker.hand_over(dispatcher.set_daemons(daemons, self._clock()))

    def _configure(self) -> None:
        if self._in_force is None:
            return
        document = self._in_force.document
        profiles = tuple(
            build_profiles(document, self.upstream_hosts(), self._held_ids)
        )
        dispatcher = self._broker.dispatcher
        self._broker.hand_over(
            dispatcher.configure(
                build_policy_settings(
                    document.policy, len(dispatcher.directory.daemons_by_id)
                ),
                profiles,
                self._clock(),
            )
        )
        self._pollers.set_engines(
            engine.profile.host for engine in dispatcher.engines.by_id.values()
        )


def ended_daemon_ids(previous: Membership, current: Membership) -> tuple[str, ...]:
    """Return the daemons whose incarnation ended between two memberships.

    A daemon that is gone stays a member while the platform lists it, so its
    state and incarnation are compared too.
    """
    return tuple(
        daemon_id
        for daemon_id, daemon in previous.daemons_by_id.items()
        if daemon.state in RUNNING_STATES
        and not _is_still_running(daemon, current.daemons_by_id.get(daemon_id))
    )


def _is_still_running(previous: Daemon, current: Daemon | None) -> bool:
    return (
        current is not None
        and current.state in RUNNING_STATES
        and current.incarnation == previous.incarnation
    )


def host_from_daemon(daemon: Daemon) -> Host:
    """Convert a daemon to the host that the policy uses."""
    return Host(daemon.daemon_id, daemon.caller_address, daemon.zone, HostKind.ENTRY)


def host_from_upstream(upstream: Upstream) -> Host:
    """Convert an upstream to the host that the policy uses.

    A flapping upstream counts as leaving.
    """
    is_live = upstream.state is UpstreamState.LIVE
    state = HostState.LIVE if is_live else HostState.LEAVING
    return Host(upstream.host_id, upstream.address, upstream.zone, upstream.kind, state)
