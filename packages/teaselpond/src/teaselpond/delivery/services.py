"""Call idempotent services and retry failed calls."""

import asyncio
import time
from collections.abc import Callable

from ..exceptions import UpstreamBroken, UpstreamSilent, UpstreamUnavailable
from ..policy import RetryReason
from ..upstreams import Answer, UpstreamClient
from .outcomes import select_recorded_headers
from .records import ServiceCall, ServiceOutcome
from .retries import RetryPolicy
from .verdicts import RefusalCause, RunHistory, refuse

RETRIED_STATUSES = frozenset({502, 503, 504})


class IdempotentCalls:
    """Run calls that may be repeated, under the shared retry policy."""

    def __init__(
        self,
        client: UpstreamClient,
        retries: RetryPolicy,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client = client
        self._retries = retries
        self._clock = clock

    async def run(self, call: ServiceCall) -> ServiceOutcome:
        """Return the first complete answer; raise Refused if there is none."""
        history = RunHistory()
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self._clock())):
                answer = await self._run(call, history)
        except TimeoutError:
            raise history.apply(refuse(RefusalCause.DEADLINE_BEFORE_SEND)) from None
        self._retries.record_success()
        return ServiceOutcome(
            answer.status, select_recorded_headers(answer.headers), answer.body
        )

    async def _run(self, call: ServiceCall, history: RunHistory) -> Answer:
        attempt = 0
        while True:
            address = call.addresses[attempt % len(call.addresses)]
            attempt += 1
            answer = None
            history.record_send()
            try:
                answer = await self._client.fetch(
                    address,
                    call.method,
                    call.path,
                    request_id=call.request_id,
                    headers_by_name=call.headers_by_name,
                    body=call.body,
                )
                history.record_answer()
                if answer.status not in RETRIED_STATUSES:
                    return answer
                reason, cause = RetryReason.REFUSED, RefusalCause.UPSTREAM_ERROR
            except UpstreamUnavailable:
                history.record_not_run()
                reason, cause = (
                    RetryReason.ENGINE_UNREACHABLE,
                    RefusalCause.CONNECT_FAILED,
                )
            except UpstreamSilent:
                reason, cause = RetryReason.ANSWER_SILENT, RefusalCause.ANSWER_SILENT
            except UpstreamBroken:
                reason, cause = RetryReason.ANSWER_CUT, RefusalCause.ANSWER_BROKEN
            retry = self._retries.decide(
                attempt, reason, now=self._clock(), deadline=call.deadline
            )
            if not retry.allowed:
                if answer is not None:
                    return answer
                if retry.budget_empty:
                    cause = RefusalCause.RETRY_BUDGET_EMPTY
                refused = refuse(cause, retry_after=1.0, peer=str(address))
                raise history.apply(refused)
            await asyncio.sleep(retry.delay)
