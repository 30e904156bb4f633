"""Test how routes are found and how their requests are split."""

import testtools

from teaselpond.gateway.configuration import RouteType, WeightedService
from teaselpond_standins.testing.gateways import (
    HOST,
    make_configuration,
    make_route,
)


class FindRouteTests(testtools.TestCase):
    """Test the lookup of routes by host and path."""

    def setUp(self) -> None:
        super().setUp()
        self.short = make_route(name="short", prefix="/a/")
        self.long = make_route(name="long", prefix="/a/b/")
        self.configuration = make_configuration(routes=(self.short, self.long))

    def find(self, path: str, host: str = HOST) -> str | None:
        """Return the name of the matching route, if any."""
        route = self.configuration.find_route(host, path)
        return route.name if route else None

    def test_longest_prefix(self) -> None:
        """The route with the longest matching prefix is returned."""
        self.assertEqual("long", self.find("/a/b/c"))
        self.assertEqual("long", self.find("/a/b/"))
        self.assertEqual("short", self.find("/a/bc"))
        self.assertEqual("short", self.find("/a/b"))

    def test_no_route(self) -> None:
        """A path or host that matches no route returns None."""
        self.assertIsNone(self.find("/a"))
        self.assertIsNone(self.find("/"))
        self.assertIsNone(self.find("/b/"))
        self.assertIsNone(self.find("/a/", "other.example"))

    def test_host_is_case_insensitive(self) -> None:
        """Host names are compared without case."""
        self.assertEqual("short", self.find("/a/", HOST.upper()))


class RouteTests(testtools.TestCase):
    """Test the retries and the split of a route."""

    def test_idempotence(self) -> None:
        """Only safe routes and resumable streams are idempotent."""
        stream = RouteType.STREAM
        self.assertTrue(make_route(type=RouteType.SAFE).is_idempotent)
        self.assertFalse(make_route(type=RouteType.UNSAFE).is_idempotent)
        self.assertTrue(make_route(type=stream, is_resumable=True).is_idempotent)
        self.assertFalse(make_route(type=stream, is_resumable=False).is_idempotent)

    def test_split(self) -> None:
        """Requests are split by weight, the same way for one request id."""
        services = (WeightedService("a", 90), WeightedService("b", 10))
        route = make_route(services=services)
        chosen = [route.choose_service(f"id-{n}") for n in range(1000)]
        self.assertEqual(chosen, [route.choose_service(f"id-{n}") for n in range(1000)])
        # Four standard deviations of 1000 draws of one in ten are 38.
        self.assertTrue(62 <= chosen.count("b") <= 138, chosen.count("b"))
