"""Remember when parts of prompts were last answered."""

from collections.abc import Iterable

from attrs import define, field

# Bounds memory: a hundred bytes per part, in two generations.
GENERATION_SIZE = 16 * 1024


@define
class AnsweredParts:
    """Remember the parts of the newest answers.

    The older generation is dropped as a whole, so that recording the many
    parts of a long prompt costs little for each.
    """

    _at_by_fingerprint: dict[bytes, float] = field(factory=dict)
    _older_at_by_fingerprint: dict[bytes, float] = field(factory=dict)

    def record(self, fingerprints: Iterable[bytes], now: float) -> None:
        """Record the parts of an answer that has begun."""
        self._at_by_fingerprint.update(dict.fromkeys(fingerprints, now))
        if len(self._at_by_fingerprint) > GENERATION_SIZE:
            self._older_at_by_fingerprint = self._at_by_fingerprint
            self._at_by_fingerprint = {}

    def get(self, fingerprint: bytes) -> float | None:
        """Return when a part was last answered, None if that is not known."""
        at = self._at_by_fingerprint.get(fingerprint)
        return self._older_at_by_fingerprint.get(fingerprint) if at is None else at
