"""Restart each daemon in turn under load and count failed requests."""

import asyncio
import json
import time
from collections import Counter

import aiohttp
from attrs import define, field, frozen

from ..engine import expected_answer
from ..fleet import Fleet, FleetPlan
from ..fleet.document import WORKSPACES

REQUEST_TIMEOUT_SECONDS = 40.0
RETRY_DELAY_SECONDS = 0.1
MAX_ATTEMPTS = 20
WHOLE_ANSWER = "whole"
END_OF_STREAM = "[DONE]"


@frozen
class RollingRestartPlan:
    """Set the size of a rolling restart and its load.

    Each of ``callers`` sends one request after another until the restarts
    are done and ``requests`` have been sent in total.
    """

    daemons: int = 4
    callers: int = 24
    requests: int = 2000
    rounds: int = 1


@define
class RestartTally:
    """Count the requests by how they ended.

    ``cut`` counts connections that ended after a request was sent and
    before its whole answer was received, and refusals of requests that may
    have run. A "not-run" refusal and a failed connection attempt don't
    count: the caller tries another address. ``unanswered`` counts requests
    that failed in all attempts.
    """

    whole: int = 0
    wrong: int = 0
    cut: int = 0
    unanswered: int = 0
    refusals_by_reason: Counter[str] = field(factory=Counter)
    exit_codes: list[int | None] = field(factory=list)
    cut_details: list[str] = field(factory=list)

    @property
    def passed(self) -> bool:
        """Return whether no answer was wrong, cut or missing.

        Each daemon must have exited with code 0, too.
        """
        return not (self.wrong or self.cut or self.unanswered or any(self.exit_codes))


class RollingRestart:
    """Run callers against a fleet while its daemons are restarted."""

    def __init__(self, plan: RollingRestartPlan) -> None:
        self.plan = plan
        self.tally = RestartTally()
        self._restarts_done = False
        self._requests_sent = 0

    async def run(self) -> RestartTally:
        """Start a fleet, restart its daemons under load, return the counts."""
        fleet_plan = FleetPlan(engines_per_zone=2, daemons=self.plan.daemons)
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            Fleet(fleet_plan) as fleet,
            aiohttp.ClientSession(connector=connector) as session,
        ):
            callers = [
                asyncio.create_task(self._run_caller(fleet, session, number))
                for number in range(self.plan.callers)
            ]
            for _ in range(self.plan.rounds):
                for daemon_id in fleet_plan.daemon_ids():
                    await self._restart(fleet, daemon_id)
            self._restarts_done = True
            await asyncio.gather(*callers)
        return self.tally

    async def _restart(self, fleet: Fleet, daemon_id: str) -> None:
        self.tally.exit_codes.append(await fleet.daemons_by_id[daemon_id].stop())
        await fleet.start_daemon(daemon_id)
        await fleet.wait_ready(daemon_id)

    async def _run_caller(
        self, fleet: Fleet, session: aiohttp.ClientSession, caller: int
    ) -> None:
        addresses: list[str] = []
        located_until = 0.0
        workspace = WORKSPACES[caller % len(WORKSPACES)]
        while not self._restarts_done or self._requests_sent < self.plan.requests:
            self._requests_sent += 1
            prompt = f"chat {caller} turn {self._requests_sent} words:8"
            for _ in range(MAX_ATTEMPTS):
                if time.monotonic() >= located_until or not addresses:
                    addresses, ttl = await self._locate(
                        fleet, session, workspace, f"c{caller}"
                    )
                    located_until = time.monotonic() + ttl
                outcome = await self._send_chat(
                    session, addresses[0], workspace, prompt
                )
                if outcome == WHOLE_ANSWER:
                    break
                addresses = addresses[1:]
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            else:
                self.tally.unanswered += 1

    async def _locate(
        self, fleet: Fleet, session: aiohttp.ClientSession, workspace: str, chat: str
    ) -> tuple[list[str], float]:
        while True:
            for address in fleet.live_addresses():
                url = f"http://{address}/v1/locate"
                query = {"workspace": workspace, "chat": chat}
                try:
                    async with session.get(url, params=query) as response:
                        if response.status == 200:
                            body = await response.json()
                            return body["addresses"], body["ttl_seconds"]
                except aiohttp.ClientError:
                    continue
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _send_chat(
        self,
        session: aiohttp.ClientSession,
        address: str,
        workspace: str,
        prompt: str,
    ) -> str:
        messages = [{"role": "user", "content": prompt}]
        body = {"model": "fitting", "messages": messages, "stream": True}
        try:
            async with session.post(
                f"http://{address}/v1/chat/completions",
                json=body,
                headers={"X-Workspace": workspace},
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError:
            return "not connected"
        except (aiohttp.ClientError, TimeoutError) as error:
            self._record_cut(f"{address}: {error!r}")
            return "cut"
        if response.status != 200:
            return self._record_refusal(content)
        return self._check_answer(content.decode(), expected_answer(messages))

    def _record_refusal(self, content: bytes) -> str:
        problem = json.loads(content)
        self.tally.refusals_by_reason[f"{problem['reason']} {problem['run']}"] += 1
        if problem["run"] != "not-run":
            self._record_cut(f"refused as {problem['run']}: {problem['detail']}")
        return "refused"

    def _record_cut(self, detail: str) -> None:
        self.tally.cut += 1
        self.tally.cut_details.append(detail)

    def _check_answer(self, content: str, expected: str) -> str:
        data = [
            line.removeprefix("data: ")
            for line in content.splitlines()
            if line.startswith("data: ")
        ]
        if not data or data[-1] != END_OF_STREAM:
            self._record_cut(
                f"no {END_OF_STREAM} event at the end of {content[-120:]!r}"
            )
            return "cut"
        text = "".join(
            json.loads(event)["choices"][0]["delta"].get("content", "")
            for event in data[:-1]
        )
        if text != expected:
            self.tally.wrong += 1
            return "wrong"
        self.tally.whole += 1
        return WHOLE_ANSWER
