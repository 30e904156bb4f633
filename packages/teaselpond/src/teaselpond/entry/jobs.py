"""Serve plans: chats that run in the background as durable jobs."""

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
from .chats import EVENT_STREAM_TYPE
from .context import EntryContext

STATUS_INTERVAL_SECONDS = 0.5
FINAL_STATES = (JobState.DONE, JobState.FAILED)


class JobViews:
    """Accept jobs and report their state."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [
            web.post("/v1/jobs", self.submit),
            web.get("/v1/jobs/{job_id}", self.show),
        ]

    async def submit(self, request: web.Request) -> web.Response:
        """Store a job and answer 202."""
        context = self.context
        with context.drain.request(context.clock()):
            call = self.context.read_call(request)
            body = await read_body(request, self.context.settings.max_body_bytes)
            self._check_plan(call, body)
            status = await context.jobs.submit(
                call.workspace.workspace_id,
                call.idempotency_key or call.request_id,
                body,
            )
            context.journal.record(
                call.request_id,
                "jobs",
                f"stored as job {status.job_id}",
                context.wall_clock(),
            )
            return web.json_response(
                self._describe(status),
                status=202,
                headers={"Location": f"/v1/jobs/{status.job_id}"},
            )

    async def show(self, request: web.Request) -> web.StreamResponse:
        """Answer with a job's state and result, or stream its changes.

        The stream ends with the job or at the call's deadline.
        """
        call = self.context.read_call(request)
        job_id = request.match_info["job_id"]
        if EVENT_STREAM_TYPE in request.headers.get("Accept", ""):
            return await self._stream_job(request, call, job_id)
        return web.json_response(await self._read_job(call, job_id))

    def _check_plan(self, call: CallContext, body: bytes) -> None:
        # Refuse a plan that could never run before it is stored.
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

    async def _read_job(self, call: CallContext, job_id: str) -> dict:
        workspace = call.workspace.workspace_id
        status = await self.context.jobs.status(workspace, job_id)
        description = self._describe(status)
        if status.state is JobState.DONE:
            result = await self.context.jobs.fetch(workspace, job_id)
            description["result"] = json.loads(result) if result else None
        return description

    async def _stream_job(
        self, request: web.Request, call: CallContext, job_id: str
    ) -> web.StreamResponse:
        description = await self._read_job(call, job_id)
        response = web.StreamResponse(headers={"Content-Type": EVENT_STREAM_TYPE})
        await response.prepare(request)
        last_sent: dict | None = None
        while True:
            if description != last_sent:
                await response.write(
                    b"data: " + json.dumps(description).encode() + b"\n\n"
                )
                last_sent = description
            if description["state"] in {state.value for state in FINAL_STATES}:
                break
            if self.context.clock() >= call.deadline:
                break
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)
            description = await self._read_job(call, job_id)
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
