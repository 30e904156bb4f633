"""Measure the configuration from the command line."""

import asyncio
import json

import attrs

from ..capacity.documents import measure_document
from ..capacity.spread import Spread, measure_outages, measure_spread

SIZES = (10, 100, 700, 2_800)
FLEETS = (3, 7, 14, 28)


class ConfigurationCommand:
    """Print what documents cost and how soon changes are in force."""

    name = "configuration"

    def __call__(self, changes: int = 20, as_json: bool = False) -> None:
        """Measure sizes of documents, then fleets of one process."""
        asyncio.run(_measure(changes, as_json))


async def _measure(changes: int, as_json: bool) -> None:
    costs = [attrs.asdict(await measure_document(size)) for size in SIZES]
    spreads = []
    for daemons in FLEETS:
        for linked in (True, False):
            spreads.append(await measure_spread(daemons, changes, 100, linked=linked))
        spreads.append(await measure_outages(daemons, changes, 100))
    rows = [_row(spread) for spread in spreads]
    if as_json:
        print(json.dumps({"documents": costs, "spread": rows}))
        return
    _print_table(costs)
    print()
    _print_table(rows)


def _row(spread: Spread) -> dict[str, object]:
    return {
        "daemons": spread.daemons,
        "way": spread.way,
        "changes": len(spread.seconds),
        "p50_seconds": round(spread.quantile(0.5), 3),
        "p99_seconds": round(spread.quantile(0.99), 3),
        "link_bytes_per_change": spread.link_bytes_per_change,
        "table_reads_per_second": round(spread.table_reads_per_second, 1),
    }


def _print_table(rows: list[dict[str, object]]) -> None:
    print("| " + " | ".join(rows[0]) + " |")
    print("|" + " --- |" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(str(value) for value in row.values()) + " |")
