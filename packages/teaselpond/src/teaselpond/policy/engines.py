"""Track the state of an engine that this daemon owns."""

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
MAX_FORMER_INCARNATIONS = 8
FOREIGN_GROWTH_TOLERANCE = 1
SLOW_ANSWERS_THRESHOLD = 2
# Engines run the prefills of these classes after more urgent ones, which makes
# their time to first token useless for detecting a cold start.
BACKGROUND_CLASSES = frozenset({RequestClass.LABEL, RequestClass.PLAN})


@define
class OwnedEngine:
    """Track one engine's load, cache, warm-up, claim and failures.

    The limits on its requests follow from these.
    """

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
        factory=lambda: deque(maxlen=MAX_FORMER_INCARNATIONS)
    )

    @classmethod
    def take_over(
        cls, profile: EngineProfile, settings: PolicySettings, now: float
    ) -> "OwnedEngine":
        """Create the state of a newly owned engine, which counts as cold."""
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
        """Apply a changed configuration or host state.

        An engine that returns to service counts as cold, as it may have
        restarted in the meantime.
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
        """Return whether the engine is in service and not ejected."""
        return self.profile.takes_work and not self.outliers.is_ejected(now)

    @property
    def is_confirmed(self) -> bool:
        """Return whether this daemon is known to be the only owner."""
        return self.claim.state is ClaimState.CONFIRMED

    def usable_slots(self) -> int:
        """Return the slots that may be used at the current warm-up limit."""
        return min(self.profile.slots, self.warmup.limit)

    def prefill_wait(self, now: float) -> float:
        """Return the estimated seconds until granted prefills are done."""
        return max(0.0, self.prefill_free_at - now)

    def add_prefill(self, tokens: int, now: float) -> float:
        """Add a granted prefill; return the seconds to its first token."""
        seconds = tokens / self.settings.prefill_tokens_per_second
        self.prefill_free_at = max(self.prefill_free_at, now) + seconds
        return self.prefill_free_at - now

    def claim_allows_grant(self, cap: int) -> bool:
        """Return whether the claim allows one more grant under a cap."""
        claim = self.claim
        if claim.state is ClaimState.CONFIRMED:
            return True
        return len(self.slots.uses_by_grant) < claim.limit(cap)

    def advance(self, now: float) -> bool:
        """Update time-dependent state; return True if the limits may change.

        The claim advances, an engine without contact for ``quiet_seconds``
        counts as cold, and an ejection ends.
        """
        changed = False
        if self.claim.state is not ClaimState.CONFIRMED:
            self.claim.advance(self.slots.reported_at, now)
            changed = True
        is_quiet = now - self.last_contact_at > self.settings.quiet_seconds
        if is_quiet and self.warmup.reason is not ColdReason.QUIET:
            self.warmup.mark_cold(ColdReason.QUIET, now)
            changed = True
        if self.outliers.end_ejection(now):
            changed = True
        return changed

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Apply a load report, unless it is older than the last one."""
        if report.incarnation in self._former_incarnations:
            return
        if not self.observe_incarnation(report.incarnation, now):
            if report.sequence <= self._report_sequence:
                return
        self._report_sequence = report.sequence
        if self.warmup.reason is ColdReason.FAILURE:
            self._restore_limit(now - report.age)
        former_foreign = self.slots.foreign
        self.slots.observe(report, now)
        self._record_contact(now)
        if self.warmup.reason is ColdReason.FIRST_SEEN:
            # The engine is at least warm enough for what it runs already.
            self.warmup.raise_to(report.running)
        if self.slots.foreign > former_foreign + FOREIGN_GROWTH_TOLERANCE:
            # A former owner's work only shrinks. If work from elsewhere grows,
            # another daemon is granting slots now.
            self.claim.contest(self.settings.claim_seconds, now)

    def accept(self, handover: Handover, now: float) -> None:
        """Apply the former owner's handover and confirm the claim."""
        if self.warmup.incarnation in ("", handover.incarnation):
            self.observe_incarnation(handover.incarnation, now)
            self.warmup.raise_to(handover.limit)
        self.slots.expect_foreign(handover.in_flight, now)
        self.claim.confirm()

    def observe_cache(self, page: CacheEventPage, now: float) -> bool:
        """Apply cache events; return True if a snapshot has to be fetched."""
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
        """Replace the prefix index by a snapshot of the engine's cache."""
        if incarnation in self._former_incarnations:
            return
        self.observe_incarnation(incarnation, now)
        self.prefixes.resynchronise(incarnation, last_sequence, prefixes)
        self._record_contact(now)

    def observe_incarnation(self, incarnation: str, now: float) -> bool:
        """Reset the state if the engine has restarted; return True if so.

        Former incarnations are ignored.
        """
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
        """Update failures, warm-up and claim by the end of a request."""
        if release.outcome is Outcome.COMPLETED:
            self.outliers.record_success()
            self.warmup.record_completion(use.granted_at)
            self._record_contact(now)
        elif release.outcome is Outcome.FAILED:
            self.outliers.record_failure(may_eject, self.settings, now)
            self._mark_cold_after_failure(now)
        elif release.outcome is Outcome.REFUSED_BY_ENGINE:
            self.claim.contest(self.settings.claim_seconds, now)
        # After record_completion: an answer from a restarted engine must not
        # raise the limit of the new incarnation.
        self.observe_incarnation(release.incarnation, now)
        if use.request.request_class not in BACKGROUND_CLASSES:
            self._check_first_token(use, release, now)

    def _mark_cold_after_failure(self, now: float) -> None:
        # The engine may have crashed and restarted before its next report.
        if self.warmup.reason is not ColdReason.FAILURE:
            self._limit_before_failure = self.warmup.limit
            self.warmup.mark_cold(ColdReason.FAILURE, now)
        self.warmup.cold_since = now

    def _restore_limit(self, reported_at: float) -> None:
        """Restore a limit lowered by a failure, unless the engine restarted.

        A report of the same incarnation, taken after the failure, shows that
        the engine did not restart.
        """
        if reported_at > self.warmup.cold_since:
            self.warmup.raise_to(self._limit_before_failure)
            self.warmup.reason = None

    def _check_first_token(self, use: SlotUse, release: Release, now: float) -> None:
        """Detect a cold start by slow first tokens.

        The engine counts as cold after two slow answers in a row, or after one
        slow answer that reused none of the tokens expected in the cache.
        """
        if not self._is_first_token_slow(use, release):
            self._slow_answers = 0
            return
        self._slow_answers += 1
        has_lost_cache = use.expected_cached_tokens > 0 and release.cached_tokens == 0
        if has_lost_cache or self._slow_answers >= SLOW_ANSWERS_THRESHOLD:
            self._slow_answers = 0
            self.warmup.mark_cold(ColdReason.SLOW_FIRST_TOKEN, now)

    def _is_first_token_slow(self, use: SlotUse, release: Release) -> bool:
        if release.first_token_seconds is None:
            return False
        bound = max(
            self.settings.slow_first_token_seconds,
            use.expected_first_token_seconds * self.settings.slow_first_token_factor,
        )
        return release.first_token_seconds > bound

    def _record_contact(self, now: float) -> None:
        self.last_contact_at = now
        if self.warmup.reason is ColdReason.QUIET:
            # Only the reports were missing: the incarnation is the same. The
            # limit still rises only with completed answers.
            self.warmup.reason = None
