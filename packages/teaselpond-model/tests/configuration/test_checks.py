"""Check the registered checks of documents and changes."""

import testtools

from teaselpond_model.configuration import (
    CapacityInUse,
    DocumentInvalid,
    check_change,
    check_document,
    find_dangers,
    read_toml,
)

DOCUMENT = """
[zones.innsbruck]
region = "tyrol"
[zones.lienz]
region = "tyrol"
[capacity.pools.fitting]
model = "fitting"
hosts = ["e1", "e2"]
slots = 8
[models.fitting]
version = "3"
[workspaces.axams]
models = ["fitting"]
services = ["orders"]
key_digests = ["%s"]
[services.orders]
hosts = ["s1"]
contract = "at-most-once"
""" % ("0" * 64)

FAULTS = (
    ("[models.fitting]", "[models.fit]", "capacity.E001", "allowed: fit"),
    ('["e1", "e2"]', "[]", "capacity.E002", "[capacity.pools.fitting] hosts"),
    (
        "[models.fitting]",
        '[capacity.pools.two]\nmodel = "fitting"\nhosts = ["e2"]\n[models.fitting]',
        "capacity.E003",
        '"e2" is also in the pool "fitting"',
    ),
    ("slots = 8", "slots = 1", "capacity.E004", "allowed: 1 to 1"),
    ('["fitting"]', '["fitting", "x"]', "workspaces.E001", "[workspaces.axams]"),
    ('["orders"]', '["orders", "x"]', "workspaces.E002", "allowed: orders"),
    ('["s1"]', "[]", "services.E001", "[services.orders] hosts"),
    ('["s1"]', '["e1"]', "services.E002", '"e1"'),
    (
        "[models",
        "[policy]\nbackoff_seconds = 9\n[models",
        "policy.E001",
        "[policy] backoff_limit_seconds",
    ),
    ("[models", '[hosts.e9]\nstate = "in"\n[models', "hosts.E001", "[hosts.e9]"),
)

OUT = 'region = "tyrol"\nstate = "out"'
ZONES = {"e1": "innsbruck", "e2": "lienz"}
DANGERS = (
    ('region = "tyrol"', OUT, CapacityInUse(), "zones.W001"),
    ('[zones.innsbruck]\nregion = "tyrol"', "", CapacityInUse(), "zones.W002"),
    ('["e1", "e2"]', '["e1"]', CapacityInUse({"fitting": 9}), "capacity.W001"),
    (
        '[zones.lienz]\nregion = "tyrol"',
        f"[zones.lienz]\n{OUT}",
        CapacityInUse({"fitting": 9}, {}, ZONES),
        "capacity.W001",
    ),
    (
        "[models",
        "[hosts.e1]\n[hosts.e2]\n[models",
        CapacityInUse(),
        "capacity.W001",
    ),
    (
        "[workspaces.axams]",
        "[workspaces.other]",
        CapacityInUse({}, {"axams": 1}),
        "workspaces.W001",
    ),
    ("key_digests = ", "# ", CapacityInUse(), "workspaces.W002"),
    ("at-most-once", "idempotent", CapacityInUse(), "services.W001"),
)
ORDINARY_CHANGES = (
    ('["e1", "e2"]', '["e1"]', CapacityInUse({"fitting": 8})),
    ("slots = 8", "slots = 9", CapacityInUse({"fitting": 900})),
    ("[workspaces.axams]", "[workspaces.other]", CapacityInUse()),
    ("[models", "[hosts.e1]\n[models", CapacityInUse()),
)


class CheckTests(testtools.TestCase):
    """Check which faults and dangers are found."""

    def test_a_valid_document_passes(self) -> None:
        """Check that a valid document has no faults."""
        check_document(read_toml(DOCUMENT).document)

    def test_each_fault_is_found(self) -> None:
        """Check that each fault has its id and names the file and a hint."""
        for before, after, check_id, expected in FAULTS:
            text = DOCUMENT.replace(before, after)
            faults = self._faults(text)
            self.assertEqual([check_id], [fault.check_id for fault in faults], text)
            self.assertIn(expected, str(faults[0]))
            self.assertIn("d.toml", str(faults[0]))

    def test_pools_need_zones(self) -> None:
        """Check that pools without any zone are refused."""
        text = DOCUMENT[DOCUMENT.index("[capacity") :]
        self.assertEqual(["zones.E001"], [f.check_id for f in self._faults(text)])

    def test_all_faults_come_at_once(self) -> None:
        """Check that the faults of several sections are reported together."""
        text = DOCUMENT.replace("slots = 8", "slots = 1").replace('["s1"]', "[]")
        self.assertEqual(2, len(self._faults(text)))

    def _faults(self, text: str) -> tuple:
        try:
            check_document(read_toml(text).document, "d.toml")
        except DocumentInvalid as group:
            return group.exceptions
        return ()

    def test_each_danger_is_found(self) -> None:
        """Check that each dangerous change is reported and refused."""
        before = read_toml(DOCUMENT).document
        for old, new, in_use, check_id in DANGERS:
            after = read_toml(DOCUMENT.replace(old, new)).document
            found = [danger.check_id for danger in find_dangers(before, after, in_use)]
            self.assertEqual([check_id], found, (old, new))
            self.assertRaises(DocumentInvalid, check_change, before, after, in_use)

    def test_ordinary_changes_pass(self) -> None:
        """Check that ordinary changes have no dangers."""
        before = read_toml(DOCUMENT).document
        for old, new, in_use in ORDINARY_CHANGES:
            after = read_toml(DOCUMENT.replace(old, new)).document
            self.assertEqual((), find_dangers(before, after, in_use), (old, new))
