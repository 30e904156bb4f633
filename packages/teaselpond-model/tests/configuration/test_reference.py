"""Check that the reference page of the document matches the code."""

import json
import re
from pathlib import Path

import attrs
import testtools
from attrs import NOTHING, Factory

from teaselpond_model.configuration import SECTIONS_BY_NAME
from teaselpond_model.configuration.rules import rule_of

ROOT = Path(__file__).parents[4]
SOURCES = ROOT / "packages/teaselpond-model/src/teaselpond_model/configuration"
PAGE = ROOT / "docs/reference/configuration-document.md"


class ReferenceTests(testtools.TestCase):
    """Check the page against the rules and the checks."""

    def test_every_key_is_described(self) -> None:
        """Check that the page has each key, its allowed values and default."""
        page = PAGE.read_text()
        for section in SECTIONS_BY_NAME.values():
            self.assertIn(f"## `[{section.header('ID')}]`", page)
            for attribute in attrs.fields(section.item_type):
                rule = rule_of(attribute)
                if rule is None:
                    continue
                default = self._default(attribute, rule)
                row = f"| `{attribute.name}` | {rule.allowed} | {default} |"
                self.assertIn(row, page)

    def _default(self, attribute, rule) -> str:
        if attribute.default is NOTHING:
            return "needed"
        if isinstance(attribute.default, Factory):
            return "`[]`"
        return f"`{json.dumps(rule.write(attribute.default))}`"

    def test_every_check_is_described(self) -> None:
        """Check that the page has exactly the check ids of the code."""
        pattern = re.compile(r"\b[a-z]+\.[EW]\d{3}\b")
        code = "".join(path.read_text() for path in SOURCES.glob("*.py"))
        self.assertEqual(
            sorted(set(pattern.findall(code))),
            sorted(set(pattern.findall(PAGE.read_text()))),
        )
