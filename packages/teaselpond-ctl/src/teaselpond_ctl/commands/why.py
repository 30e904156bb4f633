"""Show how the daemons routed or refused a request."""

import time
from urllib.parse import quote

from fire import decorators

from ..exceptions import CommandRefused
from .base import Command


class WhyCommand(Command):
    """Show how the daemons routed or refused a request."""

    @decorators.SetParseFn(str)
    async def __call__(self, request_id: str) -> None:
        """List the steps of a recent request on every daemon, by time."""
        path = f"/ops/why/{quote(request_id, safe='')}"
        async with self._open_session() as session:
            answers = await session.request_all(path)
        rows = [
            {**event, "daemon": answer.value["daemon_id"]}
            for answer in answers
            if answer.succeeded
            for event in answer.value["events"]
        ]
        rows.sort(key=lambda row: row["time"])
        for answer in answers:
            if answer.status not in (200, 404):
                self._output.print_text(f"{answer.address}: {answer.problem}")
        if not rows:
            raise CommandRefused(f"no daemon has a record of request {request_id}")
        self._output.print_json(rows)
        if not self._output.as_json:
            table_rows = [{**row, "time": _format_time(row["time"])} for row in rows]
            self._output.print_table(table_rows, ("time", "daemon", "step", "detail"))


def _format_time(when: float) -> str:
    return time.strftime("%T", time.gmtime(when)) + f"{when % 1:.3f}"[1:]
