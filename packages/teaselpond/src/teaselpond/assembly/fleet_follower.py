"""Keep the policy in step with the configuration and the membership."""

import time
from collections.abc import Callable

from teaselpond_model.contracts import Host, HostKind, HostState

from ..configuration import ConfigurationInForce
from ..membership import Daemon, DaemonState, Membership, Upstream, UpstreamState
from ..owner import EnginePollers, SlotBroker, build_policy_settings, build_profiles

RUNNING_STATES = (DaemonState.ALIVE, DaemonState.SUSPECT, DaemonState.LEAVING)


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
        self._held_ids: set[str] = set()

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
        self._set_daemons()
        self._configure()

    def take_membership(self, membership: Membership) -> None:
        """Follow the daemons and upstreams in sight."""
        former = self._membership
        self._membership = membership
        self._set_daemons()
        for daemon_id in ended_runs(former, membership):
            self._broker.drop_origin(daemon_id)
        self._configure()

    def hold(self, engine_id: str) -> None:
        """Give an engine no new work."""
        self._held_ids.add(engine_id)
        self._configure()

    def resume(self, engine_id: str) -> None:
        """Let an engine take work again."""
        self._held_ids.discard(engine_id)
        self._configure()

    def is_held(self, engine_id: str) -> bool:
        """Tell whether an engine is given no new work while it changes."""
        return engine_id in self._held_ids

    def serving_daemons(self) -> Membership:
        """Return the membership without daemons that operators took out."""
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
            host_of_daemon(each) for each in self.serving_daemons().usable_daemons()
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


def ended_runs(former: Membership, current: Membership) -> tuple[str, ...]:
    """Return the daemons whose run ended between two memberships.

    A daemon that is gone stays a member while the platform lists it.
    """
    return tuple(
        daemon_id
        for daemon_id, daemon in former.daemons_by_id.items()
        if daemon.state in RUNNING_STATES
        and not _still_runs(daemon, current.daemons_by_id.get(daemon_id))
    )


def _still_runs(former: Daemon, current: Daemon | None) -> bool:
    return (
        current is not None
        and current.state in RUNNING_STATES
        and current.incarnation == former.incarnation
    )


def host_of_daemon(daemon: Daemon) -> Host:
    """Return a daemon as the policy sees it."""
    return Host(daemon.daemon_id, daemon.caller_address, daemon.zone, HostKind.ENTRY)


def host_of_upstream(upstream: Upstream) -> Host:
    """Return an upstream as the policy sees it; flapping ones are leaving."""
    is_live = upstream.state is UpstreamState.LIVE
    state = HostState.LIVE if is_live else HostState.LEAVING
    return Host(upstream.host_id, upstream.address, upstream.zone, upstream.kind, state)
