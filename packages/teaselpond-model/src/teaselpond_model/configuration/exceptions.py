"""Define the errors of reading, checking and committing documents."""

from ..exceptions import ImproperlyConfigured, TeaselpondError


class DocumentError(ImproperlyConfigured):
    """Name the file, section and key of one fault, and what is allowed."""

    def __init__(
        self,
        message: str,
        *,
        check_id: str,
        section: str = "",
        key: str = "",
        hint: str = "",
        file: str = "",
    ) -> None:
        super().__init__(message, step="check the configuration")
        self.message = message
        self.check_id = check_id
        self.section = section
        self.key = key
        self.hint = hint
        self.file = file

    def __str__(self) -> str:
        where = ": ".join(part for part in (self.file, self._entry()) if part)
        hint = f" ({self.hint})" if self.hint else ""
        return f"{where}: {self.message}{hint} [{self.check_id}]"

    def _entry(self) -> str:
        return f"[{self.section}] {self.key}".strip() if self.section else self.key


class DangerousChange(DocumentError):
    """Report a valid change that is only accepted when it is forced."""


class DocumentInvalid(ExceptionGroup):
    """Hold every fault of one document."""

    def derive(self, excs):
        """Build the group that ``split`` and ``subgroup`` return."""
        return DocumentInvalid(self.message, excs)


class ConfigurationConflict(TeaselpondError):
    """Report that others changed the same sections since the base version."""

    def __init__(self, sections: tuple[str, ...], diff: str, base: int, head: int):
        super().__init__(
            f"sections changed by others between version {base} and {head}: "
            f"{', '.join(sections)}",
            step="commit the configuration",
        )
        self.sections = sections
        self.diff = diff


class HistoryLost(TeaselpondError):
    """Report that a version is older than the history that is kept."""


class ReplicaBroken(TeaselpondError):
    """Report entries that don't give the version that their head names."""


class CommitUnsettled(TeaselpondError):
    """Report a commit of which it couldn't be learned if it took effect."""

    def __init__(self, apply_id: str) -> None:
        super().__init__(
            f"it isn't known whether the change {apply_id} was accepted; "
            "look for it in the history before trying again",
            step="commit the configuration",
        )
        self.apply_id = apply_id
