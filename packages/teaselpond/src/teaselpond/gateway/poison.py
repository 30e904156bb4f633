"""Detect requests that crash the upstreams that run them.

Either one request does so, or all prompts with one part do. A trait of
requests that has ended several processes of upstreams is quarantined: requests
with it are sent to none any more. A crash also cuts harmless requests, so that
evidence counts for and against each trait of the requests that were cut. A
whole answer clears the request and the parts of its prompt, one that is well
underway the parts;
processes that a quarantined trait explains count little for others.

Where the evidence is weaker, the trait is put on probation first: one request
with it is sent at a time, until an answer clears it or another crash confirms
it. That is so for a path with all of its queries, and for requests whose
processes ended together or are explained by another request that is refused.

A part is refused only while no other one explains the same crashes better
(``rival_parts.py``). While another one explains them as well, a prompt without
that one is sent now and then.

Hosts pass on which processes a trait ended and whether it was answered, and
keep reminding one another of the quarantined ones. So a process that starts,
or was cut off, hears of them with its first heartbeats.
"""

import enum
import heapq
import itertools
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence

from attrs import define, field, frozen

from .accused_prompts import AccusedPrompt, AccusedPrompts, FragmentIndex
from .answered_parts import AnsweredParts
from .departures import process_key
from .engines import Engine
from .poison_news import (
    News,
    NewsKind,
    news_of,
    pack_news,
    quarantine_news,
    unpack_news,
)
from .probation import Probation
from .rival_parts import RivalParts
from .suspects import PROBATION_ONLY_SCOPES, EndedProcess, Suspect, SuspectTable
from .traits import Scope, Trait

# Callers that retry such a request do so within this time.
POISON_SECONDS = 600.0
# One request with a refused part or path is sent each time after this long: it
# may have been refused wrongly, or the upstreams mended. If it still crashes
# upstreams, it costs one of them in this time.
QUARANTINE_TRIAL_SECONDS = 120.0
# The same for a prompt whose result tells two parts apart. Answers under way
# may do so by then.
DOUBTFUL_TRIAL_SECONDS = 1.0
# The end of a process is passed on to peers for this long after it became
# known, in which most hosts of a large fleet hear of it.
RELAYED_SECONDS = 1.5
# Bounds memory: some hundred bytes per trait. Every upstream that fails breaks
# off many harmless requests, which must not displace the others.
MAX_SUSPECTS = 4096
MAX_REPEATED_SUSPECTS = 4096
MAX_QUARANTINED = 1024
# Of a prompt with more parts, only those are accused that may be in other
# prompts that crashed upstreams, or are suspected already.
MAX_LONE_PARTS = 8
# Bounds a heartbeat: together hardly above a kilobyte.
MAX_RELAYED = 32
MAX_RELAYED_CLEARED = 16
MAX_REMINDERS = 16
# Hosts that missed the answer remind others of the quarantine. They are told
# of the answer for this long.
CLEARED_SECONDS = 60.0
PROCESS_KEY_MASK = 0xFFFFFFFF


@frozen
class QuarantineChange:
    """Report a trait that is refused from now on, or no longer."""

    trait: Trait
    is_quarantined: bool


class Standing(enum.Enum):
    """Define how requests with a trait are served."""

    SERVED = enum.auto()
    ON_PROBATION = enum.auto()
    QUARANTINED = enum.auto()


@frozen
class StandingChange:
    """Report how requests with a trait are served from now on."""

    trait: Trait
    standing: Standing


