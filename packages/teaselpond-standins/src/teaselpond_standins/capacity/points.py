"""Keep measured points in a JSON file, section by section."""

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
    """Hold one structure's memory and one operation's time at a size."""

    structure: str
    size: int
    resident_bytes: int
    operation_seconds: float
    operation_seconds_max: float


@frozen
class StorePoint:
    """Hold how often one action read and wrote the platform's stores."""

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
    """Hold what a whole daemon spent to relay chats."""

    chats: int
    tokens_a_chat: int
    tokens: int
    processor_seconds: float
    seconds: float


@frozen
class Run:
    """Describe a run of measurements: when, where and by which command."""

    command: str
    measured_at: str
    cores: int
    load_average_before: float
    python: str = field(factory=platform.python_version)


@define
class Points:
    """Hold every measured point and the runs that gave them."""

    runs: dict[str, Run] = field(factory=dict)
    control: list[ControlPoint] = field(factory=list)
    structures: list[StructurePoint] = field(factory=list)
    stores: list[StorePoint] = field(factory=list)
    relays: list[RelayPoint] = field(factory=list)


def load_points(path: Path = POINTS_PATH) -> Points:
    """Read the points, or none when the file is absent."""
    if not path.exists():
        return Points()
    return cattrs.structure(json.loads(path.read_text()), Points)


def save_points(points: Points, path: Path = POINTS_PATH) -> None:
    """Write the points, one a line so that changes can be read."""
    path.parent.mkdir(parents=True, exist_ok=True)
    plain: dict[str, Any] = cattrs.unstructure(points)
    path.write_text(json.dumps(plain, indent=1, sort_keys=True) + "\n")


def describe_run(command: str) -> Run:
    """Return this run's circumstances."""
    return Run(
        command=command,
        measured_at=time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        cores=os.cpu_count() or 0,
        load_average_before=round(os.getloadavg()[0], 2),
    )
