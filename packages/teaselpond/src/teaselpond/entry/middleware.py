"""Convert the errors of views to problem responses."""

from collections.abc import Awaitable, Callable

from absl import logging
from aiohttp import web

from ..delivery import problems
from ..delivery.verdicts import RefusalCause, refuse
from ..exceptions import Refused
from ..logs import log_event
from .callers import REQUEST_ID_KEY, read_request_id
from .context import EntryContext

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
CAUSES_BY_STATUS = {
    404: RefusalCause.RESOURCE_UNKNOWN,
    405: RefusalCause.INPUT_INVALID,
    413: RefusalCause.INPUT_TOO_LARGE,
}


def problem_middleware(context: EntryContext) -> Callable:
    """Return middleware that counts errors and answers them as problems."""

    @web.middleware
    async def convert_errors(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except Refused as refused:
            return _problem_response(context, request, refused)
        except web.HTTPException as error:
            if error.status < 400:
                raise
            cause = CAUSES_BY_STATUS.get(error.status, RefusalCause.INPUT_INVALID)
            refused = refuse(cause, error.reason, step="http")
            return _problem_response(context, request, refused, status=error.status)
        except ConnectionError:
            raise
        except Exception as error:
            logging.exception("unhandled error in a view")
            # Views that stream handle their own errors once they have sent
            # something.
            refused = refuse(
                RefusalCause.INTERNAL_AFTER_SEND, f"{type(error).__name__}"
            )
            return _problem_response(context, request, refused)

    return convert_errors


def _problem_response(
    context: EntryContext,
    request: web.Request,
    refused: Refused,
    *,
    status: int | None = None,
) -> web.Response:
    request_id = _request_id(request)
    context.metrics.incr(refused.reason.counter)
    context.journal.record(
        request_id,
        refused.step,
        f"refused: {refused.reason.value}, {refused.run.value}: {refused}",
        context.wall_clock(),
    )
    log_event(
        f"refused: {refused.message}",
        request_id=request_id,
        step=refused.step,
        peer=refused.peer,
        reason=refused.reason.value,
        run=refused.run.value,
    )
    problem = problems.render(refused, request_id)
    return web.Response(
        status=status or problem.status,
        headers=problem.headers_by_name,
        body=problem.body,
    )


def _request_id(request: web.Request) -> str:
    if REQUEST_ID_KEY not in request:
        try:
            request[REQUEST_ID_KEY] = read_request_id(request)
        except Refused:
            request[REQUEST_ID_KEY] = ""
    return request[REQUEST_ID_KEY]
