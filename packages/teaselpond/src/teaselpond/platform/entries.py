"""Decode the entries that operator and upstreams write to the store."""

import functools
import ipaddress
import json
import math
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from teaselpond_model.contracts import Address

from ..gateway.changes import (
    Change,
    ConfigurationWritten,
    EngineListed,
    EngineMissing,
    EntryIgnored,
    EntryUnreadable,
    RolloutOrdered,
    RolloutWithdrawn,
    ZoneEvacuated,
    ZoneReturned,
)
from ..gateway.configuration import (
    Configuration,
    EngineCapacity,
    Limits,
    Route,
    RouteType,
    Service,
    WeightedService,
    Workspace,
)
from ..gateway.engines import Engine, EngineState
from ..gateway.exceptions import MalformedEntry
from ..gateway.rollouts.orders import RolloutOrder
from ..gateway.rows import Row
from ..gateway.tables import Table
from ..upstreams.connections import check_path

MILLISECONDS_PER_SECOND = 1000.0
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
ROLLOUT_PREFIX = "rollout/"
DEFAULT_HEALTH_PATH = "/"

# Ids are sent in headers and stand in log lines.
ENGINE_ID = re.compile(r"[!#-\[\]-~]{1,200}")
PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535
MAX_NAME_LENGTH = 200
MAX_SLOTS = 1_000_000
MAX_ROLLOUT_SECONDS = 86_400
# Beyond it a number is no longer exact in JSON.
MAX_BORN_MS = 2**53

# Errors that decoding an entry of the wrong shape can raise.
MALFORMED_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

T = TypeVar("T")


def _reports_malformed(decode: Callable[..., T]) -> Callable[..., T]:
    """Raise MalformedEntry with the function's name if decoding fails."""

    @functools.wraps(decode)
    def wrapper(*arguments: Any) -> T:
        try:
            return decode(*arguments)
        except MALFORMED_ERRORS as error:
            raise MalformedEntry(repr(error), step=decode.__name__) from error

    return wrapper


@_reports_malformed
def decode_configuration(value: bytes) -> Configuration:
    """Decode the operator's configuration; raise MalformedEntry."""
    raw = json.loads(value)
    workspaces = raw.get("Tenants") or []
    return Configuration(
        version=int(raw["Version"]),
        routes=tuple(_decode_route(route) for route in raw["Routes"]),
        services_by_name={
            service["Name"]: _decode_service(service) for service in raw["Services"]
        },
        workspaces_by_key={
            key: Workspace(workspace["Name"], workspace.get("Priority"))
            for workspace in workspaces
            for key in workspace["ApiKeys"]
        },
        limits=_decode_limits(raw.get("Limits") or {}),
        has_workspaces="Tenants" in raw,
    )


def _decode_route(raw: Mapping[str, Any]) -> Route:
    # "SloMs" is the objective, "ItlTargetMs" the target for the longest pause
    # between events.
    split = raw.get("Split") or [{"Service": raw.get("Service"), "Weight": 1}]
    timeout = raw["TimeoutMs"] / MILLISECONDS_PER_SECOND
    return Route(
        name=raw["Name"],
        host=raw["Host"],
        prefix=raw["Prefix"],
        type=RouteType(raw["Type"]),
        timeout_seconds=timeout,
        objective_seconds=raw.get("SloMs", raw["TimeoutMs"]) / MILLISECONDS_PER_SECOND,
        priority=int(raw.get("Priority", 0)),
        services=tuple(
            WeightedService(part["Service"], float(part["Weight"])) for part in split
        ),
        max_attempts=max(1, int(raw.get("MaxAttempts", 1))),
        is_public=bool(raw.get("Public", False)),
        is_resumable=bool(raw.get("Resumable", False)),
        pause_seconds=raw.get("ItlTargetMs", raw["TimeoutMs"])
        / MILLISECONDS_PER_SECOND,
    )


def _decode_service(raw: Mapping[str, Any]) -> Service:
    engine = raw.get("Engine")
    return Service(
        name=raw["Name"],
        health_path=_decode_health_path(raw),
        max_connections=int(raw.get("MaxConns", 100)),
        cold_seconds=float(raw.get("ColdStartS", 0)),
        cold_per_second=float(raw.get("ColdPerS", 0)),
        engine=_decode_engine_capacity(engine) if engine else None,
    )


def _decode_engine_capacity(raw: Mapping[str, Any]) -> EngineCapacity:
    # "Stride" is the number of tokens in one event of a stream.
    return EngineCapacity(
        slots=int(raw["Slots"]),
        cache_tokens=int(raw["KvCapacity"]),
        token_bytes=int(raw.get("KvBytes", 0)),
        event_tokens=max(1, int(raw.get("Stride", 1))),
        allows_backups=raw.get("Backups") is True,
        copy_seconds=float(raw.get("HandleS", 0)),
    )


