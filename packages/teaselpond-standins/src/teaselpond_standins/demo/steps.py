"""Define the demo's steps, each of which checks one guarantee."""

import asyncio
import json
from typing import Any

from ..fleet import Caller, Fleet
from ..fleet.document import ORDER_SERVICE
from .report import Report

JOB_TIMEOUT_SECONDS = 20.0
JOB_POLL_SECONDS = 0.3
ZONE_PROPAGATION_SECONDS = 3.0
CHATS_IN_ZONE_STEP = 30


class Step:
    """Change a fleet and check the effect on its callers."""

    title = ""

    def __init__(self, fleet: Fleet, caller: Caller, report: Report) -> None:
        self.fleet = fleet
        self.caller = caller
        self.report = report

    async def run(self) -> None:
        """Run the step; subclasses implement it."""
        raise TypeError(f"{type(self).__name__} does not implement run()")

    async def read_upstream(self, url: str, path: str) -> dict[str, Any]:
        """Return the JSON of a path of an upstream stand-in."""
        async with self.caller.session.get(f"{url}{path}") as response:
            return await response.json()


class LocateStep(Step):
    """Locate the daemons for a chat."""

    title = "A caller asks which addresses to use"

    async def run(self) -> None:
        """Check that the answer lists several addresses, all of them live."""
        located = await self.caller.locate("scan-17")
        addresses = located["addresses"]
        self.report.print_detail(
            f"use {', '.join(addresses)} for {located['ttl_seconds']} s"
        )
        self.report.check(
            set(addresses) <= set(self.fleet.live_addresses()) and len(addresses) > 1,
            f"{len(addresses)} live addresses in order of preference",
        )


class ChatStep(Step):
    """Run a chat over several turns."""

    title = "A streamed chat over three turns"

    async def run(self) -> None:
        """Check that later turns reuse the cached prefix of the first."""
        history = " ".join(f"measurement-{number}" for number in range(200))
        messages = [{"role": "user", "content": history}]
        reused_shares = []
        for turn in range(3):
            answer = await self.caller.chat("scan-17", messages, max_tokens=20)
            cached = int(answer.headers.get("X-Cached-Tokens", 0))
            prompt = int(answer.headers.get("X-Prompt-Tokens", 0))
            engine = answer.headers.get("X-Engine")
            reused_shares.append(cached / max(prompt, 1))
            self.report.print_detail(
                f"turn {turn + 1}: {prompt} prompt tokens, {cached} from the cache "
                f"of {engine}: {answer.text[:40]}..."
            )
            messages += [
                {"role": "assistant", "content": answer.text},
                {"role": "user", "content": f"and the left foot, turn {turn}?"},
            ]
        self.report.check(
            reused_shares[0] == 0.0, "the first turn finds nothing in the cache"
        )
        self.report.check(
            min(reused_shares[1:]) > 0.5,
            "later turns read most of their prompt from the cache",
        )


class OrderStep(Step):
    """Send one order twice with the same idempotency key."""

    title = "An order placed twice with one key"

    async def run(self) -> None:
        """Check that the service ran it once and both answers are equal."""
        body = {"shell": "model-7", "size": 27}
        answers = [
            await self.caller.call_service(ORDER_SERVICE, "orders", body, key="order-1")
            for _ in range(2)
        ]
        for answer in answers:
            self.report.print_detail(f"{answer.status} {answer.text[:70]}")
        service = self.fleet.services_by_id[f"service-{ORDER_SERVICE}"]
        ran = await self.read_upstream(service.url, "/_ran")
        runs = ran["by_key"].get("order-1", 0)
        self.report.check(runs == 1, f"the service ran it {runs} time(s)")
        self.report.check(
            answers[0].status == 200 and answers[0].text == answers[1].text,
            "both answers are the same",
        )


