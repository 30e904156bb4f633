"""Check, show, compare, apply and undo the configuration."""

import time
from pathlib import Path

import tomli_w
from fire import decorators

from teaselpond_model.configuration import (
    ParsedDocument,
    check_document,
    read_toml,
    render_changes,
)
from teaselpond_model.configuration.entries import document_from_values
from teaselpond_model.configuration.proposals import (
    DocumentProposal,
    RollbackProposal,
)
from teaselpond_model.configuration.replica import Replica
from teaselpond_model.configuration.writing import document_to_tables

from ..exceptions import CommandRefused, CommandUsage
from .base import DEFAULT_WAIT_SECONDS, Command

HEAD_VERSION = "head"


def read_document(path: str) -> ParsedDocument:
    """Read and validate a configuration document.

    Raise CommandUsage if the file can't be read and DocumentInvalid if its
    content is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandUsage(f"document {path} can't be read: {error}") from error
    parsed = read_toml(text, path)
    check_document(parsed.document, path)
    return parsed


def choose_base(parsed: ParsedDocument, base: str, head_version: int) -> int:
    """Return the version that an edited document is based on.

    ``base`` takes precedence over the version in the document. Raise
    CommandUsage if ``base`` is not a version, and CommandRefused if neither of
    them names one.
    """
    if base == HEAD_VERSION:
        return head_version
    if base:
        if not base.isdigit():
            raise CommandUsage(
                f"--base: expected a version or {HEAD_VERSION!r}, got {base!r}"
            )
        return int(base)
    if parsed.base_version is not None:
        return parsed.base_version
    if head_version == 0:
        return 0
    raise CommandRefused(
        "the document names no base version: edit the output of "
        "`teaselpondctl config show`, or give --base=VERSION "
        f"(the latest is {head_version})"
    )


class ConfigCommand(Command):
    """Check, show, compare, apply and undo the configuration."""

    @decorators.SetParseFn(str, "file")
    async def check(self, file: str) -> None:
        """Validate a document without changing anything."""
        parsed = read_document(file)
        count = sum(1 for _ in parsed.document.items())
        self._output.print_text(f"{file} is valid: {count} items")
        self._output.print_json({"valid": True, "items": count})

    @decorators.SetParseFn(str, "version")
    async def show(self, version: str = "") -> None:
        """Print the configuration document, by default its latest version."""
        if version and not version.isdigit():
            raise CommandUsage(f"--version: expected a number, got {version!r}")
        async with self._open_session() as session:
            replica = await session.store.load()
            number = int(version) if version else replica.head.version
            values = await session.store.values_at(replica, number)
        tables = document_to_tables(document_from_values(values), number)
        self._output.print_text(tomli_w.dumps(tables).rstrip())
        self._output.print_json(tables)

    @decorators.SetParseFn(str, "file", "base")
    async def diff(self, file: str, base: str = "") -> None:
        """Show the changes that applying a document would make."""
        parsed = read_document(file)
        async with self._open_session() as session:
            replica = await session.store.load()
            proposal = self._make_proposal(parsed, base, replica)
            edit = await session.store.edit(proposal, replica)
        head = replica.head.version
        changes = edit.rebase(replica.values_by_key(), head)
        self._output.print_text(render_changes(changes) or "nothing to change")
        self._output.print_json(
            [{"key": str(c.key), "before": c.before, "after": c.after} for c in changes]
        )

    @decorators.SetParseFn(str, "file", "base", "note")
    async def apply(
        self,
        file: str,
        base: str = "",
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
    ) -> None:
        """Commit a document as the next version.

        ``base`` is the version that the document was edited from, or ``head``
        for the latest; it defaults to the document's ``version``. ``force``
        allows dangerous changes.
        """
        parsed = read_document(file)
        async with self._open_session() as session:
            replica = await session.store.load()
            committed = await self._commit(
                session,
                self._make_proposal(parsed, base, replica),
                note=note,
                force=force,
                wait_seconds=wait_seconds,
                replica=replica,
            )
        self._output.print_text(
            f"base the next edit on version = {committed.version} "
            "(`teaselpondctl config show`)"
        )

    @decorators.SetParseFn(str, "version", "note")
    async def rollback(
        self,
        version: str,
        note: str = "",
        force: bool = False,
        wait_seconds: float = DEFAULT_WAIT_SECONDS,
    ) -> None:
        """Commit the content of an earlier version as the next version."""
        if not version.isdigit():
            raise CommandUsage(f"{version!r} is not a version number")
        async with self._open_session() as session:
            await self._commit(
                session,
                RollbackProposal(int(version)),
                note=note or f"rollback to version {version}",
                force=force,
                wait_seconds=wait_seconds,
            )

    async def history(self, limit: int = 20) -> None:
        """List the latest versions with their authors and changes."""
        async with self._open_session() as session:
            head = (await session.store.load()).head.version
            records = await session.store.history(max(head - limit, 0), head)
        rows = [
            {
                "version": record.version,
                "when": time.strftime("%F %T", time.gmtime(record.when)),
                "who": record.who,
                "sections": list(record.sections),
                "changes": len(record.changes),
                "apply_id": record.apply_id,
                "note": record.note,
            }
            for record in records
        ]
        columns = ("version", "when", "who", "sections", "changes", "apply_id", "note")
        self._output.print_table(rows, columns)

    def _make_proposal(
        self, parsed: ParsedDocument, base: str, replica: Replica
    ) -> DocumentProposal:
        version = choose_base(parsed, base, replica.head.version)
        return DocumentProposal(parsed.document, version)
