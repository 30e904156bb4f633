"""Serve the addresses that callers should send requests to."""

from aiohttp import web

from ..delivery.verdicts import RefusalCause, refuse
from ..locate import LocateQuestion
from .callers import NAME_PATTERN
from .context import EntryContext


class LocateViews:
    """Serve locate requests, which any daemon can answer."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [web.get("/v1/locate", self.locate)]

    async def locate(self, request: web.Request) -> web.Response:
        """Answer with addresses in order of preference and a time to live."""
        workspace = request.query.get("workspace", "")
        chat = request.query.get("chat", "")
        document = self.context.document()
        if not NAME_PATTERN.fullmatch(workspace):
            raise refuse(
                RefusalCause.INPUT_INVALID,
                "the parameter workspace is missing or not a valid name",
            )
        if chat and not NAME_PATTERN.fullmatch(chat):
            raise refuse(
                RefusalCause.INPUT_INVALID, "the parameter chat is not a valid name"
            )
        if workspace not in document.workspaces_by_id:
            raise refuse(
                RefusalCause.CALLER_UNKNOWN, f"workspace {workspace} does not exist"
            )
        question = LocateQuestion(
            workspace, chat, request.remote or "", request.query.get("zone", "")
        )
        located = self.context.locator.locate(
            question,
            self._choose_model(request, workspace),
            request.query.get("affinity", ""),
            self.context.clock(),
        )
        return web.json_response(
            {
                "addresses": [str(address) for address in located.answer.addresses],
                "ttl_seconds": located.answer.ttl_seconds,
                "affinity": located.engine_id,
            }
        )

    def _choose_model(self, request: web.Request, workspace: str) -> str:
        models = self.context.document().workspaces_by_id[workspace].models
        requested = request.query.get("model", "")
        if requested in models:
            return requested
        return models[0] if models else ""
