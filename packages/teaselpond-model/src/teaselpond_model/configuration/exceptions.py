"""Define the errors of parsing, checking and committing documents."""

from ..exceptions import ImproperlyConfigured, TeaselpondError


class DocumentError(ImproperlyConfigured):
    """Report one fault with its file, section, key and what is allowed."""

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
        location = ": ".join(part for part in (self.file, self._entry()) if part)
        hint = f" ({self.hint})" if self.hint else ""
        return f"{location}: {self.message}{hint} [{self.check_id}]"

    def _entry(self) -> str:
        return f"[{self.section}] {self.key}".strip() if self.section else self.key


class DangerousChange(DocumentError):
    """Report a valid but dangerous change, accepted only when forced."""


class DocumentInvalid(ExceptionGroup):
    """Group all faults of one document."""

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
    """Report a version that is not in the history, or no longer is."""


class ReplicaBroken(TeaselpondError):
    """Report entries that don't match the digests of their head."""


class CommitUnsettled(TeaselpondError):
    """Report a commit whose outcome could not be determined."""

    def __init__(self, apply_id: str) -> None:
        super().__init__(
            f"it isn't known whether the change {apply_id} was accepted; "
            "look for it in the history before trying again",
            step="commit the configuration",
        )
        self.apply_id = apply_id
