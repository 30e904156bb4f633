"""Test entries among those of the upstreams that another writer left."""

import json

from teaselpond.gateway.changes import EngineListed, EntryUnreadable
from teaselpond.gateway.rows import Row
from teaselpond.gateway.tables import Table
from teaselpond.platform.entries import decode_change
from teaselpond_standins.service import ListedUpstream
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet

# Fields that make an entry name nothing to use.
ODD_FIELDS = {
    "port_too_large": {"Address": "127.0.0.1:99999"},
    "port_zero": {"Address": "127.0.0.1:0"},
    "port_negative": {"Address": "127.0.0.1:-1"},
    "port_of_30_digits": {"Address": "127.0.0.1:" + "9" * 30},
    "port_with_sign": {"Address": "127.0.0.1:+80"},
    "port_with_underscore": {"Address": "127.0.0.1:80_80"},
    "port_of_other_digits": {"Address": "127.0.0.1:\u0668\u0660"},
    "port_with_blank": {"Address": "127.0.0.1: 80"},
    "host_no_ip": {"Address": "engine.example:80"},
    "host_long": {"Address": "a" * 5000 + ":80"},
    "host_surrogate": {"Address": "\ud800:80"},
    "host_unspecified": {"Address": "0.0.0.0:80"},
    "host_multicast": {"Address": "224.0.0.1:80"},
    "address_number": {"Address": 80},
    "slots_huge": {"Slots": 10**4000},
    "slots_zero": {"Slots": 0},
    "slots_true": {"Slots": True},
    "cold_nan": {"ColdLeftMs": float("nan")},
    "cold_infinite": {"ColdLeftMs": float("inf")},
    "cold_huge": {"ColdLeftMs": 10**4000},
    "cold_boolean": {"ColdLeftMs": True},
    "cold_text": {"ColdLeftMs": "5"},
    "born_huge": {"born": 10**400},
    "born_negative": {"born": -1},
    "service_surrogate": {"Service": "\ud800"},
    "service_empty": {"Service": ""},
    "zone_surrogate": {"Zone": "\ud800"},
    "zone_long": {"Zone": "z" * 5000},
    "state_list": {"State": ["ready"]},
}
ODD_KEYS = {
    "key_with_blanks": "an engine",
    "key_with_quotes": 'an"engine',
    "key_with_line_break": "an\r\nengine",
    "key_surrogate": "an\ud800engine",
    "key_empty": "",
    "key_not_ascii": "engine-\u00fc",
}
ODD_VALUES = {
    "deeply_nested": b"[" * 100_000 + b"]" * 100_000,
    "nested_objects": b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
    "not_json": b"\xff\xfe\x00",
    "a_list": b"[]",
    "null": b"null",
    "many_digits": b'{"Service": ' + b"9" * 10_000 + b"}",
}


def make_rows() -> dict[str, Row]:
    """Return the odd entries by name; each else says what a sound one does."""
    sound = ListedUpstream("odd").entry("plain", Address="127.0.0.1:9")
    rows = {}
    for name, fields in ODD_FIELDS.items():
        value = _dump_large({**sound, **fields})
        rows[name] = Row(f"odd-{name}", value, 1)
    for name, key in ODD_KEYS.items():
        rows[name] = Row(key, json.dumps(sound).encode(), 1)
    for name, value in ODD_VALUES.items():
        rows[name] = Row(f"odd-{name}", value, 1)
    return rows


def _dump_large(entry: dict) -> bytes:
    """Encode an entry, whose integers may have any number of digits."""
    huge = {name: value for name, value in entry.items() if value == 10**4000}
    text = json.dumps({**entry, **dict.fromkeys(huge, "huge")})
    return text.replace('"huge"', "1" + "0" * 4000).encode()


class OddEntryTests(AsyncTestCase):
    """Keep serving, whatever stands among the entries of the upstreams."""

    def test_odd_entries_name_no_upstream(self) -> None:
        """Each of them is unreadable, and a sound one is not."""
        for name, row in make_rows().items():
            change = decode_change(Table.ENGINES, row)
            self.assertIsInstance(change, EntryUnreadable, name)
        sound = ListedUpstream("i-7f3a91c2").entry("plain", Address="10.1.0.40:8227")
        row = Row("i-7f3a91c2", json.dumps(sound).encode(), 1)
        self.assertIsInstance(decode_change(Table.ENGINES, row), EngineListed)

    async def test_hosts_serve_and_start_beside_odd_entries(self) -> None:
        """Running hosts, one that starts and a restored store get on."""
        fleet = await self.enter(GatewayFleet(size=2))
        rows = fleet.platform.rows
        for row in make_rows().values():
            await rows.put("servers", row.key, row.value)
        await self.check_calls(fleet, 0)
        await fleet.start_gateway(2)
        await self.check_calls(fleet, 2)
        await rows.restore(rows.copy())
        await self.check_changes_arrive(fleet)
        await self.check_calls(fleet, 2)

    async def check_calls(self, fleet: GatewayFleet, number: int) -> None:
        """Check that calls to a host are answered."""
        for path, method in (("/stock/x", "GET"), ("/orders/x", "POST")) * 6:
            async with fleet.call(path, method=method, number=number) as response:
                self.assertEqual(200, response.status, path)

    async def check_changes_arrive(self, fleet: GatewayFleet) -> None:
        """Check that all hosts follow the table of upstreams."""
        added = await self.enter(ListedUpstream("p9"))
        await fleet.register_upstream(added, "plain")
        for daemon in fleet.daemons:
            known = daemon.host.routing_state.engines_by_id
            await self.wait_until(lambda known=known: "p9" in known)
