"""Weigh whether a trait of requests explains that upstreams crashed."""

import bisect
import math
from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field, frozen

from .traits import Scope, Trait

# A trait that ended this many processes is refused; fewer may be coincidental
# failures of the upstreams. Parts that more prompts share need more evidence:
# the requests that crash upstreams have a narrower trait as well, which is
# enough to refuse them.
MIN_ENDS_BY_SCOPE = {
    Scope.REQUEST: 3,
    Scope.LAST_SHARED_PART: 3,
    Scope.EARLIER_PART: 5,
    Scope.PATH: 3,
}
# So many of these must have ended one after another. Processes that end
# together have another cause. The same request may be running at several
# upstreams at such a time; a part that is, is soon answered elsewhere.
MIN_SEQUENTIAL_ENDS_BY_SCOPE = {
    Scope.REQUEST: 3,
    Scope.LAST_SHARED_PART: 2,
    Scope.EARLIER_PART: 2,
}
# So many must not be explained by another trait that is refused already.
MIN_UNEXPLAINED_ENDS = 2
# Traits of these scopes are put on probation by as many ends that are not
# enough to refuse them. Parts are not: an answer that begins to any prompt
# with a part clears it.
PROBATION_SCOPES = frozenset({Scope.REQUEST, Scope.PATH})
# So many of these ends must be of processes that the store told apart.
MIN_PROCESSES_ON_PROBATION = 2
# Traits of these scopes are refused only after a probation, as sound requests
# may have them too.
PROBATION_ONLY_SCOPES = frozenset({Scope.PATH})
# Bounds memory. A refused request that still comes may end many processes.
MAX_ENDS = 32
# No upstream that ended is back sooner. A host may go on with what it has read
# of its entry before, as while the store is away, and take the new process for
# the one that ended.
MIN_RESTART_SECONDS = 0.4
# Two hosts may disagree by this much on the times of an event.
TIME_ERROR_SECONDS = 0.05


@frozen
class EndedProcess:
    """Record that a request with a trait ended a process of an upstream.

    Times are on the boot clock: when the request was sent to the process, and
    when that ended.
    """

    trait: Trait
    process_key: int
    sent_at: float
    at: float

    def is_of_same_process(self, other: "EndedProcess") -> bool:
        """Return whether both tell of the end of one process."""
        return (
            self.process_key == other.process_key
            and self.sent_at < other.at + MIN_RESTART_SECONDS
            and other.sent_at < self.at + MIN_RESTART_SECONDS
        )


