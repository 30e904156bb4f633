"""Show one promise of the fleet in each step."""

import asyncio
import json
from typing import Any

from ..fleet import Caller, Fleet
from ..fleet.document import ORDER_SERVICE
from .report import Report

JOB_TIMEOUT_SECONDS = 20.0
JOB_POLL_SECONDS = 0.3
ZONE_SETTLE_SECONDS = 3.0
CHATS_IN_ZONE_STEP = 30


class Step:
    """Act on a fleet and check what its callers see."""

    title = ""

    def __init__(self, fleet: Fleet, caller: Caller, report: Report) -> None:
        self.fleet = fleet
        self.caller = caller
        self.report = report

    async def run(self) -> None:
        """Act and check; subclasses say how."""
        raise TypeError(f"{type(self).__name__} has no run method")

    async def upstream(self, url: str, path: str) -> dict[str, Any]:
        """Read an upstream's own record."""
        async with self.caller.session.get(f"{url}{path}") as response:
            return await response.json()


class LocateStep(Step):
    """Ask which addresses to use."""

    title = "A caller asks which addresses to use"

    async def run(self) -> None:
        """Check that a located answer names every daemon once."""
        located = await self.caller.locate("scan-17")
        addresses = located["addresses"]
        self.report.print_detail(f"use {', '.join(addresses)} for {located['ttl_seconds']} s")
        self.report.check(
            set(addresses) <= set(self.fleet.live_addresses()) and len(addresses) > 1,
            f"{len(addresses)} live addresses in order of preference",
        )


class ChatStep(Step):
    """Hold a chat over several turns."""

    title = "A streamed chat over three turns"

    async def run(self) -> None:
        """Check that later turns reuse the cache of the first."""
        history = " ".join(f"measurement-{number}" for number in range(200))
        messages = [{"role": "user", "content": history}]
        reused = []
        for turn in range(3):
            answer = await self.caller.chat("scan-17", messages, max_tokens=20)
            cached = int(answer.headers.get("X-Cached-Tokens", 0))
            prompt = int(answer.headers.get("X-Prompt-Tokens", 0))
            engine = answer.headers.get("X-Engine")
            reused.append(cached / max(prompt, 1))
            self.report.print_detail(
                f"turn {turn + 1}: {prompt} prompt tokens, {cached} from the cache "
                f"of {engine}: {answer.text[:40]}..."
            )
            messages += [
                {"role": "assistant", "content": answer.text},
                {"role": "user", "content": f"and the left foot, turn {turn}?"},
            ]
        self.report.check(reused[0] == 0.0, "the first turn reads the whole history")
        self.report.check(
            min(reused[1:]) > 0.5, "later turns take most of it from the cache"
        )


class OrderStep(Step):
    """Place one order twice."""

    title = "An order placed twice with one key"

    async def run(self) -> None:
        """Check that the service ran it once and both answers agree."""
        body = {"shell": "model-7", "size": 27}
        answers = [
            await self.caller.service(ORDER_SERVICE, "orders", body, key="order-1")
            for _ in range(2)
        ]
        for answer in answers:
            self.report.print_detail(f"{answer.status} {answer.text[:70]}")
        service = self.fleet.services_by_id[f"service-{ORDER_SERVICE}"]
        ran = await self.upstream(service.url, "/_ran")
        times = ran["by_key"].get("order-1", 0)
        self.report.check(times == 1, f"the service ran it {times} time(s)")
        self.report.check(
            answers[0].status == 200 and answers[0].text == answers[1].text,
            "both answers are the same",
        )


class PlanStep(Step):
    """Submit a fitting plan and lose the daemon that took it."""

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
        state = await self._wait(job_id)
        self.report.check(
            accepted.status == 202 and state.get("state") == "done",
            f"the plan is {state.get('state')}, with "
            f"{len(str(state.get('result', '')))} bytes of result",
        )

    async def _wait(self, job_id: str) -> dict[str, Any]:
        state: dict[str, Any] = {}
        for _ in range(int(JOB_TIMEOUT_SECONDS / JOB_POLL_SECONDS)):
            answer = await self.caller.job(job_id)
            state = json.loads(answer.text)
            if state.get("state") in ("done", "failed"):
                break
            await asyncio.sleep(JOB_POLL_SECONDS)
        return state


class EngineLossStep(Step):
    """Kill the engine in the middle of a stream."""

    title = "A stream whose engine is killed"

    async def run(self) -> None:
        """Check that the stream arrives whole, as an undisturbed one does."""
        messages = [{"role": "user", "content": "care " + "question " * 40}]
        expected = await self.caller.chat("care-1", messages, max_tokens=50)
        engine_id = expected.headers.get("X-Engine", "")
        task = asyncio.create_task(self.caller.chat("care-1", messages, max_tokens=50))
        await asyncio.sleep(0.3)
        await self.fleet.engines_by_id[engine_id].kill()
        self.report.print_detail(f"killed {engine_id} in the middle of the answer")
        answer = await task
        self.report.check(
            answer.text == expected.text, "the answer is whole, byte for byte"
        )
        await self.fleet.start_engine(engine_id)


class DaemonLossStep(Step):
    """Kill the daemon in the middle of a stream."""

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
                self.report.print_detail(f"killed {daemon_id} in the middle of the answer")
        answer = await task
        self.report.check(
            answer.text == expected.text and answer.address != expected.address,
            f"the answer is whole, its end came from {answer.address}",
        )


class ZoneStep(Step):
    """Take a zone out and bring it back."""

    title = "A zone is taken out and brought back"

    async def run(self) -> None:
        """Check that the zone's engines get nothing while it is out."""
        zone = self.fleet.plan.zones[1]
        await self.fleet.run_ctl("zone", "out", zone)
        await asyncio.sleep(ZONE_SETTLE_SECONDS)
        before = await self._ran_in(zone)
        await self._chats()
        during = await self._ran_in(zone) - before
        self.report.check(during == 0, f"{zone} is out: {during} requests ran there")
        await self.fleet.run_ctl("zone", "in", zone)
        await asyncio.sleep(ZONE_SETTLE_SECONDS)
        await self._chats()
        after = await self._ran_in(zone) - before
        self.report.check(after > 0, f"{zone} is back: {after} requests ran there")

    async def _chats(self) -> None:
        prompt = [{"role": "user", "content": "a short question"}]
        await asyncio.gather(
            *(
                self.caller.chat(f"zone-{number}", prompt, max_tokens=3)
                for number in range(CHATS_IN_ZONE_STEP)
            )
        )

    async def _ran_in(self, zone: str) -> int:
        total = 0
        for engine_id, engine in self.fleet.engines_by_id.items():
            if engine_id.split("-")[1] == zone:
                ran = await self.upstream(engine.url, "/_ran")
                total += ran["total"]
        return total
