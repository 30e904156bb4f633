"""Print tables for people and JSON for programs."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any, TextIO

from attrs import define, field

Row = Mapping[str, Any]


def render_table(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """Return rows as aligned columns under a heading."""
    lines = [list(columns)]
    lines.extend([_cell(row.get(column)) for column in columns] for row in rows)
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value)) or "-"
    return str(value)


@define
class Output:
    """Write what a command found, in the form that was asked for."""

    as_json: bool = False
    stream: TextIO = field(factory=lambda: sys.stdout)

    def tell(self, text: str) -> None:
        """Print a line for a person only."""
        if not self.as_json:
            print(text, file=self.stream)

    def show(self, value: Any) -> None:
        """Print a value for a program only."""
        if self.as_json:
            print(json.dumps(value, sort_keys=True), file=self.stream)

    def table(self, rows: Sequence[Row], columns: Sequence[str]) -> None:
        """Print rows as a table, or as a JSON list."""
        self.show(list(rows))
        self.tell(render_table(rows, columns))
