"""Check the pages for dead links and for agreement with the code."""

import pathlib
import re

import attrs
import testtools

from teaselpond.settings import Settings
from teaselpond_standins.commands import load_commands

ROOT = pathlib.Path(__file__).resolve().parents[3]
LINK = re.compile(r"\]\(([^)#\s]+)[^)]*\)")
STANDIN_COMMAND = re.compile(r"python -m teaselpond_standins ([a-z][a-z_-]*)")


def pages() -> list[pathlib.Path]:
    """Return every page of the repository."""
    return [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]


class PageTests(testtools.TestCase):
    """Check every page."""

    def test_relative_links_exist(self) -> None:
        """Find the target of each relative link."""
        dead = [
            f"{page.relative_to(ROOT)}: {target}"
            for page in pages()
            for target in LINK.findall(page.read_text())
            if "://" not in target and not (page.parent / target).exists()
        ]
        self.assertGreater(len(pages()), 20)
        self.assertEqual([], dead)

    def test_commands_exist(self) -> None:
        """Know each command of the stand-ins that a page names."""
        known = {name.replace("_", "-") for name in load_commands()}
        unknown = [
            f"{page.relative_to(ROOT)}: {name}"
            for page in pages()
            for name in STANDIN_COMMAND.findall(page.read_text())
            if name.replace("_", "-") not in known
        ]
        self.assertEqual([], unknown)

    def test_every_setting_is_described(self) -> None:
        """Describe exactly the existing settings on their page."""
        text = (ROOT / "docs/reference/settings.md").read_text()
        described = set(re.findall(r"^\| `--(\w+)`", text, re.M))
        self.assertEqual({field.name for field in attrs.fields(Settings)}, described)
