"""Define the result of a check."""

from attrs import frozen

MAX_SHOWN_VIOLATIONS = 5


@frozen
class Verdict:
    """Hold the result of checking one promise.

    ``cases`` is the number of cases checked; each violation is described by
    one line of ``violations``.
    """

    promise: str
    cases: int
    violations: tuple[str, ...] = ()

    @property
    def held(self) -> bool:
        """Return whether the promise held in every case."""
        return not self.violations

    def __str__(self) -> str:
        word = "held" if self.held else "BROKEN"
        if not self.cases:
            word = "not tried"
        lines = [f"{word:9} {self.promise} ({self.cases} cases)"]
        lines += [
            f"          {violation}"
            for violation in self.violations[:MAX_SHOWN_VIOLATIONS]
        ]
        if len(self.violations) > MAX_SHOWN_VIOLATIONS:
            lines.append(
                f"          and {len(self.violations) - MAX_SHOWN_VIOLATIONS} more"
            )
        return "\n".join(lines)
