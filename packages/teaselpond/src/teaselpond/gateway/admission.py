"""Admit or refuse requests according to the configuration in force."""

from attrs import define

from .calls import Call, Head
from .configuration import Configuration, Route, Workspace
from .replies import Refusal
from .routing_state import RoutingState

# The store may report a change to its watchers this much late when it drops
# its history, so this is added to the age of the last confirmation.
WATCH_LAG_SECONDS = 1.2
# If the last confirmation is older than this, an unknown route or key may have
# been added since.
UNCONFIRMED_SECONDS = 3.0


@define(eq=False)
class Admission:
    """Check requests against routes, keys and the configuration's age."""

    routing_state: RoutingState
    strict_revocation: bool
    revoke_seconds: float

    def is_confirmed(self, now: float) -> bool:
        """Return whether the configuration is recent enough to trust keys."""
        if self.routing_state.configuration is None:
            return False
        if not self.strict_revocation:
            return True
        age = self.routing_state.freshness.age(now)
        return age is not None and age + WATCH_LAG_SECONDS < self.revoke_seconds

    def admit(
        self, head: Head, body: bytes, arrived_at: float, now: float
    ) -> Call | Refusal:
        """Return the call for a request, or the reason to refuse it."""
        admitted = self.check_head(head, now)
        if isinstance(admitted, Refusal):
            return admitted
        return make_call(head, body, *admitted, arrived_at)

    def check_head(
        self, head: Head, now: float
    ) -> tuple[Configuration, Route, Workspace | None] | Refusal:
        """Return what a request is for, or the reason to refuse it.

        The body is not needed, so that none is read for an unknown key.
        """
        configuration = self.routing_state.configuration
        if configuration is None:
            return Refusal.NOT_READY
        route = configuration.find_route(head.host, head.path)
        if route is None:
            return self._refuse_unknown(Refusal.NO_ROUTE, now)
        workspace = None
        if configuration.has_workspaces and not route.is_public:
            if not self.is_confirmed(now):
                return Refusal.UNCONFIRMED
            workspace = configuration.workspaces_by_key.get(head.key or "")
            if workspace is None:
                return self._refuse_unknown(Refusal.KEY_UNKNOWN, now)
        return configuration, route, workspace

    def _refuse_unknown(self, refusal: Refusal, now: float) -> Refusal:
        age = self.routing_state.freshness.age(now)
        if age is None or age > UNCONFIRMED_SECONDS:
            return Refusal.UNCONFIRMED
        return refusal


def make_call(
    head: Head,
    body: bytes,
    configuration: Configuration,
    route: Route,
    workspace: Workspace | None,
    arrived_at: float,
) -> Call:
    """Return the call for a request that may be served."""
    seconds = route.timeout_seconds
    if head.deadline_seconds is not None:
        seconds = min(seconds, head.deadline_seconds)
    return Call(
        head=head,
        body=body,
        route=route,
        service=route.choose_service(head.request_id),
        workspace=workspace,
        version=configuration.version,
        arrived_at=arrived_at,
        expires_at=arrived_at + seconds,
    )
