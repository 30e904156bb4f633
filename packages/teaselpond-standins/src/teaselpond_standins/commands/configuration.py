"""Measure the costs and delays of configuration from the command line."""

import asyncio
import json

import attrs

from ..capacity.documents import measure_document
from ..capacity.propagation import (
    Propagation,
    measure_outage_propagation,
    measure_propagation,
)

WORKSPACE_COUNTS = (10, 100, 700, 2_800)
DAEMON_COUNTS = (3, 7, 14, 28)


class ConfigurationCommand:
    """Print the costs of documents and the delays of changes."""

    name = "configuration"

    def __call__(self, changes: int = 20, as_json: bool = False) -> None:
        """Measure documents, then fleets whose daemons share this process."""
        asyncio.run(_measure(changes, as_json))


async def _measure(changes: int, as_json: bool) -> None:
    costs = [attrs.asdict(await measure_document(size)) for size in WORKSPACE_COUNTS]
    propagations = []
    for daemons in DAEMON_COUNTS:
        for linked in (True, False):
            propagations.append(
                await measure_propagation(daemons, changes, 100, linked=linked)
            )
        propagations.append(await measure_outage_propagation(daemons, changes, 100))
    rows = [_row(propagation) for propagation in propagations]
    if as_json:
        print(json.dumps({"documents": costs, "spread": rows}))
        return
    _print_table(costs)
    print()
    _print_table(rows)


def _row(propagation: Propagation) -> dict[str, object]:
    return {
        "daemons": propagation.daemons,
        "way": propagation.transport,
        "changes": len(propagation.seconds),
        "p50_seconds": round(propagation.quantile(0.5), 3),
        "p99_seconds": round(propagation.quantile(0.99), 3),
        "link_bytes_per_change": propagation.link_bytes_per_change,
        "table_reads_per_second": round(propagation.table_reads_per_second, 1),
    }


def _print_table(rows: list[dict[str, object]]) -> None:
    print("| " + " | ".join(rows[0]) + " |")
    print("|" + " --- |" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(str(value) for value in row.values()) + " |")
