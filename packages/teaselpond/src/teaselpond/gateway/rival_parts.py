"""Tell the part of prompts that crashes upstreams from those that it is with.

Prompts that crash upstreams may share several parts, and may come faster than
sound ones with some of these are answered. All of these parts explain the
crashes then, and only answers tell which of them does cause them: those from
before the crashes too.
"""

import math
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence

from attrs import define

from .suspects import Suspect, SuspectTable
from .traits import Scope, Trait


@define
class RivalParts:
    """Compare parts that explain the same crashes.

    ``tables`` hold those that ended several processes. ``cleared_at`` returns
    when a part was last answered.
    """

    tables: Sequence[SuspectTable]
    cleared_at: Callable[[Suspect], float]

    def of(self, suspect: Suspect) -> list[Suspect]:
        """Return the other parts that explain all evidence against a part."""
        return [other for other in self._others(suspect) if other.explains(suspect)]

    def likeliest_culprit(self, suspect: Suspect) -> Suspect:
        """Return what to refuse if the evidence is enough for a trait.

        That is another part that explains it if that one was never answered,
        but this one was.
        """
        if not self._was_answered(suspect):
            return suspect
        return self._most_accused(self.of(suspect)) or suspect

    def remaining_culprit(
        self, rivals: Iterable[Suspect], refused: Collection[Suspect]
    ) -> Suspect | None:
        """Return which of some parts to refuse in place of a cleared one.

        ``rivals`` explained the same crashes, ``refused`` are the traits that
        are refused already.
        """
        return self._most_accused(
            rival
            for rival in rivals
            if rival.quarantined_at is None
            and rival.has_enough_ends(Scope.LAST_SHARED_PART)
            and rival.has_unexplained_ends(refused)
        )

    def tells_apart(self, traits: Iterable[Trait], suspect: Suspect) -> bool:
        """Return whether a request's result tells a part from a rival of it.

        Parts that were answered cast no doubt on one that never was. A host
        that knows little of the evidence leaves that to others.
        """
        fingerprints = {trait.fingerprint for trait in traits}
        was_answered = self._was_answered(suspect)
        return any(
            other.trait.fingerprint not in fingerprints
            and other.explains(suspect)
            and other.has_enough_ends(Scope.LAST_SHARED_PART)
            and (was_answered or not self._was_answered(other))
            for other in self._others(suspect)
        )

    def is_explained(self, suspect: Suspect) -> bool:
        """Return whether a refused part explains all that another one did.

        That one was answered before, and the refused one never was. Two hosts
        may have decided at the same time, with different evidence.
        """
        return self._was_answered(suspect) and any(
            other.quarantined_at is not None
            and other.explains(suspect)
            and not self._was_answered(other)
            for other in self._others(suspect)
        )

    def _others(self, suspect: Suspect) -> Iterator[Suspect]:
        """Yield the other parts, if the suspect is an accused part."""
        if not suspect.trait.is_part or not suspect.ends:
            return
        for table in self.tables:
            for other in table.suspects_by_fingerprint.values():
                if other.trait.is_part and other is not suspect:
                    yield other

    def _most_accused(self, suspects: Iterable[Suspect]) -> Suspect | None:
        """Return the one with most ends of those that were never answered."""
        never_answered = (each for each in suspects if not self._was_answered(each))
        return max(never_answered, key=lambda each: len(each.ends), default=None)

    def _was_answered(self, suspect: Suspect) -> bool:
        return self.cleared_at(suspect) > -math.inf
