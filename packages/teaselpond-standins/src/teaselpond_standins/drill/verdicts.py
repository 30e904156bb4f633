"""Tell whether a promise held."""

from attrs import frozen

MAX_SHOWN_VIOLATIONS = 5


@frozen
class Verdict:
    """Tell whether a promise held, in how many cases, and where it did not."""

    promise: str
    cases: int
    violations: tuple[str, ...] = ()

    @property
    def held(self) -> bool:
        """Tell whether no case broke the promise."""
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
