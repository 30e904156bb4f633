"""Check what peers send each other of the store's rows."""

import json

import testtools

from teaselpond.gateway.rows import Row
from teaselpond.gateway.sharing import (
    ANSWER_SECONDS,
    MIN_COMPRESSED_BYTES,
    RowCompressor,
    decode_row,
)
from teaselpond_standins.platform.operator import wire_configuration

# The largest configurations of the deployments hold over 1,500 routes, and
# their slowest links carry 5 Mbit/s. Three hosts read for sixty.
ROUTES = 1560
LINK_BITS_PER_SECOND = 5e6
FETCHING_AT_ONCE = 20


def make_large_row(version: int = 7) -> Row:
    """Return the row of a configuration with very many routes."""
    configuration = wire_configuration(version)
    route = configuration["Routes"][0]
    configuration["Routes"] = [
        {**route, "Name": f"lohu{number}", "Prefix": f"/lohu{number * 7919}/"}
        for number in range(ROUTES)
    ]
    return Row("config", json.dumps(configuration).encode(), version)


class PackedValuesTests(testtools.TestCase):
    """Pack rows for peers and unpack them."""

    def setUp(self) -> None:
        super().setUp()
        self.packed = RowCompressor()

    def test_round_trip(self) -> None:
        rows = [
            make_large_row(),
            Row("small", b"{}", 3),
            Row("removed", None, 4),
            Row("edge", b"x" * MIN_COMPRESSED_BYTES, 5),
        ]
        for row in rows:
            self.assertEqual(row, decode_row(*self.packed.pack(row)))

    def test_newer_value_of_a_key(self) -> None:
        """Send the value of the newest version, not one packed before."""
        self.packed.pack(make_large_row(7))
        newer = make_large_row(8)
        self.assertEqual(newer, decode_row(*self.packed.pack(newer)))

    def test_unreadable_value(self) -> None:
        with self.assertRaises(ValueError):
            decode_row("config", b"not packed", 7, True)

    def test_large_configuration_on_a_slow_link(self) -> None:
        """Hand a large configuration to the hosts of one reader in time."""
        _, value, _, _ = self.packed.pack(make_large_row())
        bits = 8 * len(value) * FETCHING_AT_ONCE
        self.assertLess(bits / LINK_BITS_PER_SECOND, ANSWER_SECONDS)
