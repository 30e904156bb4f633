"""Explain where a gateway would send a request now."""

from typing import Any
from urllib.parse import urlencode

from fire import decorators

from teaselpond_model.contracts import Address

from ..exceptions import CommandRefused, CommandUsage
from .base import Command

COLUMNS = (
    "upstream",
    "zone",
    "version",
    "candidate",
    "left_out",
    "load",
    "load_age",
    "slowness",
    "cold",
    "held",
    "rank",
    "chance",
)


class ExplainPlacementCommand(Command):
    """Explain where a gateway would send a request now."""

    @decorators.SetParseFn(str)
    async def __call__(
        self,
        gateway: str,
        *,
        host: str = "",
        path: str = "",
        route: str = "",
        workspace: str = "",
        prompt: str = "",
        tokens: str = "",
        request_id: str = "",
    ) -> None:
        """Ask a gateway where a request would go, without sending it.

        ``gateway`` is IP:PORT of its peers' port. The request is for a host
        and a path, or for a route. ``prompt`` is ID:TOKENS,..., ``tokens`` is
        INPUT,OUTPUT. ``request_id`` matters in roll-outs, and for routes with
        several services.
        """
        try:
            address = Address.parse(gateway)
        except ValueError as error:
            raise CommandUsage(f"GATEWAY: {error}") from error
        values = {
            "host": host,
            "path": path,
            "route": route,
            "workspace": workspace,
            "prompt": prompt,
            "tokens": tokens,
            "id": request_id,
        }
        query = urlencode({name: value for name, value in values.items() if value})
        async with self._open_session() as session:
            answer = await session.daemons.request(address, f"/explain?{query}")
        if not answer.succeeded:
            raise CommandRefused(f"{address}: {answer.problem}")
        self._output.print_json(answer.value)
        if not self._output.as_json:
            for line in describe(answer.value):
                self._output.print_text(line)
            rows = [_table_row(each) for each in answer.value["upstreams"]]
            self._output.print_table(rows, COLUMNS)


def describe(explanation: dict[str, Any]) -> list[str]:
    """Return the lines above the table of an explanation's upstreams."""
    lines = [
        f"route {explanation['route'] or '-'}, service {explanation['service'] or '-'},"
        f" configuration {explanation['configuration_version'] or '-'}"
    ]
    lines.extend(map(_describe_obstacle, explanation["obstacles"]))
    rollout = explanation["rollout"]
    if rollout is not None:
        lines.append(
            f"roll-out to version {rollout['to_version']}: {rollout['stage']},"
            f" share {rollout['share']}"
        )
    lines.append(_describe_choice(explanation))
    lines.append(
        f"mean load {explanation['mean_load']}, limit {explanation['load_limit']}"
    )
    shown = len(explanation["upstreams"])
    if shown < explanation["upstream_count"]:
        lines.append(f"{shown} of {explanation['upstream_count']} upstreams are shown")
    counts = explanation["counts_by_reason"]
    if counts:
        texts = [f"{count} {reason}" for reason, count in sorted(counts.items())]
        lines.append("left out: " + ", ".join(texts))
    return lines


def _describe_obstacle(obstacle: dict[str, Any]) -> str:
    if obstacle["held_seconds"] is not None:
        text = f"would be held for {obstacle['held_seconds']:.3f} s, then ask again"
    else:
        text = f"would be refused: {obstacle['status']} {obstacle['reason']}"
    if obstacle["detail"]:
        text += f" ({obstacle['detail']})"
    if obstacle["retry_seconds"] is not None:
        text += f", retry after {obstacle['retry_seconds']:.3f} s"
    if obstacle["chance"] < 1:
        text += f", chance {obstacle['chance']:.2f}"
    return text


def _describe_choice(explanation: dict[str, Any]) -> str:
    if explanation["choice"]:
        text = f"goes to {explanation['choice']}"
        if explanation["copy_from"]:
            text += f", copies the prompt from {explanation['copy_from']}"
        return text
    if explanation["is_random"]:
        return "chosen at random by capacity"
    if explanation["is_estimated"]:
        return "depends on chance; chances are estimated"
    return "goes to no upstream"


def _table_row(upstream: dict[str, Any]) -> dict[str, Any]:
    return {
        **upstream,
        "version": upstream["version"] or None,
        "candidate": "yes" if upstream["is_candidate"] else "no",
        "left_out": upstream["left_out"] or None,
        "load_age": upstream["load_age_seconds"],
        "cold": upstream["cold_seconds"],
        "held": "yes" if upstream["is_held"] else "no",
    }
