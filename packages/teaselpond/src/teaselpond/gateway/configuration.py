"""Define the configuration: routes, services, workspaces and limits."""

import enum
import hashlib
from collections.abc import Iterable, Iterator, Mapping

from attrs import field, frozen


class RouteType(enum.Enum):
    """Classify a route's requests by whether they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class WeightedService:
    """Hold a service's share of a route's requests."""

    name: str
    weight: float


@frozen
class Route:
    """Hold how requests with a ``Host`` header and path prefix are handled.

    ``objective_seconds`` is the target time to a whole response, or to a
    stream's first event; ``pause_seconds`` the target for the longest pause
    between its events.
    """

    name: str
    host: str
    prefix: str
    type: RouteType
    timeout_seconds: float
    objective_seconds: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    pause_seconds: float

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.type is RouteType.STREAM:
            return self.is_resumable
        return self.type is RouteType.SAFE

    def choose_service(self, request_id: str) -> str:
        """Choose a service by weight, always the same for one request id."""
        if len(self.services) == 1:
            return self.services[0].name
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        total = sum(service.weight for service in self.services)
        point = int.from_bytes(digest, "big") / 2**64 * total
        for service in self.services:
            point -= service.weight
            if point < 0:
                return service.name
        return self.services[-1].name


@frozen
class EngineCapacity:
    """Hold what one engine of a service can take and do.

    ``slots`` limits its concurrent requests, ``cache_tokens`` the tokens of
    running requests and cached prompts together, each of which takes
    ``token_bytes``. ``event_tokens`` is how many tokens one event of a stream
    holds. With ``allows_backups`` it copies the memory of a run to another
    engine as it grows. What it holds for another engine's run is kept for
    ``copy_seconds``.
    """

    slots: int
    cache_tokens: int
    token_bytes: int = 0
    event_tokens: int = 1
    allows_backups: bool = False
    copy_seconds: float = 0.0


@frozen
class Service:
    """Hold how the upstreams of one service are used.

    A freshly started upstream is cold for ``cold_seconds`` and takes only
    ``cold_per_second`` requests a second. ``engine`` is None for services
    that run no model.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_per_second: float
    engine: EngineCapacity | None


@frozen
class Limits:
    """Limit the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@frozen
class Workspace:
    """Hold a workspace's name and its priority.

    If ``priority`` is None, that of the route applies.
    """

    name: str
    priority: int | None


def _index_routes(routes: Iterable[Route]) -> dict[tuple[str, str], Route]:
    return {(route.host.lower(), route.prefix): route for route in routes}


@frozen
class Configuration:
    """Hold one version of the configuration.

    Without workspaces (``has_workspaces``), callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    workspaces_by_key: Mapping[str, Workspace]
    limits: Limits
    has_workspaces: bool
    _routes_by_host_and_prefix: Mapping[tuple[str, str], Route] = field(
        init=False, repr=False
    )

    @_routes_by_host_and_prefix.default
    def _index_by_host_and_prefix(self) -> dict[tuple[str, str], Route]:
        return _index_routes(self.routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for prefix in _path_prefixes(path):
            route = self._routes_by_host_and_prefix.get((host.lower(), prefix))
            if route is not None:
                return route
        return None


def _path_prefixes(path: str) -> Iterator[str]:
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