def _decode_health_path(raw: Mapping[str, Any]) -> str:
    """Return the path of health checks; any answer shows that one lives.

    A path that cannot be sent must not make the configuration unusable.
    """
    path = raw.get("HealthPath", DEFAULT_HEALTH_PATH)
    try:
        check_path(path)
    except (TypeError, ValueError):
        return DEFAULT_HEALTH_PATH
    return path


def _decode_limits(raw: Mapping[str, Any]) -> Limits:
    return Limits(
        header_bytes=int(raw.get("MaxHeaderBytes", 16384)),
        body_bytes=int(raw.get("MaxBodyBytes", 4194304)),
        header_seconds=raw.get("HeaderTimeoutMs", 3000) / MILLISECONDS_PER_SECOND,
        idle_seconds=raw.get("IdleTimeoutMs", 15000) / MILLISECONDS_PER_SECOND,
    )


@_reports_malformed
def decode_engine(key: str, value: bytes) -> Engine:
    """Decode an upstream's entry; raise MalformedEntry."""
    if not ENGINE_ID.fullmatch(key):
        raise ValueError(f"expected an id of visible ASCII characters, got {key!r:.40}")
    raw = json.loads(value)
    cold = raw.get("ColdLeftMs", 0)
    if type(cold) not in (int, float) or not math.isfinite(cold):
        raise ValueError(
            f"expected finite milliseconds as ColdLeftMs, got {cold!r:.40}"
        )
    return Engine(
        engine_id=key,
        service=_read_name(raw, "Service"),
        address=_read_address(raw["Address"]),
        availability_zone=_read_name(raw, "Zone"),
        slots=_read_integer(raw["Slots"], 1, MAX_SLOTS),
        state=EngineState(raw["State"]),
        cold_seconds=max(0.0, cold / MILLISECONDS_PER_SECOND),
        born_ms=_read_integer(raw.get("born", 0), 0, MAX_BORN_MS),
        version=_read_version(raw.get("Version", "")),
    )


def _read_name(raw: Mapping[str, Any], field: str) -> str:
    name = raw[field]
    if type(name) is not str or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError(f"expected a name as {field}, got {name!r:.40}")
    # A lone surrogate cannot be sent to peers.
    name.encode()
    return name


@_reports_malformed
def decode_rollout_order(service: str, value: bytes) -> RolloutOrder:
    """Decode the order of a roll-out; raise MalformedEntry.

    ``service`` is that of the row's key.
    """
    raw = json.loads(value)
    if _read_name(raw, "Service") != service:
        raise ValueError(f"expected the service {service!r:.40} of the key")
    seconds = raw["DurationS"]
    if type(seconds) not in (int, float) or not 0 < seconds <= MAX_ROLLOUT_SECONDS:
        raise ValueError(f"expected seconds as DurationS, got {_shorten(seconds)}")
    return RolloutOrder(service, _read_name(raw, "To"), float(seconds))


def _read_version(version: Any) -> str:
    """Return the version of an upstream's software, empty if unusable.

    An upstream without one serves like the others.
    """
    if type(version) is not str or len(version) > MAX_NAME_LENGTH:
        return ""
    return "" if _has_surrogates(version) else version


def _has_surrogates(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return True
    return False


def _read_integer(value: Any, smallest: int, largest: int) -> int:
    if type(value) is not int or not smallest <= value <= largest:
        raise ValueError(
            f"expected an integer from {smallest} to {largest}, got {_shorten(value)}"
        )
    return value


def _shorten(value: Any) -> str:
    # The text of a huge integer is refused by the interpreter.
    return "a huge integer" if type(value) is int else f"{value!r:.40}"


def _read_address(text: Any) -> Address:
    """Return an address that can be connected to; raise ValueError."""
    host, _, port = str(text).rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"expected the address of one host, got {host}")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}, got {port!r:.40}")
    return Address(str(ip), int(port))


def decode_change(table: Table, row: Row) -> Change:
    """Decode a row; return EntryUnreadable if it is malformed."""
    try:
        if table is Table.ENGINES:
            return _decode_engine_row(row)
        return _decode_operator_row(row)
    except MalformedEntry as error:
        return EntryUnreadable(row.key, str(error))


def _decode_engine_row(row: Row) -> Change:
    if row.value is None:
        return EngineMissing(row.key)
    return EngineListed(decode_engine(row.key, row.value))


def _decode_operator_row(row: Row) -> Change:
    if row.key.startswith(EVACUATION_PREFIX):
        zone = row.key.removeprefix(EVACUATION_PREFIX)
        return ZoneReturned(zone) if row.value is None else ZoneEvacuated(zone)
    if row.key.startswith(ROLLOUT_PREFIX):
        service = row.key.removeprefix(ROLLOUT_PREFIX)
        if row.value is None:
            return RolloutWithdrawn(service)
        return RolloutOrdered(decode_rollout_order(service, row.value))
    if row.key == CONFIGURATION_KEY and row.value is not None:
        return ConfigurationWritten(decode_configuration(row.value))
    return EntryIgnored(row.key)
