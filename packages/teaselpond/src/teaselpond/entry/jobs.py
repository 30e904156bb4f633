"""Serve fitting plans, which are durable jobs."""

import asyncio
import json

from aiohttp import web

from ..delivery.chats import parse_chat
from ..delivery.job_records import JobState
from ..delivery.jobs import JobStatus
from ..delivery.verdicts import RefusalCause, refuse
from ..policy import RequestClass
from .bodies import read_body
from .callers import CallContext
from .chats import EVENT_STREAM
from .context import EntryContext

FOLLOW_SECONDS = 0.5
ENDED_STATES = (JobState.DONE, JobState.FAILED)


class JobViews:
    """Take jobs in and tell how they stand."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [
            web.post("/v1/jobs", self.submit),
            web.get("/v1/jobs/{job_id}", self.show),
        ]

    async def submit(self, request: web.Request) -> web.Response:
        """Answer 202 once the job is stored."""
        context = self.context
        with context.drain.request(context.clock()):
            call = self.context.read_call(request)
            body = await read_body(request, self.context.settings.max_body_bytes)
            self._check(call, body)
            status = await context.jobs.submit(
                call.workspace.workspace_id,
                call.idempotency_key or call.request_id,
                body,
            )
            context.journal.note(
                call.request_id,
                "jobs",
                f"stored as {status.job_id}",
                context.wall_clock(),
            )
            return web.json_response(
                self._describe(status),
                status=202,
                headers={"Location": f"/v1/jobs/{status.job_id}"},
            )

    async def show(self, request: web.Request) -> web.StreamResponse:
        """Answer a job's state and result, as a stream when asked for one."""
        call = self.context.read_call(request)
        job_id = request.match_info["job_id"]
        if EVENT_STREAM in request.headers.get("Accept", ""):
            return await self._follow(request, call, job_id)
        return web.json_response(await self._load(call, job_id))

    def _check(self, call: CallContext, body: bytes) -> None:
        # What could never run is refused before it is stored.
        plan = parse_chat(
            body,
            workspace=call.workspace.workspace_id,
            chat=call.chat or call.request_id,
            request_id=call.request_id,
            request_class=RequestClass.PLAN,
            deadline=call.deadline,
        )
        if plan.model not in call.workspace.models:
            raise refuse(
                RefusalCause.MODEL_UNKNOWN,
                f"workspace {plan.workspace} has no model {plan.model}",
            )

    async def _load(self, call: CallContext, job_id: str) -> dict:
        workspace = call.workspace.workspace_id
        status = await self.context.jobs.status(workspace, job_id)
        described = self._describe(status)
        if status.state is JobState.DONE:
            result = await self.context.jobs.fetch(workspace, job_id)
            described["result"] = json.loads(result) if result else None
        return described

    async def _follow(
        self, request: web.Request, call: CallContext, job_id: str
    ) -> web.StreamResponse:
        described = await self._load(call, job_id)
        response = web.StreamResponse(headers={"Content-Type": EVENT_STREAM})
        await response.prepare(request)
        last: dict | None = None
        while True:
            if described != last:
                await response.write(
                    b"data: " + json.dumps(described).encode() + b"\n\n"
                )
                last = described
            if described["state"] in {state.value for state in ENDED_STATES}:
                break
            if self.context.clock() >= call.deadline:
                break
            await asyncio.sleep(FOLLOW_SECONDS)
            described = await self._load(call, job_id)
        await response.write_eof()
        return response

    def _describe(self, status: JobStatus) -> dict:
        return {
            "job_id": status.job_id,
            "state": status.state.value,
            "progress": status.progress,
            "attempts": status.attempts,
            "reason": status.reason,
        }
