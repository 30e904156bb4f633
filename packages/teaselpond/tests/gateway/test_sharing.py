"""Test how rows of the store are compressed for peers."""

import json

import testtools

from teaselpond.gateway.rows import Row
from teaselpond.gateway.sharing import (
    MIN_COMPRESSED_BYTES,
    RESPONSE_TIMEOUT_SECONDS,
    RowCompressor,
    decode_row,
)
from teaselpond_standins.platform.operator import wire_configuration

# The largest configurations of the deployments hold over 1,500 routes, and
# their slowest links carry 5 Mbit/s. In a fleet of sixty hosts, three read the
# store and each serves twenty.
ROUTES = 1560
LINK_BITS_PER_SECOND = 5e6
CONCURRENT_FETCHES = 20


def make_large_row(version: int = 7) -> Row:
    """Return a configuration row with as many routes as the largest."""
    configuration = wire_configuration(version)
    route = configuration["Routes"][0]
    configuration["Routes"] = [
        {**route, "Name": f"lohu{number}", "Prefix": f"/lohu{number * 7919}/"}
        for number in range(ROUTES)
    ]
    return Row("config", json.dumps(configuration).encode(), version)


class RowCompressorTests(testtools.TestCase):
    """Test compressing and decoding rows."""

    def setUp(self) -> None:
        super().setUp()
        self.compressor = RowCompressor()

    def test_round_trip(self) -> None:
        rows = [
            make_large_row(),
            Row("small", b"{}", 3),
            Row("removed", None, 4),
            Row("edge", b"x" * MIN_COMPRESSED_BYTES, 5),
        ]
        for row in rows:
            self.assertEqual(row, decode_row(*self.compressor.compress(row)))

    def test_newer_version_replaces_cached_value(self) -> None:
        """Return the newest version's value, not the cached older one."""
        self.compressor.compress(make_large_row(7))
        newer = make_large_row(8)
        self.assertEqual(newer, decode_row(*self.compressor.compress(newer)))

    def test_corrupt_value(self) -> None:
        with self.assertRaises(ValueError):
            decode_row("config", b"not packed", 7, True)

    def test_large_configuration_on_a_slow_link(self) -> None:
        """Serve a large configuration to twenty hosts within the timeout."""
        _, value, _, _ = self.compressor.compress(make_large_row())
        bits = 8 * len(value) * CONCURRENT_FETCHES
        self.assertLess(bits / LINK_BITS_PER_SECOND, RESPONSE_TIMEOUT_SECONDS)
