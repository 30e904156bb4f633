"""Store measured points and their runs in a JSON file."""

import json
import os
import platform
import time
from pathlib import Path
from typing import Any

import cattrs
from attrs import define, field, frozen

from .fleet import ControlPoint

POINTS_PATH = Path("docs/capacity/points.json")


@frozen
class StructurePoint:
    """Hold the memory of a structure and the time of its operation.

    ``operation_seconds`` is the median of the repeats.
    """

    structure: str
    size: int
    resident_bytes: int
    operation_seconds: float
    operation_seconds_max: float


@frozen
class StorePoint:
    """Hold a whole daemon's store calls for ``count`` actions of a kind."""

    action: str
    count: int
    seconds: float
    table_reads: int
    table_writes: int
    object_reads: int
    object_writes: int
    host_list_reads: int
    processor_seconds: float


@frozen
class RelayPoint:
    """Hold the processor time of a whole daemon that relayed chats."""

    chats: int
    tokens_a_chat: int
    tokens: int
    processor_seconds: float
    seconds: float


@frozen
class Run:
    """Describe when, where and by which command points were measured."""

    command: str
    measured_at: str
    cores: int
    load_average_before: float
    python: str = field(factory=platform.python_version)


@define
class Points:
    """Hold every measured point and the runs that measured them."""

    runs: dict[str, Run] = field(factory=dict)
    control: list[ControlPoint] = field(factory=list)
    structures: list[StructurePoint] = field(factory=list)
    stores: list[StorePoint] = field(factory=list)
    relays: list[RelayPoint] = field(factory=list)


def load_points(path: Path = POINTS_PATH) -> Points:
    """Read the points; return empty ones if the file doesn't exist."""
    if not path.exists():
        return Points()
    return cattrs.structure(json.loads(path.read_text()), Points)


def save_points(points: Points, path: Path = POINTS_PATH) -> None:
    """Write the points, one value a line to keep diffs readable."""
    path.parent.mkdir(parents=True, exist_ok=True)
    plain: dict[str, Any] = cattrs.unstructure(points)
    path.write_text(json.dumps(plain, indent=1, sort_keys=True) + "\n")


def describe_run(command: str) -> Run:
    """Return a description of the run that starts now."""
    return Run(
        command=command,
        measured_at=time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        cores=os.cpu_count() or 0,
        load_average_before=round(os.getloadavg()[0], 2),
    )
