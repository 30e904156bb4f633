"""Show the state and the load of every daemon."""

from collections.abc import Sequence

from ..daemons import DaemonAnswer
from ..exceptions import CommandRefused
from .base import Command

DAEMON_COLUMNS = (
    "daemon",
    "zone",
    "state",
    "version",
    "digest",
    "engines",
    "in_flight",
    "peers",
    "problem",
)
ENGINE_COLUMNS = ("engine", "zone", "model", "owner", "in_flight", "limit", "queued")


class StatusCommand(Command):
    """Show the state and the load of every daemon."""

    async def __call__(self) -> None:
        """List the daemons, their engines and the outages not stored yet."""
        async with self._open_session() as session:
            answers = await session.request_all("/ops/status")
        daemons = [_daemon_row(answer) for answer in answers]
        engines = [row for answer in answers for row in _engine_rows(answer)]
        outages = _pending_outages(answers)
        self._output.print_json(
            {"daemons": daemons, "engines": engines, "orders": outages}
        )
        if not self._output.as_json:
            self._output.print_table(daemons, DAEMON_COLUMNS)
            self._output.print_text("")
            self._output.print_table(engines, ENGINE_COLUMNS)
            for outage in outages:
                self._output.print_text(
                    f"not stored yet: {outage['section']} {outage['item_id']} out, "
                    f"by {outage['who']}, known to {outage['daemons']} daemons"
                )
        if not any(answer.succeeded for answer in answers):
            raise CommandRefused("no daemon answered the status request", step="status")


def _daemon_row(answer: DaemonAnswer) -> dict:
    if not answer.succeeded:
        return {"daemon": str(answer.address), "problem": answer.problem}
    value = answer.value
    engines = value.get("engines", ())
    return {
        "daemon": value["daemon_id"],
        "zone": value["zone"],
        "state": value["state"],
        "version": value["config_version"],
        "digest": value["config_digest"],
        "engines": len(engines),
        "in_flight": sum(engine["in_flight"] for engine in engines),
        "peers": len(value.get("peers", ())),
        "incarnation": value["incarnation"],
    }


def _engine_rows(answer: DaemonAnswer) -> list[dict]:
    if not answer.succeeded:
        return []
    return [
        {
            "engine": engine["engine_id"],
            "owner": answer.value["daemon_id"],
            **{name: engine.get(name) for name in ENGINE_COLUMNS[1:3]},
            **{name: engine.get(name) for name in ENGINE_COLUMNS[4:]},
        }
        for engine in answer.value.get("engines", ())
    ]


def _pending_outages(answers: Sequence[DaemonAnswer]) -> list[dict]:
    """Return the outages ordered with ``--by_links``, without duplicates.

    ``daemons`` counts the daemons that know of an outage.
    """
    outages_by_id: dict[str, dict] = {}
    for answer in answers:
        for outage in answer.value.get("outages", ()) if answer.succeeded else ():
            row = outages_by_id.setdefault(
                outage["outage_id"], {**outage, "daemons": 0}
            )
            row["daemons"] += 1
    return list(outages_by_id.values())
