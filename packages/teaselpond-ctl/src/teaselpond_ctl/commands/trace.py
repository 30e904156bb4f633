"""Tell from gateways' collected logs what became of a request."""

import json
import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from fire import decorators

from ..exceptions import CommandRefused, CommandUsage
from .base import Command

# Beliefs that changed this long before a request may have decided it: the
# bound on revoked keys, and a peer's silence, are shorter.
BEFORE_SECONDS = 10.0
STANDARD_INPUT = "-"
# Lines that tell what a gateway believes of itself and of the store.
BELIEF_EVENTS = frozenset(
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
SHOWN_FIELDS = ("time", "host", "event", "detail")


class TraceCommand(Command):
    """Tell from gateways' collected logs what became of a request."""

    @decorators.SetParseFn(str)
    async def __call__(self, request_id: str, *files: str) -> None:
        """List a request's lines, and the beliefs that may have decided them.

        ``files`` hold the lines of any gateways, "-" is standard input.
        """
        if not files:
            raise CommandUsage("name the files that hold the gateways' lines")
        lines, unreadable = read_lines(files)
        rows = trace(lines, request_id)
        if unreadable:
            self._output.print_text(f"{unreadable} lines could not be read")
        if not rows:
            raise CommandRefused(f"no line tells of the request {request_id}")
        self._output.print_json(rows)
        if not self._output.as_json:
            self._output.print_table([_describe(row) for row in rows], SHOWN_FIELDS)


def read_lines(files: Iterable[str]) -> tuple[list[dict[str, Any]], int]:
    """Return the log lines of some files, and how many were unreadable.

    Raise CommandRefused for a file that cannot be read.
    """
    lines = []
    unreadable = 0
    for file in files:
        for text in _texts(file):
            try:
                line = json.loads(text)
                line["time"], line["host"], line["event"]
            except (ValueError, TypeError, KeyError):
                unreadable += 1
                continue
            lines.append(line)
    return lines, unreadable


def trace(lines: Iterable[dict[str, Any]], request_id: str) -> list[dict[str, Any]]:
    """Return the lines that tell of a request, in the order of time.

    These are its own, and before them those on what its gateway believed of
    itself, the store and the engines that the request was sent to.
    """
    lines = sorted(lines, key=lambda line: line["time"])
    own = [line for line in lines if line.get("id") == request_id]
    if not own:
        return []
    hosts = {line["host"] for line in own}
    engines = {line["engine"] for line in own if line.get("engine")}
    start, end = own[0]["time"] - BEFORE_SECONDS, own[-1]["time"]
    return [
        line
        for line in lines
        if line.get("id") == request_id
        or (
            line["host"] in hosts
            and start <= line["time"] <= end
            and _is_belief(line, engines)
        )
    ]


def _is_belief(line: dict[str, Any], engines: set[str]) -> bool:
    if line["event"] in BELIEF_EVENTS:
        return True
    return line["event"] in ENGINE_EVENTS and line.get("engine") in engines


def _texts(file: str) -> Iterator[str]:
    if file == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with Path(file).open(errors="replace") as opened:
            yield from opened
    except OSError as error:
        raise CommandRefused(f"{file}: {error.strerror}") from error


def _describe(line: dict[str, Any]) -> dict[str, Any]:
    hidden = {"time", "at", "host", "event", "id"}
    fields = [f"{key}={value}" for key, value in line.items() if key not in hidden]
    when = line["time"]
    shown = time.strftime("%T", time.gmtime(when)) + f"{when % 1:.3f}"[1:]
    return {
        "time": shown,
        "host": line["host"],
        "event": line["event"],
        "detail": " ".join(fields),
    }