class PlanStep(Step):
    """Submit a fitting plan and kill the daemon that accepted it."""

    title = "A fitting plan whose daemon is killed"

    async def run(self) -> None:
        """Check that another daemon finishes the plan."""
        body = {
            "model": "fitting",
            "messages": [{"role": "user", "content": "plan " + "pressure " * 300}],
            "max_tokens": 60,
        }
        accepted = await self.caller.submit_job(body, key="plan-1")
        job_id = json.loads(accepted.text)["job_id"]
        self.report.print_detail(f"{accepted.status} from {accepted.address}: {job_id}")
        for daemon_id, daemon in self.fleet.daemons_by_id.items():
            if daemon.address == accepted.address:
                await daemon.kill()
                self.report.print_detail(f"killed {daemon_id}")
        state = await self._wait_for_end(job_id)
        self.report.check(
            accepted.status == 202 and state.get("state") == "done",
            f"the plan is {state.get('state')}, with "
            f"{len(str(state.get('result', '')))} bytes of result",
        )

    async def _wait_for_end(self, job_id: str) -> dict[str, Any]:
        state: dict[str, Any] = {}
        for _ in range(int(JOB_TIMEOUT_SECONDS / JOB_POLL_SECONDS)):
            answer = await self.caller.get_job(job_id)
            state = json.loads(answer.text)
            if state.get("state") in ("done", "failed"):
                break
            await asyncio.sleep(JOB_POLL_SECONDS)
        return state


class EngineLossStep(Step):
    """Kill the engine of a running stream."""

    title = "A stream whose engine is killed"

    async def run(self) -> None:
        """Check that the text equals that of an undisturbed stream."""
        messages = [{"role": "user", "content": "care " + "question " * 40}]
        expected = await self.caller.chat("care-1", messages, max_tokens=50)
        engine_id = expected.headers.get("X-Engine", "")
        task = asyncio.create_task(self.caller.chat("care-1", messages, max_tokens=50))
        await asyncio.sleep(0.3)
        await self.fleet.engines_by_id[engine_id].kill()
        self.report.print_detail(f"killed {engine_id} in the middle of the answer")
        answer = await task
        self.report.check(
            answer.text == expected.text,
            "the answer equals that of an undisturbed stream",
        )
        await self.fleet.start_engine(engine_id)


class DaemonLossStep(Step):
    """Kill the daemon that relays a stream."""

    title = "A stream whose daemon is killed"

    async def run(self) -> None:
        """Check that the caller resumes on another daemon."""
        messages = [{"role": "user", "content": "hair " + "question " * 40}]
        expected = await self.caller.chat("hair-1", messages, max_tokens=50)
        task = asyncio.create_task(self.caller.chat("hair-1", messages, max_tokens=50))
        await asyncio.sleep(0.3)
        for daemon_id, daemon in self.fleet.daemons_by_id.items():
            if daemon.address == expected.address:
                await daemon.kill()
                self.report.print_detail(
                    f"killed {daemon_id} in the middle of the answer"
                )
        answer = await task
        self.report.check(
            answer.text == expected.text and answer.address != expected.address,
            f"the answer is complete, and {answer.address} sent its end",
        )


class ZoneStep(Step):
    """Take a zone out of service and put it back."""

    title = "A zone is taken out of service and put back"

    async def run(self) -> None:
        """Check that the zone's engines get requests only while it is in."""
        zone = self.fleet.plan.zones[1]
        await self.fleet.run_ctl("zone", "out", zone)
        await asyncio.sleep(ZONE_PROPAGATION_SECONDS)
        before = await self._count_requests(zone)
        await self._run_chats()
        during = await self._count_requests(zone) - before
        self.report.check(during == 0, f"{zone} is out: {during} requests ran there")
        await self.fleet.run_ctl("zone", "in", zone)
        await asyncio.sleep(ZONE_PROPAGATION_SECONDS)
        await self._run_chats()
        after = await self._count_requests(zone) - before
        self.report.check(after > 0, f"{zone} is back: {after} requests ran there")

    async def _run_chats(self) -> None:
        prompt = [{"role": "user", "content": "a short question"}]
        await asyncio.gather(
            *(
                self.caller.chat(f"zone-{number}", prompt, max_tokens=3)
                for number in range(CHATS_IN_ZONE_STEP)
            )
        )

    async def _count_requests(self, zone: str) -> int:
        total = 0
        for engine_id, engine in self.fleet.engines_by_id.items():
            if engine_id.split("-")[1] == zone:
                ran = await self.read_upstream(engine.url, "/_ran")
                total += ran["total"]
        return total
