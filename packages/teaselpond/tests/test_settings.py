"""Test the settings, their checks and the log format."""

import json
import logging

import testtools
from attrs import evolve

from teaselpond.checks import run_checks
from teaselpond.logs import JsonFormatter
from teaselpond.settings import Settings, load_settings

KEY = "k" * 16
VALID = Settings(
    daemon_id="entry-1",
    zone="lienz",
    platform="http://127.0.0.1:1",
    link_keys=(KEY,),
    token_keys=(KEY,),
)
INVALID_CHANGES = (
    ("settings.E001", {"daemon_id": ""}),
    ("settings.E001", {"zone": ""}),
    ("settings.E002", {"platform": "127.0.0.1:1"}),
    ("settings.E003", {"listen": "nowhere"}),
    ("settings.E003", {"statsd": "nowhere"}),
    ("settings.E004", {"link_keys": ()}),
    ("settings.E005", {"token_keys": ("short",)}),
    ("settings.E006", {"locate_ttl_seconds": 0.0}),
    ("settings.E006", {"max_body_bytes": -1}),
    ("settings.E007", {"log_level": "loud"}),
)


class SettingsTests(testtools.TestCase):
    """Check that settings are read from their sources and validated."""

    def test_flags_take_precedence_over_the_environment(self) -> None:
        """Read settings from a flag, an environment variable and a default."""
        environment = {
            "TEASELPOND_ZONE": "lienz",
            "TEASELPOND_DAEMON_ID": "other",
            "TEASELPOND_LINK_KEYS": f"{KEY}, {KEY}2",
        }
        settings = load_settings({"daemon_id": "entry-1"}, environment)
        self.assertEqual(
            ("entry-1", "lienz", (KEY, f"{KEY}2"), "127.0.0.1:0"),
            (settings.daemon_id, settings.zone, settings.link_keys, settings.listen),
        )

    def test_all_unreadable_values_are_reported_at_once(self) -> None:
        """Report both of two settings that are not numbers."""
        environment = {"TEASELPOND_MAX_BODY_BYTES": "much"}
        with testtools.ExpectedException(ExceptionGroup):
            load_settings({"locate_ttl_seconds": "soon"}, environment)
        try:
            load_settings({"locate_ttl_seconds": "soon"}, environment)
        except ExceptionGroup as group:
            self.assertEqual(2, len(group.exceptions))

    def test_each_invalid_setting_is_reported(self) -> None:
        """Report each invalid setting by its check id; accept valid ones."""
        run_checks(VALID)
        for check_id, changes in INVALID_CHANGES:
            try:
                run_checks(evolve(VALID, **changes))
            except ExceptionGroup as group:
                messages = [str(error) for error in group.exceptions]
                self.assertEqual(
                    [check_id], [message.split(":")[0] for message in messages]
                )
            else:
                self.fail(f"{changes} passed")

    def test_keys_are_not_public(self) -> None:
        """Omit every key from the settings that are logged."""
        self.assertNotIn(KEY, json.dumps(VALID.public()))


class LogTests(testtools.TestCase):
    """Check the format of log lines."""

    def test_a_line_is_one_json_object(self) -> None:
        """Format a message with a line break and fields."""
        record = logging.makeLogRecord(
            {"msg": "a\nb", "fields": {"request_id": "r1", "step": "send"}}
        )
        line = JsonFormatter("entry-1").format(record)
        self.assertNotIn("\n", line)
        values = json.loads(line)
        self.assertEqual(
            ("a\nb", "r1", "send", "entry-1"),
            tuple(values[k] for k in ("message", "request_id", "step", "daemon")),
        )
