"""List and lift the quarantine of requests that crash engines."""

import time
from urllib.parse import quote

from fire import decorators

from ..exceptions import CommandRefused
from .base import Command


class QuarantineCommand(Command):
    """List and lift the quarantine of requests that crash engines."""

    async def list(self) -> None:
        """List the requests that were running when engines crashed."""
        rows_by_fingerprint = {}
        async with self._open_session() as session:
            for answer in await session.request_all("/ops/quarantine"):
                if not answer.succeeded:
                    self._output.print_text(f"{answer.address}: {answer.problem}")
                    continue
                for row in answer.value["quarantine"]:
                    rows_by_fingerprint[row["fingerprint"]] = row
        rows = [
            {**row, "state": "quarantined" if row["quarantined_until"] else "suspect"}
            for row in rows_by_fingerprint.values()
        ]
        self._output.print_json(rows)
        if not self._output.as_json:
            table_rows = [
                {**row, "until": _format_time(row["quarantined_until"])} for row in rows
            ]
            columns = ("fingerprint", "workspace", "state", "until", "deaths")
            self._output.print_table(table_rows, columns)

    @decorators.SetParseFn(str)
    async def lift(self, fingerprint: str) -> None:
        """Allow a request to run again on every daemon."""
        path = f"/ops/quarantine/{quote(fingerprint, safe='')}"
        async with self._open_session() as session:
            answers = await session.request_all(path, method="DELETE")
        lifted = [answer for answer in answers if answer.succeeded]
        for answer in answers:
            if not answer.succeeded:
                self._output.print_text(f"{answer.address}: {answer.problem}")
        if not lifted:
            raise CommandRefused(
                f"no daemon lifted the quarantine of {fingerprint}",
                step="quarantine lift",
            )
        self._output.print_text(f"lifted on {len(lifted)} of {len(answers)} daemons")
        self._output.print_json({"lifted_on": len(lifted), "daemons": len(answers)})


def _format_time(until: float) -> str | None:
    return time.strftime("%F %T", time.gmtime(until)) if until else None
