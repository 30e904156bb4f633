"""Tell whether a promise held."""

from attrs import frozen

SHOWN_BREACHES = 5


@frozen
class Verdict:
    """Tell whether a promise held, in how many cases, and where it did not."""

    promise: str
    cases: int
    breaches: tuple[str, ...] = ()

    @property
    def held(self) -> bool:
        """Tell whether no case broke the promise."""
        return not self.breaches

    def __str__(self) -> str:
        word = "held" if self.held else "BROKEN"
        if not self.cases:
            word = "not tried"
        lines = [f"{word:9} {self.promise} ({self.cases} cases)"]
        lines += [f"          {breach}" for breach in self.breaches[:SHOWN_BREACHES]]
        if len(self.breaches) > SHOWN_BREACHES:
            lines.append(f"          and {len(self.breaches) - SHOWN_BREACHES} more")
        return "\n".join(lines)