@define
class PoisonTracker:
    """Count the processes that each trait ended, on all hosts.

    ``own_changes`` are the quarantines and probations that began by evidence
    of which this host saw a part, or that ended since or by an answer to this
    host, until they are taken out. ``probation`` decides on requests that may
    crash upstreams. ``announce`` sends news to all peers at once, ``keep``
    writes own changes to the store soon.
    """

    rng: random.Random = field(factory=random.Random)
    announce: Callable[[], None] = lambda: None
    keep: Callable[[], None] = lambda: None
    own_changes: deque[StandingChange] = field(
        factory=lambda: deque(maxlen=MAX_QUARANTINED)
    )
    probation: Probation = field(factory=Probation)
    accused_prompts: AccusedPrompts = field(factory=AccusedPrompts)
    _single: SuspectTable = field(factory=lambda: SuspectTable(MAX_SUSPECTS))
    _repeated: SuspectTable = field(factory=lambda: SuspectTable(MAX_REPEATED_SUSPECTS))
    _quarantined: SuspectTable = field(factory=lambda: SuspectTable(MAX_QUARANTINED))
    _answered: AnsweredParts = field(factory=AnsweredParts)
    _newest: deque[EndedProcess] = field(
        factory=lambda: deque(maxlen=MAX_SUSPECTS), init=False
    )
    _newest_cleared: deque[tuple[bytes, float]] = field(
        factory=lambda: deque(maxlen=MAX_SUSPECTS), init=False
    )
    _denied_until_by_fingerprint: OrderedDict[bytes, float] = field(
        factory=OrderedDict, init=False
    )
    _heard_changes: list[QuarantineChange] = field(factory=list, init=False)
    _rivals: RivalParts = field(init=False)

    @_rivals.default
    def _make_rivals(self) -> RivalParts:
        return RivalParts((self._quarantined, self._repeated), self._cleared_at)

    def __attrs_post_init__(self) -> None:
        self.accused_prompts.on_new = self._accuse_known_parts

    def record_own(
        self, traits: Iterable[Trait], engine: Engine, sent_at: float, now: float
    ) -> list[Trait]:
        """Record that a request of this host ended an upstream's process.

        ``traits`` are those that may have caused it, the narrowest first.
        Return those that are quarantined from now on.
        """
        key = process_key(engine) & PROCESS_KEY_MASK
        traits = tuple(traits)
        parts = [trait for trait in traits if trait.is_part]
        earlier = self._earlier_ends(parts)
        if len(parts) > MAX_LONE_PARTS:
            prompt = AccusedPrompt.of_parts(parts, key, sent_at, now)
            self.accused_prompts.add(prompt)
            traits = self._without_lone_parts(traits, earlier)
        ends = [EndedProcess(trait, key, sent_at, now) for trait in traits]
        quarantined = self._record_all(ends, now, is_own=True, earlier=earlier)
        if quarantined:
            self.announce()
        return quarantined

    def record(self, ended: EndedProcess, now: float) -> list[Trait]:
        """Record an ended process; return the traits refused from now on.

        A process that ends later prolongs a quarantine.
        """
        return self._record_all((ended,), now, is_own=False)

    def _without_lone_parts(
        self, traits: Iterable[Trait], earlier: Iterable[EndedProcess]
    ) -> tuple[Trait, ...]:
        """Leave out the parts that no other crash is known to accuse."""
        found = {ended.trait.fingerprint for ended in earlier}
        return tuple(
            trait
            for trait in traits
            if not trait.is_part
            or trait.fingerprint in found
            or self._find(trait.fingerprint) is not None
        )

    def _earlier_ends(self, parts: Iterable[Trait]) -> list[EndedProcess]:
        """Return what earlier prompts tell against parts of a new one.

        What they tell against parts that are followed is known already.
        """
        unknown = [part for part in parts if not self._is_followed(part)]
        return [
            ended
            for ended in self.accused_prompts.find_ends(unknown)
            if ended.sent_at
            > (self._answered.get(ended.trait.fingerprint) or -math.inf)
        ]

    def _accuse_known_parts(self, prompt: AccusedPrompt, now: float) -> None:
        """Add a peer's accused prompt to the evidence against known parts."""
        tables = (self._quarantined, self._repeated)
        parts = (
            suspect.trait
            for table in tables
            for suspect in table.suspects_by_fingerprint.values()
            if suspect.trait.is_part
        )
        found = prompt.may_have(FragmentIndex(tuple(parts)))
        refused = self._record_all(map(prompt.accuse, found), now, is_own=False)
        self._heard_changes += [QuarantineChange(trait, True) for trait in refused]

    def _is_followed(self, part: Trait) -> bool:
        """Return whether evidence against a part is added as it comes."""
        return any(
            part.fingerprint in table.suspects_by_fingerprint
            for table in (self._quarantined, self._repeated)
        )

    def _record_all(
        self,
        ends: Iterable[EndedProcess],
        now: float,
        *,
        is_own: bool,
        earlier: Iterable[EndedProcess] = (),
    ) -> list[Trait]:
        # Which trait explains them best shows only when all are known.
        added = [ended for ended in ends if self._add(ended, now, is_own=is_own)]
        for ended in earlier:
            self._add(ended, now, is_own=False)
        self._newest.extend(self._choose_news(added))
        judged = (self._judge(ended, is_own=is_own) for ended in added)
        return [trait for trait in judged if trait is not None]

    def _choose_news(self, ends: Sequence[EndedProcess]) -> Sequence[EndedProcess]:
        """Return the new evidence that peers are told one by one."""
        if len(ends) <= MAX_RELAYED:
            return ends
        # Peers that have answered a part tell so once they hear of it.
        return heapq.nlargest(
            MAX_RELAYED, ends, key=lambda ended: self.count_ends(ended.trait)
        )

    def _add(self, ended: EndedProcess, now: float, *, is_own: bool) -> bool:
        """Add evidence against a trait; return whether it is new and valid."""
        suspect = self._find(ended.trait.fingerprint) or Suspect(ended.trait)
        if suspect.knows(ended):
            return False
        cleared_at = self._cleared_at(suspect)
        if ended.sent_at <= cleared_at:
            if not is_own and suspect.cleared_at < cleared_at:
                self._tell_cleared(suspect, cleared_at, now)
            return False
        suspect.add(ended)
        suspect.is_own |= is_own
        was_answered_here = cleared_at > suspect.cleared_at
        if suspect.is_repeated and was_answered_here and math.isinf(suspect.cleared_at):
            # No peer seems to know that it was ever answered.
            self._tell_cleared(suspect, cleared_at, now)
        else:
            self._keep(suspect)
        return True

    def _judge(self, ended: EndedProcess, *, is_own: bool) -> Trait | None:
        """Return the trait that new evidence quarantines, if any."""
        suspect = self._find(ended.trait.fingerprint)
        if suspect is None or suspect.quarantined_at is not None:
            return None
        if self._is_guilty(suspect, ended):
            culprit = self._rivals.likeliest_culprit(suspect)
            self._begin_quarantine(culprit, ended.at)
            return culprit.trait
        refused_parts = (each for each in self._refused_suspects if each.trait.is_part)
        if suspect.on_probation_at is None and suspect.needs_probation(refused_parts):
            self._begin_probation(suspect, ended.at)
            if is_own:
                self.announce()
        return None

    def record_answer(
        self, traits: Iterable[Trait], now: float
    ) -> list[QuarantineChange]:
        """Record a whole answer; return what is refused from now on or not."""
        traits = tuple(traits)
        changes = self.record_underway(traits, now)
        others = (trait for trait in traits if not trait.is_part)
        return changes + self._clear_own(others, now)

    def record_underway(
        self, traits: Iterable[Trait], now: float
    ) -> list[QuarantineChange]:
        """Record that the answer to a prompt is well underway.

        It clears the parts of the prompt. Return what is refused from now on,
        or not any more.
        """
        parts = [trait for trait in traits if trait.is_part]
        self._answered.record([part.fingerprint for part in parts], now)
        return self._clear_own(parts, now)

    def _clear_own(self, traits: Iterable[Trait], now: float) -> list[QuarantineChange]:
        if not any(table.suspects_by_fingerprint for table in self._tables()):
            return []
        traits = tuple(traits)
        rivals = [
            rival
            for _, suspect in self._refused(traits, now)
            for rival in self._rivals.of(suspect)
        ]
        changes = [
            QuarantineChange(trait, False)
            for trait in traits
            if self._clear(trait, now, now, is_own=True)
        ]
        culprit = self._rivals.remaining_culprit(rivals, self._refused_suspects)
        if changes and culprit is not None:
            self._begin_quarantine(culprit, culprit.ends[-1].at)
            self.announce()
            changes.append(QuarantineChange(culprit.trait, True))
        return changes

    def count_ends(self, trait: Trait) -> int:
        """Return how many processes are known to have ended by a trait."""
        suspect = self._find(trait.fingerprint)
        return len(suspect.ends) if suspect is not None else 0

    def last_end_at(self, traits: Iterable[Trait]) -> float | None:
        """Return when a request or path last ended a process, or None."""
        suspects = (self._find(each.fingerprint) for each in traits if not each.is_part)
        ends = (each.ends[-1].at for each in suspects if each is not None and each.ends)
        return max(ends, default=None)

    def quarantine(
        self, trait: Trait, at: float, now: float, accused_at: float | None = None
    ) -> bool:
        """Quarantine a trait since a time; return whether that is news.

        ``accused_at`` is when the newest request was sent that is evidence
        for it, None if that is not known. If the trait was answered later,
        tell the peers so instead.
        """
        accused_at = at if accused_at is None else accused_at
        suspect = self._find(trait.fingerprint) or Suspect(trait)
        cleared_at = self._cleared_at(suspect)
        if accused_at <= cleared_at:
            suspect.cleared_at = cleared_at
            self._keep(suspect)
            self._deny(suspect, now)
            return False
        suspect.accused_at = max(accused_at, suspect.accused_at)
        if suspect.quarantined_at is not None:
            suspect.quarantined_at = max(at, suspect.quarantined_at)
            return False
        self._begin_quarantine(suspect, at)
        return True

    def put_on_probation(self, trait: Trait, at: float, now: float) -> bool:
        """Put a trait on probation since a time; return whether that is news.

        If it was answered later, tell the peers so instead.
        """
        suspect = self._find(trait.fingerprint) or Suspect(trait)
        if at <= suspect.cleared_at:
            self._tell_cleared(suspect, suspect.cleared_at, now)
            return False
        if suspect.quarantined_at is not None or suspect.on_probation_at is not None:
            return False
        self._begin_probation(suspect, at)
        return True

    def is_poisonous(self, traits: Iterable[Trait], now: float) -> bool:
        """Return whether a request with these traits must not be sent."""
        return any(self._refused(traits, now))

    def may_try(self, traits: Iterable[Trait], now: float) -> bool:
        """Return whether to send a request although its traits are refused.

        Only parts and paths are tried, as other requests have them too, and
        soon if the request can tell a part from another one.
        """
        traits = tuple(traits)
        for trait, suspect in self._refused(traits, now):
            seconds = now - max(suspect.quarantined_at, suspect.tried_at)
            if trait.scope is Scope.REQUEST or seconds < DOUBTFUL_TRIAL_SECONDS:
                return False
            if seconds < QUARANTINE_TRIAL_SECONDS and not self._rivals.tells_apart(
                traits, suspect
            ):
                return False
        return True

    def start_trial(self, traits: Iterable[Trait], now: float) -> bool:
        """Return whether to send such a request now, and tell the peers so.

        Few hosts try a trait at a time. The answer or the crash decides on it.
        """
        traits = tuple(traits)
        if not self.may_try(traits, now):
            return False
        for _, suspect in self._refused(traits, now):
            suspect.tried_at = now
        self.announce()
        return True

    def try_on_probation(self, traits: Iterable[Trait], now: float) -> bool:
        """Return whether to send a request now, and tell the peers so."""
        if not self.probation.holds(traits):
            return True
        if not self.probation.start_trial(traits, now):
            return False
        self.announce()
        return True

    def _refused(
        self, traits: Iterable[Trait], now: float
    ) -> Iterator[tuple[Trait, Suspect]]:
        """Yield the traits that are refused, with what is known of them."""
        quarantined = self._quarantined.suspects_by_fingerprint
        if not quarantined:
            return
        for trait in traits:
            suspect = quarantined.get(trait.fingerprint)
            if suspect is None or now - suspect.quarantined_at >= POISON_SECONDS:
                continue
            if not self._rivals.is_explained(suspect):
                yield trait, suspect

    def pack_news(self, now: float) -> bytes:
        """Encode recent events, and reminders of older ones, for peers."""
        news = (*self._recent_news(now), *self._reminders(now))
        return b"".join(pack_news(each, now) for each in news)

    def merge_news(self, packed: bytes, now: float) -> list[QuarantineChange]:
        """Record a peer's news; return what is refused, or served, by them.

        That includes what was refused since by prompts that peers told of.
        """
        changes, self._heard_changes = self._heard_changes, []
        ends = []
        for news in unpack_news(packed, now):
            if news.kind is NewsKind.ENDED_PROCESS:
                ends.append(
                    EndedProcess(news.trait, news.process_key, news.sent_at, news.at)
                )
            elif self._merge(news, now):
                is_quarantined = news.kind is not NewsKind.CLEARED
                changes.append(QuarantineChange(news.trait, is_quarantined))
        quarantined = self._record_all(ends, now, is_own=False)
        return changes + [QuarantineChange(trait, True) for trait in quarantined]

    def expire(self, now: float) -> None:
        """Forget traits that have ended no process for a long time."""
        for table in self._tables():
            table.expire(now - POISON_SECONDS)
        self.accused_prompts.expire(now - POISON_SECONDS)

    def _merge(self, news: News, now: float) -> bool:
        if news.kind is NewsKind.QUARANTINED:
            return self.quarantine(news.trait, news.at, now, news.accused_at)
        if news.kind is NewsKind.CLEARED:
            return self._clear(news.trait, news.at, now, is_own=False)
        if news.kind is NewsKind.TRIED:
            suspect = self._find(news.trait.fingerprint)
            if suspect is not None:
                suspect.tried_at = max(news.at, suspect.tried_at)
            return False
        if news.kind is NewsKind.ON_PROBATION:
            self.put_on_probation(news.trait, news.at, now)
        return False

    def _is_guilty(self, suspect: Suspect, ended: EndedProcess) -> bool:
        """Return whether the evidence is enough to refuse a trait."""
        if suspect.was_sent_on_probation(ended):
            return not any(each.knows(ended) for each in self._refused_suspects)
        return (
            suspect.trait.scope not in PROBATION_ONLY_SCOPES
            and suspect.has_enough_ends()
            and suspect.has_unexplained_ends(self._refused_suspects)
        )

    def _begin_probation(self, suspect: Suspect, at: float) -> None:
        suspect.on_probation_at = at
        self._keep(suspect)
        if suspect.is_own:
            self._add_own_change(suspect.trait, Standing.ON_PROBATION)

    def _begin_quarantine(self, suspect: Suspect, at: float) -> None:
        suspect.quarantined_at = at
        suspect.on_probation_at = None
        self._keep(suspect)
        if suspect.is_own:
            self._add_own_change(suspect.trait, Standing.QUARANTINED)

    def _add_own_change(self, trait: Trait, standing: Standing) -> None:
        self.own_changes.append(StandingChange(trait, standing))
        self.keep()

    @property
    def _refused_suspects(self) -> Collection[Suspect]:
        return self._quarantined.suspects_by_fingerprint.values()

    def _cleared_at(self, suspect: Suspect) -> float:
        """Return when an answer last showed that a trait is harmless."""
        answered_at = self._answered.get(suspect.trait.fingerprint)
        return max(suspect.cleared_at, answered_at or -math.inf)

    def _tables(self) -> tuple[SuspectTable, ...]:
        on_probation = self.probation.table
        return (self._quarantined, on_probation, self._repeated, self._single)

    def _find(self, fingerprint: bytes) -> Suspect | None:
        for table in self._tables():
            suspect = table.suspects_by_fingerprint.get(fingerprint)
            if suspect is not None:
                return suspect
        return None

    def _keep(self, suspect: Suspect) -> None:
        """Keep a changed suspect as the newest one of its kind."""
        fingerprint = suspect.trait.fingerprint
        for table in self._tables():
            table.remove(fingerprint)
        if suspect.quarantined_at is not None:
            self._quarantined.put(suspect)
        elif suspect.on_probation_at is not None:
            self.probation.table.put(suspect)
        elif suspect.is_repeated:
            self._repeated.put(suspect)
        else:
            self._single.put(suspect)

    def _clear(self, trait: Trait, at: float, now: float, *, is_own: bool) -> bool:
        """Clear a known suspect; return whether that ends a quarantine."""
        suspect = self._find(trait.fingerprint)
        if suspect is None or at <= suspect.cleared_at:
            return False
        was_quarantined = suspect.quarantined_at is not None
        was_on_probation = suspect.on_probation_at is not None
        if not suspect.clear(at):
            return False
        self._tell_cleared(suspect, at, now)
        if suspect.quarantined_at is not None or suspect.on_probation_at is not None:
            return False
        if (was_quarantined or was_on_probation) and (is_own or suspect.is_own):
            self._add_own_change(suspect.trait, Standing.SERVED)
        if was_quarantined:
            self._deny(suspect, now)
        return was_quarantined

    def _tell_cleared(self, suspect: Suspect, at: float, now: float) -> None:
        """Tell peers of an answer soon."""
        suspect.cleared_at = max(at, suspect.cleared_at)
        self._newest_cleared.append((suspect.trait.fingerprint, now))
        self._keep(suspect)

    def _deny(self, suspect: Suspect, now: float) -> None:
        """Keep telling peers for a while that a quarantine has ended."""
        fingerprint = suspect.trait.fingerprint
        denied = self._denied_until_by_fingerprint
        denied[fingerprint] = now + CLEARED_SECONDS
        denied.move_to_end(fingerprint)
        if len(denied) > MAX_QUARANTINED:
            denied.popitem(last=False)

    def _recent_news(self, now: float) -> Iterator[News]:
        """Return recent events, those of suspects with several ends first."""
        oldest = now - RELAYED_SECONDS
        cleared: dict[bytes, News] = {}
        for fingerprint, told_at in reversed(self._newest_cleared):
            if told_at <= oldest:
                break
            suspect = self._find(fingerprint)
            if suspect is not None:
                cleared[fingerprint] = _cleared_news(suspect)
        ends: list[tuple[int, News]] = []
        for ended in reversed(self._newest):
            if ended.at <= oldest:
                break
            suspect = self._find(ended.trait.fingerprint)
            if suspect is not None and ended in suspect.ends:
                ends.append((len(suspect.ends), news_of(ended)))
        ends.reverse()
        # Peers blame what they hear of first for the crashes that it explains:
        # the narrowest trait, which was recorded first, and paths last.
        repeated = [each for each in ends if each[0] > 1]
        most = heapq.nlargest(
            MAX_RELAYED, enumerate(repeated), key=lambda each: each[1][0]
        )
        most.sort(key=lambda each: (each[1][1].trait.scope is Scope.PATH, each[0]))
        single = [news for count, news in reversed(ends) if count == 1]
        yield from itertools.islice(
            (*(news for _, (_, news) in most), *cleared.values(), *single),
            MAX_RELAYED + min(MAX_RELAYED_CLEARED, len(cleared)),
        )

    def _reminders(self, now: float) -> Iterator[News]:
        reminders = []
        for suspect in self._quarantined.suspects_by_fingerprint.values():
            reminders.append(quarantine_news(suspect))
            if now - suspect.tried_at < QUARANTINE_TRIAL_SECONDS:
                at = suspect.tried_at
                reminders.append(News(suspect.trait, NewsKind.TRIED, at))
        for suspect in self.probation.table.suspects_by_fingerprint.values():
            at = suspect.on_probation_at
            reminders.append(News(suspect.trait, NewsKind.ON_PROBATION, at))
            if suspect.tried_at >= at:
                at = suspect.tried_at
                reminders.append(News(suspect.trait, NewsKind.TRIED, at))
        for fingerprint, until in self._denied_until_by_fingerprint.items():
            suspect = self._find(fingerprint)
            if now < until and suspect is not None and suspect.quarantined_at is None:
                reminders.append(_cleared_news(suspect))
        if len(reminders) > MAX_REMINDERS:
            reminders = self.rng.sample(reminders, MAX_REMINDERS)
        yield from reminders


def _cleared_news(suspect: Suspect) -> News:
    return News(suspect.trait, NewsKind.CLEARED, suspect.cleared_at)
