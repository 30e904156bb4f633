"""Test loading the settings file."""

import pathlib
import tempfile

import testtools

from teaselpond.platform.settings import SETTINGS_VARIABLE, load_settings
from teaselpond_model.exceptions import ImproperlyConfigured

TEXT = """
NodeName = "edge-1"
Ip = "10.0.0.1"
Zone = "zone-a"
Region = "region"
InternalPorts = [7000, 7015]
Seeds = ["10.0.0.1:8001", "10.0.0.2:8001"]
Bootstrap = true
Unknown = 1
[Listen]
Frontend = "10.0.0.1:8000"
Ready = "10.0.0.1:8002"
ControlAddr = "10.0.0.1:8001"
[Platform]
Address = "10.0.0.9:9000"
[Bounds]
GraceS = 8
RevokeMs = 5000
StrictRevoke = true
RetrySlack = 54
"""


class LoadSettingsTests(testtools.TestCase):
    """Test loading valid and invalid settings files."""

    def load(self, text: str):
        """Load settings from a file with the given text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text)
            return load_settings({SETTINGS_VARIABLE: str(path)})

    def test_whole_file(self) -> None:
        """Keys are decoded into the settings, unknown ones are ignored."""
        settings = self.load(TEXT)
        self.assertEqual("edge-1", settings.host)
        self.assertEqual(8000, settings.listeners.entry.port)
        self.assertIsNone(settings.listeners.directory)
        self.assertEqual(7000, settings.datagram_port)
        self.assertEqual(5.0, settings.bounds.revoke_seconds)
        self.assertTrue(settings.is_first_start)
        self.assertEqual(2, len(settings.seeds))

    def test_malformed_files(self) -> None:
        """Missing and malformed keys raise ImproperlyConfigured."""
        for text in (
            "",
            "NodeName = ",
            TEXT.replace('Ip = "10.0.0.1"', ""),
            TEXT.replace("10.0.0.9:9000", "nowhere"),
            TEXT.replace("[7000, 7015]", "[]"),
            TEXT.replace("RevokeMs = 5000", 'RevokeMs = "soon"'),
        ):
            self.assertRaises(ImproperlyConfigured, self.load, text)

    def test_no_file(self) -> None:
        """A missing file or variable raises ImproperlyConfigured."""
        self.assertRaises(ImproperlyConfigured, load_settings, {})
        missing = {SETTINGS_VARIABLE: "/nonexistent/settings.toml"}
        self.assertRaises(ImproperlyConfigured, load_settings, missing)
