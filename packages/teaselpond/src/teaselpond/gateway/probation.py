"""Send requests that may crash upstreams one at a time.

The result of the one that is sent tells whether its trait is harmless. All
hosts hear of it before they send the next one.
"""

from collections.abc import Iterable, Iterator

from attrs import define, field

from .suspects import Suspect, SuspectTable
from .traits import Trait

# Requests are sent this far apart at least. The result of most is known by
# then.
TRIAL_GAP_SECONDS = 0.5
# Bounds memory: some hundred bytes per trait.
MAX_ON_PROBATION = 1024


@define
class Probation:
    """Hold the suspects on probation, and decide which requests are sent."""

    table: SuspectTable = field(factory=lambda: SuspectTable(MAX_ON_PROBATION))

    def holds(self, traits: Iterable[Trait]) -> bool:
        """Return whether requests with these traits are sent one at a time."""
        return any(True for _ in self._suspects(traits))

    def is_free(self, traits: Iterable[Trait], now: float) -> bool:
        """Return whether no request with these traits was sent lately."""
        return all(
            now - suspect.tried_at >= TRIAL_GAP_SECONDS
            for suspect in self._suspects(traits)
        )

    def start_trial(self, traits: Iterable[Trait], now: float) -> bool:
        """Return whether to send a request now; the next ones wait for it."""
        if not self.is_free(traits, now):
            return False
        for suspect in self._suspects(traits):
            suspect.tried_at = now
        return True

    def _suspects(self, traits: Iterable[Trait]) -> Iterator[Suspect]:
        by_fingerprint = self.table.suspects_by_fingerprint
        if not by_fingerprint:
            return
        for trait in traits:
            suspect = by_fingerprint.get(trait.fingerprint)
            if suspect is not None:
                yield suspect
