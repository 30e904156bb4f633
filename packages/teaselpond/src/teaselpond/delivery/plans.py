"""Run plans, which are long chat requests, as durable jobs."""

import time
from collections.abc import Callable

from ..policy import RequestClass
from .chats import parse_chat
from .relay import ChatRelay

PLAN_TIMEOUT_SECONDS = 1800.0


class PlanRunner:
    """Run each plan as a chat of the request class PLAN."""

    def __init__(
        self,
        relay: ChatRelay,
        *,
        plan_timeout_seconds: float = PLAN_TIMEOUT_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._relay = relay
        self._plan_timeout_seconds = plan_timeout_seconds
        self._clock = clock

    async def run(
        self, job_id: str, workspace: str, body: bytes, report: Callable[[int], None]
    ) -> bytes:
        """Return the body of the complete answer; raise Refused.

        ``report`` is called with the number of events received so far.
        """
        call = parse_chat(
            body,
            workspace=workspace,
            chat=job_id,
            request_id=f"job-{job_id}",
            request_class=RequestClass.PLAN,
            deadline=self._clock() + self._plan_timeout_seconds,
        )
        answer = await self._relay.answer(call, report)
        return answer.body
