"""Print results as text for people or as JSON for programs."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any, TextIO

from attrs import define, field

Row = Mapping[str, Any]


def render_table(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """Return rows as aligned columns under a line of column names."""
    lines = [list(columns)]
    lines.extend([_format_cell(row.get(column)) for column in columns] for row in rows)
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value)) or "-"
    return str(value)


@define
class Output:
    """Print a command's results as text or as JSON."""

    as_json: bool = False
    stream: TextIO = field(factory=lambda: sys.stdout)

    def print_text(self, text: str) -> None:
        """Print text for people; print nothing in JSON mode."""
        if not self.as_json:
            print(text, file=self.stream)

    def print_json(self, value: Any) -> None:
        """Print a value as JSON, in JSON mode only."""
        if self.as_json:
            print(json.dumps(value, sort_keys=True), file=self.stream)

    def print_table(self, rows: Sequence[Row], columns: Sequence[str]) -> None:
        """Print rows as a table, or as a list in JSON mode."""
        self.print_json(list(rows))
        self.print_text(render_table(rows, columns))
