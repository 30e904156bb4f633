"""Provide the client of the platform's rate-limited weight store."""

from attrs import field, frozen

from ..contracts import WeightGrant
from ..store_calls import PlatformConnection
from .converters import parse_answer


@frozen
class HttpWeightStore:
    """Request downloads from the platform's weight store."""

    _connection: PlatformConnection = field(alias="connection")

    async def request(self, host_id: str, model: str, version: str) -> WeightGrant:
        """Request the start of one download; raise StoreUnavailable."""
        step = "weights.request"
        body = {"host_id": host_id, "model": model, "version": version}
        answer = await self._connection.write("POST", "/weights", step, body)
        try:
            answer.expect_status(200)
            return parse_answer(answer, WeightGrant)
        except ValueError as error:
            raise self._connection.outcome_unknown(step, error) from error