@define
class Suspect:
    """Hold which processes requests with a trait ended, in order.

    ``quarantined_at`` is when the last of them ended, None if the trait is
    not refused. ``accused_at`` is when the newest request was sent that counts
    against the trait at any host. ``on_probation_at`` is when the one ended
    that put the trait on probation, None if it is not on probation.
    ``cleared_at`` is when it was last shown to be harmless. ``tried_at`` is
    when a request was last sent in spite of the quarantine or the probation.
    ``is_own`` tells whether this host saw one of the processes end.
    """

    trait: Trait
    ends: list[EndedProcess] = field(factory=list)
    quarantined_at: float | None = None
    accused_at: float = -math.inf
    on_probation_at: float | None = None
    cleared_at: float = -math.inf
    tried_at: float = -math.inf
    is_own: bool = False

    @property
    def changed_at(self) -> float:
        """Return the time of the last event."""
        ends = (ended.at for ended in self.ends)
        states = (self.quarantined_at or 0.0, self.on_probation_at or 0.0)
        return max((*ends, *states, self.cleared_at))

    @property
    def is_repeated(self) -> bool:
        """Return whether one failing upstream alone does not explain it."""
        return len(self.ends) > 1

    @property
    def process_count(self) -> int:
        """Return how many processes ended that the store told apart."""
        return len({ended.process_key for ended in self.ends})

    def knows(self, ended: EndedProcess) -> bool:
        """Return whether the end of a process is known."""
        return any(ended.is_of_same_process(known) for known in self.ends)

    def add(self, ended: EndedProcess) -> None:
        """Add a process; a quarantine lasts longer from then on."""
        if ended.trait.scope > self.trait.scope:
            self.trait = ended.trait
        bisect.insort(self.ends, ended, key=lambda known: known.at)
        del self.ends[:-MAX_ENDS]
        self.accused_at = max(ended.sent_at, self.accused_at)
        if self.quarantined_at is not None:
            self.quarantined_at = max(ended.at, self.quarantined_at)

    def was_sent_on_probation(self, ended: EndedProcess) -> bool:
        """Return whether a request was sent in spite of the probation."""
        return (
            self.on_probation_at is not None
            and ended.sent_at > self.on_probation_at + TIME_ERROR_SECONDS
        )

    def has_enough_ends(self, scope: Scope | None = None) -> bool:
        """Return whether the trait explains enough processes that ended.

        ``scope`` is the one whose limits hold, that of the trait if None.
        """
        scope = self.trait.scope if scope is None else scope
        return (
            self.process_count >= MIN_ENDS_BY_SCOPE[scope]
            and self.count_sequential_ends() >= MIN_SEQUENTIAL_ENDS_BY_SCOPE[scope]
        )

    def needs_probation(self, refused: Iterable["Suspect"]) -> bool:
        """Return whether the trait may explain enough processes that ended.

        ``refused`` are parts of prompts. An upstream that started again counts
        twice, unless it is the only one: others may break off all it is sent.
        """
        return (
            self.trait.scope in PROBATION_SCOPES
            and len(self.ends) >= MIN_ENDS_BY_SCOPE[self.trait.scope]
            and self.process_count >= MIN_PROCESSES_ON_PROBATION
            and self.has_unexplained_ends(refused)
        )

    def explains(self, other: "Suspect") -> bool:
        """Return whether this trait may have ended all that another did."""
        return all(self.knows(ended) for ended in other.ends)

    def has_unexplained_ends(self, refused: Iterable["Suspect"]) -> bool:
        """Return whether refused traits leave enough processes to explain.

        Those that this trait explains better do not count: several may have
        been refused in place of it.
        """
        refused = [each for each in refused if not self._explains_better(each)]
        unexplained = sum(
            not any(suspect.knows(ended) for suspect in refused) for ended in self.ends
        )
        return unexplained >= MIN_UNEXPLAINED_ENDS

    def _explains_better(self, other: "Suspect") -> bool:
        more = len(self.ends) - len(other.ends)
        return more >= MIN_UNEXPLAINED_ENDS and self.explains(other)

    def count_sequential_ends(self) -> int:
        """Return how many processes ended, each after the one before it.

        Each was sent a request after the last one had ended.
        """
        count = 0
        last_at = -math.inf
        for ended in self.ends:
            if ended.sent_at > last_at - TIME_ERROR_SECONDS:
                count += 1
                last_at = ended.at
        return count

    def clear(self, at: float) -> bool:
        """Forget what was sent before an answer; return whether any was.

        A quarantine ends if all of its evidence is older, whichever host knows
        it. A probation ends if it is older, or if some of its evidence is.
        """
        self.cleared_at = max(at, self.cleared_at)
        kept = [ended for ended in self.ends if ended.sent_at > at]
        is_older = self.quarantined_at is not None and self.accused_at <= at
        is_changed = len(kept) < len(self.ends) or is_older
        if is_older:
            self.quarantined_at = None
        if self.on_probation_at is not None and (
            is_changed or self.on_probation_at <= at
        ):
            self.on_probation_at = None
            is_changed = True
        self.ends = kept
        return is_changed


@define
class SuspectTable:
    """Keep the newest suspects up to a limit, oldest first."""

    limit: int
    suspects_by_fingerprint: OrderedDict[bytes, Suspect] = field(factory=OrderedDict)

    def put(self, suspect: Suspect) -> None:
        """Keep a changed suspect as the newest one."""
        fingerprint = suspect.trait.fingerprint
        self.suspects_by_fingerprint[fingerprint] = suspect
        self.suspects_by_fingerprint.move_to_end(fingerprint)
        if len(self.suspects_by_fingerprint) > self.limit:
            self.suspects_by_fingerprint.popitem(last=False)

    def remove(self, fingerprint: bytes) -> None:
        """Remove a suspect if it is here."""
        self.suspects_by_fingerprint.pop(fingerprint, None)

    def expire(self, oldest: float) -> None:
        """Remove the suspects that have not changed since a time."""
        while self.suspects_by_fingerprint:
            fingerprint, suspect = next(iter(self.suspects_by_fingerprint.items()))
            if suspect.changed_at > oldest:
                break
            del self.suspects_by_fingerprint[fingerprint]
