"""Answer locate questions from the policy and the membership."""

from ..locate import LocateAnswer, LocateQuestion, LocateSettings, locate
from ..policy import EngineDirectory
from .fleet_follower import FleetFollower

OWNERS_PER_ANSWER = 2


class Locator:
    """Name the daemons that own the engines of a chat."""

    def __init__(
        self, directory: EngineDirectory, fleet: FleetFollower, settings: LocateSettings
    ) -> None:
        self._directory = directory
        self._fleet = fleet
        self._settings = settings

    def locate(self, question: LocateQuestion, model: str) -> LocateAnswer:
        """Return the addresses for a chat, its owner's first."""
        return locate(
            self._fleet.serving_daemons(),
            question,
            self._owner_ids(question, model),
            {},
            self._settings,
        )

    def _owner_ids(self, question: LocateQuestion, model: str) -> tuple[str, ...]:
        if not question.chat:
            return ()
        owner_ids: list[str] = []
        for engine_id in self._directory.candidates(
            question.workspace, question.chat, model
        ):
            owner = self._directory.owner(engine_id)
            if owner is not None and owner.host_id not in owner_ids:
                owner_ids.append(owner.host_id)
        return tuple(owner_ids[:OWNERS_PER_ANSWER])
