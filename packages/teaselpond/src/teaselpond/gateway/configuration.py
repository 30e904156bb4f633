"""Describe the configuration in force: routes, services and workspaces."""

import enum
import hashlib
from collections.abc import Iterable, Iterator, Mapping

from attrs import field, frozen


class RouteType(enum.Enum):
    """Tell what may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class WeightedService:
    """Hold a service's part of a route's requests."""

    name: str
    weight: float


@frozen
class Route:
    """Hold how requests of one host and path prefix are handled.

    ``objective_seconds`` is the time to a whole answer, or to a stream's
    first event; ``pause_seconds`` the longest pause between its events.
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
        """Tell whether a request may run more than once."""
        if self.type is RouteType.STREAM:
            return self.is_resumable
        return self.type is RouteType.SAFE

    def choose_service(self, request_id: str) -> str:
        """Return the service of a request, by the weights of the split."""
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
    """Hold what one engine of a service holds at once."""

    slots: int
    cache_tokens: int


@frozen
class Service:
    """Hold how the upstreams of one service are used.

    ``cold_per_second`` is what a freshly started upstream bears. ``engine``
    is None for services that run no model.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_per_second: float
    engine: EngineCapacity | None


@frozen
class Limits:
    """Hold what callers may send; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@frozen
class Workspace:
    """Hold a workspace's name and its rank, if it has one of its own."""

    name: str
    priority: int | None


def _index_routes(routes: Iterable[Route]) -> dict[tuple[str, str], Route]:
    return {(route.host.lower(), route.prefix): route for route in routes}


@frozen
class Configuration:
    """Hold one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    workspaces_by_key: Mapping[str, Workspace]
    limits: Limits
    has_workspaces: bool
    _routes_by_place: Mapping[tuple[str, str], Route] = field(init=False, repr=False)

    @_routes_by_place.default
    def _make_index(self) -> dict[tuple[str, str], Route]:
        return _index_routes(self.routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for prefix in _prefixes(path):
            route = self._routes_by_place.get((host.lower(), prefix))
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
