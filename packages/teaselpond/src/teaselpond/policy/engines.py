"""Hold all that an owner knows of one of its engines."""

from collections import deque
from collections.abc import Iterable

from attrs import define, field

from teaselpond_model.contracts import CacheEvent, CacheEventPage, LoadReport

from .claims import Claim, ClaimState
from .messages import Handover, Outcome, Release, RequestClass
from .outliers import OutlierDetector
from .prefixes import PrefixIndex
from .profiles import EngineProfile
from .reasons import ColdReason
from .settings import PolicySettings
from .slots import EngineSlots, SlotUse
from .warmup import WarmUp

BLOCK_TOKENS = 16
FORMER_INCARNATIONS = 8
FOREIGN_TOLERANCE = 1
SLOW_ANSWERS = 2
# Engines push the prefills of these back behind more urgent ones.
BACKGROUND_CLASSES = frozenset({RequestClass.LABEL, RequestClass.PLAN})


@define
class OwnedEngine:
    """Decide how much work one engine may get."""

    profile: EngineProfile
    settings: PolicySettings
    warmup: WarmUp
    prefixes: PrefixIndex
    claim: Claim
    slots: EngineSlots = field(factory=EngineSlots)
    outliers: OutlierDetector = field(factory=OutlierDetector)
    last_contact_at: float = float("-inf")
    prefill_free_at: float = float("-inf")
    _slow_answers: int = 0
    _report_sequence: int = -1
    _limit_before_failure: int = 0
    _former_incarnations: deque[str] = field(
        factory=lambda: deque(maxlen=FORMER_INCARNATIONS)
    )

    @classmethod
    def take_over(
        cls, profile: EngineProfile, settings: PolicySettings, now: float
    ) -> "OwnedEngine":
        """Begin to own an engine; it is cold until it shows otherwise."""
        warmup = WarmUp(profile.slots, profile.cold_limit)
        warmup.mark_cold(ColdReason.FIRST_SEEN, now)
        prefixes = PrefixIndex(settings.prefix_entries_per_engine, BLOCK_TOKENS)
        claim = Claim.begin(settings, now)
        return cls(profile, settings, warmup, prefixes, claim, last_contact_at=now)

    @property
    def engine_id(self) -> str:
        """Return the id of the engine's host."""
        return self.profile.engine_id

    def update_profile(self, profile: EngineProfile, now: float) -> None:
        """Take a changed configuration or host state.

        An engine that was out may have started again meanwhile.
        """
        if profile.takes_work and not self.profile.takes_work:
            self.warmup.mark_cold(ColdReason.RETURNED, now)
        was_warm = self.warmup.is_warm
        self.profile = profile
        self.warmup.slots = profile.slots
        self.warmup.cold_limit = profile.cold_limit
        if was_warm:
            self.warmup.limit = profile.slots
        self.warmup.limit = min(self.warmup.limit, profile.slots)

    def takes_work(self, now: float) -> bool:
        """Tell whether the engine counts in the mean and may get work."""
        return self.profile.takes_work and not self.outliers.is_ejected(now)

    @property
    def is_confirmed(self) -> bool:
        """Tell whether this daemon is sure to be the only owner."""
        return self.claim.state is ClaimState.CONFIRMED

    def usable_slots(self) -> int:
        """Return the slots that the engine can bear as warm as it is."""
        return min(self.profile.slots, self.warmup.limit)

    def prefill_wait(self, now: float) -> float:
        """Return the seconds of granted prefills that are still to do."""
        return max(0.0, self.prefill_free_at - now)

    def add_prefill(self, tokens: int, now: float) -> float:
        """Count a granted prefill; return the first token's seconds."""
        seconds = tokens / self.settings.prefill_tokens_per_second
        self.prefill_free_at = max(self.prefill_free_at, now) + seconds
        return self.prefill_free_at - now

    def may_claim(self, cap: int) -> bool:
        """Tell whether this claimant's part of the cap has room."""
        claim = self.claim
        if claim.state is ClaimState.CONFIRMED:
            return True
        return len(self.slots.uses_by_grant) < claim.limit(cap)

    def advance(self, now: float) -> bool:
        """Let time pass; return True when it changed the engine's limits.

        Claims ripen, a quiet engine counts as cold, an ejection ends.
        """
        changed = False
        if self.claim.state is not ClaimState.CONFIRMED:
            self.claim.advance(self.slots.reported_at, now)
            changed = True
        quiet = now - self.last_contact_at > self.settings.quiet_seconds
        if quiet and self.warmup.reason is not ColdReason.QUIET:
            self.warmup.mark_cold(ColdReason.QUIET, now)
            changed = True
        if self.outliers.end_ejection(now):
            changed = True
        return changed

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Take a load report, unless it is older than one known."""
        if report.incarnation in self._former_incarnations:
            return
        if not self.observe_incarnation(report.incarnation, now):
            if report.sequence <= self._report_sequence:
                return
        self._report_sequence = report.sequence
        if self.warmup.reason is ColdReason.FAILURE:
            self._restore_limit(now - report.age)
        known = self.slots.foreign
        self.slots.observe(report, now)
        self._record_contact(now)
        if self.warmup.reason is ColdReason.FIRST_SEEN:
            # A new owner learns from what the engine bears how warm it is.
            self.warmup.raise_to(report.running)
        if self.slots.foreign > known + FOREIGN_TOLERANCE:
            # Work of a former owner drains; work that grows is granted by
            # another daemon now.
            self.claim.contest(self.settings.claim_seconds, now)

    def accept(self, handover: Handover, now: float) -> None:
        """Take the former owner's word for the engine's state."""
        if self.warmup.incarnation in ("", handover.incarnation):
            self.observe_incarnation(handover.incarnation, now)
            self.warmup.raise_to(handover.limit)
        self.slots.expect_foreign(handover.in_flight, now)
        self.claim.confirm()

    def observe_cache(self, page: CacheEventPage, now: float) -> bool:
        """Take a page of cache events; return True when a snapshot is due."""
        if page.incarnation in self._former_incarnations:
            return False
        self.observe_incarnation(page.incarnation, now)
        if self.prefixes.observe(page):
            self.warmup.mark_cold(ColdReason.CACHE_CLEARED, now)
        self._record_contact(now)
        return self.prefixes.has_gap

    def observe_snapshot(
        self,
        incarnation: str,
        last_sequence: int,
        prefixes: Iterable[CacheEvent],
        now: float,
    ) -> None:
        """Replace what is known of the cache."""
        if incarnation in self._former_incarnations:
            return
        self.observe_incarnation(incarnation, now)
        self.prefixes.resynchronise(incarnation, last_sequence, prefixes)
        self._record_contact(now)

    def observe_incarnation(self, incarnation: str, now: float) -> bool:
        """Start cold when the engine has started again."""
        if incarnation in self._former_incarnations:
            return False
        former = self.warmup.incarnation
        if not self.warmup.observe_incarnation(incarnation, now):
            return False
        if former:
            self._former_incarnations.append(former)
        self.prefixes.restart(incarnation)
        self._report_sequence = -1
        return True

    def record_release(
        self, use: SlotUse, release: Release, may_eject: bool, now: float
    ):
        """Learn from the end of a request."""
        if release.outcome is Outcome.COMPLETED:
            self.outliers.record_success()
            self.warmup.record_completion(use.granted_at)
            self._record_contact(now)
        elif release.outcome is Outcome.FAILED:
            self.outliers.record_failure(may_eject, self.settings, now)
            self._mark_cold_after_failure(now)
        elif release.outcome is Outcome.REFUSED_BY_ENGINE:
            self.claim.contest(self.settings.claim_seconds, now)
        # After the count: an answer that shows a cold start doesn't warm.
        self.observe_incarnation(release.incarnation, now)
        if use.request.request_class not in BACKGROUND_CLASSES:
            self._check_first_token(use, release, now)

    def _mark_cold_after_failure(self, now: float) -> None:
        # The engine may have crashed and be up again before its next report.
        if self.warmup.reason is not ColdReason.FAILURE:
            self._limit_before_failure = self.warmup.limit
            self.warmup.mark_cold(ColdReason.FAILURE, now)
        self.warmup.cold_since = now

    def _restore_limit(self, reported_at: float) -> None:
        """Take the former limit again: the engine still runs as it did."""
        if reported_at > self.warmup.cold_since:
            self.warmup.raise_to(self._limit_before_failure)
            self.warmup.reason = None

    def _check_first_token(self, use: SlotUse, release: Release, now: float) -> None:
        """Start cold at the second slow answer, or at one without cache."""
        if not self._is_first_token_slow(use, release):
            self._slow_answers = 0
            return
        self._slow_answers += 1
        has_lost_cache = use.cached_expected > 0 and release.cached_tokens == 0
        if has_lost_cache or self._slow_answers >= SLOW_ANSWERS:
            self._slow_answers = 0
            self.warmup.mark_cold(ColdReason.SLOW_FIRST_TOKEN, now)

    def _is_first_token_slow(self, use: SlotUse, release: Release) -> bool:
        if release.first_token_seconds is None:
            return False
        bound = max(
            self.settings.slow_first_token_seconds,
            use.first_token_expected * self.settings.slow_first_token_factor,
        )
        return release.first_token_seconds > bound

    def _record_contact(self, now: float) -> None:
        self.last_contact_at = now
        if self.warmup.reason is ColdReason.QUIET:
            # The engine is the same one and only its reports were away; it
            # still has to show by answers that it is warm.
            self.warmup.reason = None
