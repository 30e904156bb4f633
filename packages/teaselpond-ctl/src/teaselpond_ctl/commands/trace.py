"""Show the history of a request from the gateways' logs."""

import json
import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from fire import decorators

from ..exceptions import CommandRefused, CommandUsage
from .base import Command

# State changes up to this long before a request may have affected it: the time
# limits for key revocation and for silent peers are shorter.
LOOKBACK_SECONDS = 10.0
STANDARD_INPUT = "-"
# Events that change a gateway's own state or its view of the store.
STATE_EVENTS = frozenset(
    {
        "start",
        "stop",
        "stopping",
        "reload",
        "reload-refused",
        "state",
        "store-lost",
        "store-regained",
        "history-lost",
        "configuration-in-force",
        "zone-evacuated",
        "zone-returned",
    }
)
ENGINE_EVENTS = frozenset({"engine-listed", "engine-lapsed", "engine-gone"})
COLUMNS = ("time", "host", "event", "detail")


class TraceCommand(Command):
    """Show the history of a request from the gateways' logs."""

    @decorators.SetParseFn(str)
    async def __call__(self, request_id: str, *files: str) -> None:
        """List a request's log lines and the state changes before them.

        ``files`` are log files of one or more gateways; "-" is standard input.
        """
        if not files:
            raise CommandUsage("expected at least one of the gateways' log files")
        lines, unreadable = read_lines(files)
        rows = trace(lines, request_id)
        if unreadable:
            self._output.print_text(f"{unreadable} lines are not log events")
        if not rows:
            raise CommandRefused(f"no log line mentions request {request_id}")
        self._output.print_json(rows)
        if not self._output.as_json:
            self._output.print_table([_table_row(row) for row in rows], COLUMNS)


def read_lines(files: Iterable[str]) -> tuple[list[dict[str, Any]], int]:
    """Return the parsed log lines and the number of invalid ones.

    Raise CommandRefused if a file can't be read.
    """
    lines = []
    unreadable = 0
    for file in files:
        for text in _read_raw_lines(file):
            try:
                line = json.loads(text)
                line["time"], line["host"], line["event"]
            except (ValueError, TypeError, KeyError):
                unreadable += 1
                continue
            lines.append(line)
    return lines, unreadable


def trace(lines: Iterable[dict[str, Any]], request_id: str) -> list[dict[str, Any]]:
    """Return the log lines that explain a request, by time.

    These are the lines with its id and, from LOOKBACK_SECONDS before the
    first of them, the state changes of the gateways that handled it and of
    the engines that it was sent to.
    """
    lines = sorted(lines, key=lambda line: line["time"])
    request_lines = [line for line in lines if line.get("id") == request_id]
    if not request_lines:
        return []
    hosts = {line["host"] for line in request_lines}
    engines = {line["engine"] for line in request_lines if line.get("engine")}
    start, end = request_lines[0]["time"] - LOOKBACK_SECONDS, request_lines[-1]["time"]
    return [
        line
        for line in lines
        if line.get("id") == request_id
        or (
            line["host"] in hosts
            and start <= line["time"] <= end
            and _is_relevant_change(line, engines)
        )
    ]


def _is_relevant_change(line: dict[str, Any], engines: set[str]) -> bool:
    if line["event"] in STATE_EVENTS:
        return True
    return line["event"] in ENGINE_EVENTS and line.get("engine") in engines


def _read_raw_lines(file: str) -> Iterator[str]:
    if file == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with Path(file).open(errors="replace") as lines:
            yield from lines
    except OSError as error:
        raise CommandRefused(
            f"log file {file} can't be read: {error.strerror}"
        ) from error


def _table_row(line: dict[str, Any]) -> dict[str, Any]:
    hidden_fields = {"time", "at", "host", "event", "id"}
    fields = [
        f"{key}={value}" for key, value in line.items() if key not in hidden_fields
    ]
    when = line["time"]
    clock_time = time.strftime("%T", time.gmtime(when)) + f"{when % 1:.3f}"[1:]
    return {
        "time": clock_time,
        "host": line["host"],
        "event": line["event"],
        "detail": " ".join(fields),
    }
