"""Define the fleet, load and fault of a run."""

import enum

from attrs import frozen

from teaselpond.policy import EngineProfile
from teaselpond_model.contracts import Address, Host, HostKind

from .workload import Surge

SLOTS = 16
COLD_LIMIT = 2
MODEL = "assistant"
TURNS_PER_SLOT_SECOND = 0.2


class Fault(enum.Enum):
    """Name the fault or load change of a run."""

    STEADY = "steady"
    ZONE = "zone"
    CHURN = "churn"
    SURGE = "surge"


@frozen
class Scenario:
    """Describe one run; times are in seconds of virtual time.

    ``load`` is the share of slots that the trace is meant to keep busy.
    With ``unequal_slots``, every third engine has half the slots.
    """

    fault: Fault
    engines: int
    zones: int
    daemons: int
    load: float = 0.6
    seconds: float = 150.0
    seed: int = 1
    unequal_slots: bool = False

    @property
    def fault_starts_at(self) -> float:
        """Return when the fault begins."""
        return self.seconds / 3

    @property
    def fault_ends_at(self) -> float:
        """Return when the fault ends."""
        return 2 * self.seconds / 3

    @property
    def phase_starts(self) -> dict[str, float]:
        """Return the start of each phase of the run."""
        return {
            "before": 0.0,
            "during": self.fault_starts_at,
            "after": self.fault_ends_at,
        }

    @property
    def surge(self) -> Surge:
        """Return the trace's surge; without one, its factor is 1."""
        if self.fault is not Fault.SURGE:
            return Surge()
        return Surge("w5", self.fault_starts_at, self.fault_ends_at, 20.0)

    @property
    def turns_per_second(self) -> float:
        """Return the rate of turns that gives the scenario's load."""
        slots = sum(profile.slots for profile in self.make_engines())
        return slots * TURNS_PER_SLOT_SECOND * self.load

    def make_engines(self) -> list[EngineProfile]:
        """Return the engines, assigned to the zones in turn."""
        return [
            EngineProfile(
                Host(
                    f"engine-{number}",
                    Address("127.0.0.1", 1),
                    f"zone-{number % self.zones}",
                    HostKind.ENGINE,
                ),
                MODEL,
                slots=SLOTS // 2 if self.unequal_slots and number % 3 == 0 else SLOTS,
                cold_limit=COLD_LIMIT,
            )
            for number in range(self.engines)
        ]

    def make_daemons(self) -> list[Host]:
        """Return the daemons' hosts, assigned to the zones in turn."""
        return [
            Host(
                f"entry-{number}",
                Address("127.0.0.1", 1),
                f"zone-{number % self.zones}",
                HostKind.ENTRY,
            )
            for number in range(self.daemons)
        ]
