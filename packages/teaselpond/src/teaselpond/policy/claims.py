"""Limit a new owner of an engine while its former owner may still grant."""

import enum

from attrs import define

from .settings import PolicySettings

MAX_CLAIMANTS = 2


class ClaimState(enum.Enum):
    """Enumerate the stages from claiming an engine to being its only owner."""

    WAITING = "waiting"
    CONTESTED = "contested"
    CONFIRMED = "confirmed"


@define
class Claim:
    """Track an owner's claim on an engine and the part of its cap it may use.

    While the claim is WAITING, the owner admits nothing. The claim becomes
    CONTESTED with the first load report taken after ``waits_until``, when the
    former owner must have learned of the change. While it is CONTESTED, each
    of two claimants uses half of the cap, but at least one slot. It becomes
    CONFIRMED, and the owner uses the whole cap, once the former owner has
    handed the engine over, or with the first load report taken after
    ``contested_until``. Without load reports, the state changes
    ``report_seconds`` after those times.
    """

    state: ClaimState = ClaimState.CONFIRMED
    waits_until: float = float("-inf")
    contested_until: float = float("-inf")
    report_seconds: float = 0.0

    @classmethod
    def begin(cls, settings: PolicySettings, now: float) -> "Claim":
        """Create a waiting claim on an engine with another possible owner."""
        return cls(
            ClaimState.WAITING,
            now + settings.claim_wait_seconds,
            now + settings.claim_seconds,
            settings.claim_report_seconds,
        )

    def contest(self, seconds: float, now: float) -> None:
        """Mark the claim as contested for at least ``seconds`` from now.

        A waiting claim stays waiting and becomes contested afterwards.
        """
        if self.state is ClaimState.CONFIRMED:
            self.state = ClaimState.CONTESTED
        self.contested_until = max(self.contested_until, now + seconds)

    def confirm(self) -> None:
        """Mark the claim as confirmed, as the former owner has handed over."""
        self.state = ClaimState.CONFIRMED

    def advance(self, reported_at: float, now: float) -> None:
        """Update the state, given the time of the last load report."""
        if self.state is ClaimState.WAITING:
            has_report = reported_at >= self.waits_until
            has_timed_out = now >= self.waits_until + self.report_seconds
            if has_report or has_timed_out:
                self.state = ClaimState.CONTESTED
        if self.state is ClaimState.CONTESTED:
            # The report must include the other claimant's last grants.
            has_report = reported_at >= self.contested_until
            has_timed_out = now >= self.contested_until + self.report_seconds
            if has_report or has_timed_out:
                self.state = ClaimState.CONFIRMED

    def limit(self, cap: int) -> int:
        """Return the part of an engine's cap that this owner may use."""
        if self.state is ClaimState.WAITING:
            return 0
        if self.state is ClaimState.CONTESTED:
            return max(1, cap // MAX_CLAIMANTS)
        return cap

    def next_change(self) -> float:
        """Return when the claim changes if no load report arrives."""
        if self.state is ClaimState.WAITING:
            return self.waits_until + self.report_seconds
        if self.state is ClaimState.CONTESTED:
            return self.contested_until + self.report_seconds
        return float("inf")
