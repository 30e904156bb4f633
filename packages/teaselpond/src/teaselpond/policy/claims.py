"""Take over an engine without exceeding its cap beside a former owner."""

import enum

from attrs import define

from .settings import PolicySettings

MAX_CLAIMANTS = 2


class ClaimState(enum.Enum):
    """Name how sure an owner is to be the only one."""

    WAITING = "waiting"
    CONTESTED = "contested"
    CONFIRMED = "confirmed"


@define
class Claim:
    """Hold how far an owner may go with an engine.

    While it waits, it admits nothing, until a load report was taken after the
    former owner must have learned of the change. While the claim is
    contested, each claimant holds at most half of the cap. It uses all of the
    cap once the former owner has handed over, or once the claim has stood
    unopposed.
    """

    state: ClaimState = ClaimState.CONFIRMED
    waits_until: float = float("-inf")
    contested_until: float = float("-inf")
    report_seconds: float = 0.0

    @classmethod
    def begin(cls, settings: PolicySettings, now: float) -> "Claim":
        """Start a claim on an engine that another daemon may own."""
        return cls(
            ClaimState.WAITING,
            now + settings.claim_wait_seconds,
            now + settings.claim_seconds,
            settings.claim_report_seconds,
        )

    def contest(self, seconds: float, now: float) -> None:
        """Doubt the claim, since another daemon may be claiming as well."""
        if self.state is ClaimState.CONFIRMED:
            self.state = ClaimState.CONTESTED
        self.contested_until = max(self.contested_until, now + seconds)

    def confirm(self) -> None:
        """Accept the former owner's word that it has let go."""
        self.state = ClaimState.CONFIRMED

    def advance(self, reported_at: float, now: float) -> None:
        """Move on by time and by the last load report."""
        if self.state is ClaimState.WAITING:
            has_seen = reported_at >= self.waits_until
            is_silent = now >= self.waits_until + self.report_seconds
            if has_seen or is_silent:
                self.state = ClaimState.CONTESTED
        if self.state is ClaimState.CONTESTED:
            # The last report must show what the other claimant granted last.
            has_seen = reported_at >= self.contested_until
            is_silent = now >= self.contested_until + self.report_seconds
            if has_seen or is_silent:
                self.state = ClaimState.CONFIRMED

    def limit(self, cap: int) -> int:
        """Return this claimant's part of an engine's cap."""
        if self.state is ClaimState.WAITING:
            return 0
        if self.state is ClaimState.CONTESTED:
            return max(1, cap // MAX_CLAIMANTS)
        return cap

    def next_change(self) -> float:
        """Return when time alone changes the claim."""
        if self.state is ClaimState.WAITING:
            return self.waits_until + self.report_seconds
        if self.state is ClaimState.CONTESTED:
            return self.contested_until + self.report_seconds
        return float("inf")
