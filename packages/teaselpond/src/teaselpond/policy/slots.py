"""Count the requests that an engine has in flight."""

from collections import deque

from attrs import define, field, frozen

from teaselpond_model.contracts import LoadReport

from .messages import SlotRequest

HISTORY_SECONDS = 5.0
REPORT_SLACK_SECONDS = 0.5


@frozen
class SlotUse:
    """Record the use of one slot of an engine by a granted request.

    The expected figures are compared with those of the release.
    """

    grant_id: str
    request: SlotRequest
    engine_id: str
    granted_at: float
    expected_first_token_seconds: float = 0.0
    expected_cached_tokens: int = 0


@frozen
class UsageSample:
    """Record the number of slots in use from time ``at`` on."""

    at: float
    in_use: int


@define
class EngineSlots:
    """Track one engine's granted slots and the work of other owners.

    ``foreign`` is the number of requests in the engine's last report beyond
    those that this owner had granted at the time. They were granted by another
    claimant or by a former owner.
    """

    uses_by_grant: dict[str, SlotUse] = field(factory=dict)
    foreign: int = 0
    reported_at: float = float("-inf")
    _reports_valid_from: float = float("-inf")
    _history: deque[UsageSample] = field(factory=deque)

    @property
    def in_flight(self) -> int:
        """Return the estimated number of all requests on the engine."""
        return len(self.uses_by_grant) + self.foreign

    def acquire(self, use: SlotUse, now: float) -> None:
        """Record the use of a slot."""
        self.uses_by_grant[use.grant_id] = use
        self._record(now)

    def release(self, grant_id: str, now: float) -> SlotUse | None:
        """Free a slot; return its use, or None if it was free already."""
        use = self.uses_by_grant.pop(grant_id, None)
        self._record(now)
        return use

    def observe(self, report: LoadReport, now: float) -> None:
        """Update ``foreign`` from a load report, which lags by its ``age``."""
        if report.age > HISTORY_SECONDS:
            return
        taken_at = now - report.age
        own = self._max_in_use(
            taken_at - REPORT_SLACK_SECONDS, taken_at + REPORT_SLACK_SECONDS
        )
        foreign = max(0, report.running + report.waiting - own)
        if taken_at < self._reports_valid_from:
            foreign = max(foreign, self.foreign)
        self.foreign = foreign
        self.reported_at = max(self.reported_at, taken_at)

    def expect_foreign(self, count: int, now: float) -> None:
        """Raise ``foreign`` to the number of a former owner's requests.

        Load reports taken before ``now`` can't lower the number.
        """
        self.foreign = max(self.foreign, count)
        self._reports_valid_from = now

    def _record(self, now: float) -> None:
        self._history.append(UsageSample(now, len(self.uses_by_grant)))
        while len(self._history) > 1 and self._history[1].at < now - HISTORY_SECONDS:
            self._history.popleft()

    def _max_in_use(self, start: float, end: float) -> int:
        highest = 0
        for index, sample in enumerate(self._history):
            next_index = index + 1
            is_last = next_index == len(self._history)
            sample_end = float("inf") if is_last else self._history[next_index].at
            if sample.at <= end and sample_end >= start:
                highest = max(highest, sample.in_use)
        return highest
