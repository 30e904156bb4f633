"""Answer locate questions from the policy and the membership."""

from attrs import frozen

from ..locate import LocateAnswer, LocateQuestion, LocateSettings, locate
from ..policy import Dispatcher, EngineLocation
from .fleet_follower import FleetFollower

MAX_OWNERS_PER_ANSWER = 2


@frozen
class LocatedChat:
    """Hold a locate answer and the engine chosen for the chat.

    ``engine_id`` is empty if no engine was chosen.
    """

    answer: LocateAnswer
    engine_id: str


class Locator:
    """Find the daemons that own the engines of a chat."""

    def __init__(
        self, dispatcher: Dispatcher, fleet: FleetFollower, settings: LocateSettings
    ) -> None:
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._settings = settings

    def locate(
        self, question: LocateQuestion, model: str, hint_engine: str, now: float
    ) -> LocatedChat:
        """Return the daemons' addresses for a chat, those of owners first."""
        location = self._locate_engine(question, model, hint_engine, now)
        answer = locate(
            self._fleet.serving_daemons(),
            question,
            self._owner_ids(question, model, location),
            {},
            self._settings,
        )
        return LocatedChat(answer, location.engine_id if location else "")

    def _locate_engine(
        self, question: LocateQuestion, model: str, hint_engine: str, now: float
    ) -> EngineLocation | None:
        if not question.chat:
            return None
        return self._dispatcher.locate(
            question.workspace, question.chat, model, hint_engine, now
        )

    def _owner_ids(
        self, question: LocateQuestion, model: str, location: EngineLocation | None
    ) -> tuple[str, ...]:
        if location is None:
            return ()
        directory = self._dispatcher.directory
        owner_ids = [location.owner_id]
        for engine_id in directory.candidates(question.workspace, question.chat, model):
            owner = directory.owner(engine_id)
            if owner is not None and owner.host_id not in owner_ids:
                owner_ids.append(owner.host_id)
        return tuple(owner_ids[:MAX_OWNERS_PER_ANSWER])
