"""Check the parsing of documents and the messages of its faults."""

import testtools

from teaselpond_model.configuration import (
    AdminState,
    Document,
    DocumentInvalid,
    ServiceContract,
    changes_between,
    document_from_values,
    read_toml,
    render_changes,
    values_by_key,
)

DOCUMENT = """
version = 7
[zones.innsbruck]
region = "tyrol"
[zones.lienz]
region = "tyrol"
state = "out"
[hosts.e2]
[capacity.pools.fitting]
model = "fitting"
hosts = ["e1", "e2"]
[models.fitting]
version = "3"
[workspaces.axams]
models = ["fitting"]
services = ["orders"]
[services.orders]
hosts = ["s1"]
contract = "at-most-once"
[policy]
load_multiple = 1.5
"""

FAULTS = (
    ("[zones.a]", "[zones.a] region", "E007"),
    ("[zones.a]\nregion = 3", "[zones.a] region", "E008"),
    ('[zones.a]\nregion = "t"\nstate = "off"', '"in" or "out"', "E008"),
    ('[zones.A]\nregion = "t"', "[zones.A]", "E005"),
    ("[zone.a]", "workspaces", "E003"),
    ("[capacity.pool.a]", "allowed: pools", "E003"),
    ("capacity = 3", "[capacity.pools]", "E004"),
    ("zones = 3", "[zones]", "E004"),
    ("[zones]\na = 3", "[zones.a]", "E004"),
    ("[policy]\nload_multiple = true", "[policy] load_multiple", "E008"),
    ("[policy]\nload_multiple = 0.5", "1.01 to 10", "E008"),
    ("[policy]\nload_floor = 1.5", "a whole number", "E008"),
    ("[policy]\nqueue = 1", "allowed: load_multiple", "E006"),
    ('[capacity.pools.a]\nmodel="m"\nhosts=["e1","e1"]', "without repeats", "E008"),
    ('[workspaces.a]\nkey_digests=["x"]', "SHA-256", "E008"),
    ("version = -1", "0 or more", "E002"),
    ("= 3", "not TOML", "E001"),
)


class ReadTomlTests(testtools.TestCase):
    """Check the parsing of TOML."""

    def test_a_document_is_read(self) -> None:
        """Check the values of every section."""
        parsed = read_toml(DOCUMENT)
        document = parsed.document
        self.assertEqual(7, parsed.base_version)
        self.assertEqual("tyrol", document.zones_by_id["innsbruck"].region)
        self.assertIs(AdminState.OUT, document.hosts_by_id["e2"].state)
        self.assertEqual(("e1", "e2"), document.pools_by_id["fitting"].hosts)
        self.assertEqual(1.5, document.policy.load_multiple)
        for host_id, zone_id, is_in in (
            ("e1", "innsbruck", True),
            ("e2", "innsbruck", False),
            ("e1", "lienz", False),
            ("e1", "elsewhere", False),
        ):
            self.assertIs(is_in, document.is_host_in_service(host_id, zone_id))

    def test_each_fault_says_where_and_what_is_allowed(self) -> None:
        """Check that a fault names file, section, key and allowed values."""
        for text, expected, check_id in FAULTS:
            with testtools.ExpectedException(DocumentInvalid):
                try:
                    read_toml(text, "d.toml")
                except DocumentInvalid as group:
                    self.assertEqual(1, len(group.exceptions), text)
                    fault = str(group.exceptions[0])
                    self.assertIn("d.toml", fault)
                    self.assertIn(expected, fault)
                    self.assertIn(check_id, fault)
                    raise

    def test_all_faults_come_at_once(self) -> None:
        """Check that the faults of all sections are reported together."""
        text = "\n".join(text for text, _, _ in FAULTS[1:2] + FAULTS[9:10])
        try:
            read_toml(text)
        except DocumentInvalid as group:
            self.assertEqual(2, len(group.exceptions))
        else:
            self.fail("the document was accepted")


class EntriesTests(testtools.TestCase):
    """Check the conversion to and from entries."""

    def test_entries_give_the_document_back(self) -> None:
        """Check that converting to entries and back keeps the document."""
        document = read_toml(DOCUMENT).document
        self.assertEqual(document, document_from_values(values_by_key(document)))

    def test_unknown_keys_and_sections_are_ignored(self) -> None:
        """Check that entries of a newer program can be read."""
        values = values_by_key(read_toml(DOCUMENT).document)
        for value in values.values():
            value["added_later"] = 1
        key = next(iter(values))
        values[type(key)("added", "x")] = {}
        document = document_from_values(values)
        self.assertEqual(read_toml(DOCUMENT).document, document)

    def test_unknown_choices_are_read_as_the_safest(self) -> None:
        """Check that unknown choices become the safest, others the default."""
        values = values_by_key(read_toml(DOCUMENT).document)
        for value in values.values():
            for name in ("state", "contract"):
                if name in value:
                    value[name] = "added-later"
            if "slots" in value:
                value["slots"] = "many"
        document = document_from_values(values)
        self.assertFalse(document.is_zone_in_service("innsbruck"))
        self.assertIs(
            ServiceContract.AT_MOST_ONCE, document.services_by_id["orders"].contract
        )
        self.assertEqual(8, document.pools_by_id["fitting"].slots)

    def test_digest_follows_the_content_only(self) -> None:
        """Check that digests differ exactly when the items do."""
        document = read_toml(DOCUMENT).document
        zones = dict(reversed(document.zones_by_id.items()))
        same = document.with_section("zones", zones)
        self.assertEqual(document.digest("zones"), same.digest("zones"))
        zones.pop("lienz")
        fewer = document.with_section("zones", zones)
        self.assertNotEqual(document.digest("zones"), fewer.digest("zones"))

    def test_changes_are_rendered(self) -> None:
        """Check that a diff shows the old and the new value of each key."""
        text = DOCUMENT.replace('state = "out"', 'state = "in"')
        before = values_by_key(read_toml(DOCUMENT).document)
        after = values_by_key(read_toml(text).document)
        self.assertEqual(
            '[zones.lienz]\n- state = "out"\n+ state = "in"',
            render_changes(changes_between(before, after)),
        )
        self.assertEqual((), changes_between(before, before))
        everything = changes_between({}, values_by_key(Document()))
        self.assertEqual(["policy"], [change.key.item_id for change in everything])
