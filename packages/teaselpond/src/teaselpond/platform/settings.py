"""Load the settings file that the platform provides to each process."""

import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import ImproperlyConfigured

from ..gateway.settings import Bounds, GatewaySettings, HostCapacity, Listeners

SETTINGS_VARIABLE = "TEASELPOND_CONFIG"
# Must be the port of the metrics address in the deploy file.
METRICS_PORT = 9464
MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MB = 1024 * 1024

T = TypeVar("T")


def load_settings(environment: Mapping[str, str]) -> GatewaySettings:
    """Load the settings file; raise ImproperlyConfigured."""
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ImproperlyConfigured(
            f"environment variable {SETTINGS_VARIABLE} is not set", step="settings"
        )
    try:
        raw = tomllib.loads(Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ImproperlyConfigured(
            f"cannot read settings file {path}: {error}", step="settings"
        ) from error
    return decode_settings(raw)


def settings_modified_at(environment: Mapping[str, str]) -> float:
    """Return when the file was last modified, 0 if there is no file."""
    try:
        return Path(environment.get(SETTINGS_VARIABLE, "")).stat().st_mtime
    except OSError:
        return 0.0


def decode_settings(raw: Mapping[str, Any]) -> GatewaySettings:
    """Decode the parsed settings file; raise ImproperlyConfigured."""
    try:
        listen = raw["Listen"]
        return GatewaySettings(
            host=raw["NodeName"],
            ip=raw["Ip"],
            availability_zone=raw["Zone"],
            region=raw["Region"],
            listeners=Listeners(
                entry=Address.parse(listen["Frontend"]),
                ready=_optional_address(listen, "Ready"),
                peers=_optional_address(listen, "ControlAddr"),
                directory=_optional_address(listen, "DirectoryAddr"),
            ),
            store=Address.parse(raw["Platform"]["Address"]),
            seeds=tuple(Address.parse(seed) for seed in raw.get("Seeds", ())),
            datagram_port=int(raw["InternalPorts"][0]),
            metrics_port=METRICS_PORT,
            is_first_start=bool(raw.get("Bootstrap", False)),
            bounds=_decode_bounds(raw.get("Bounds", {})),
            capacity=_decode_capacity(raw.get("Limits", {})),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise ImproperlyConfigured(
            f"invalid settings: {error!r}", step="settings"
        ) from error


def _optional_address(listen: Mapping[str, str], name: str) -> Address | None:
    return Address.parse(listen[name]) if listen.get(name) else None


def _decode_capacity(raw: Mapping[str, Any]) -> HostCapacity:
    # "CpuQuota" is the share of one core, which is "Cores" times as fast.
    quota, speed = raw.get("CpuQuota"), raw.get("Cores", 1)
    return HostCapacity(
        cores=float(quota) * float(speed) if quota is not None else None,
        memory_bytes=_optional(raw, "MemoryMb", lambda mb: int(mb * BYTES_PER_MB)),
        descriptors=_optional(raw, "MaxFds", int),
        link_mbps=_optional(raw, "LinkMbps", float),
    )


def _optional(
    raw: Mapping[str, Any], name: str, convert: Callable[[Any], T]
) -> T | None:
    value = raw.get(name)
    return convert(value) if value is not None else None


def _decode_bounds(raw: Mapping[str, Any]) -> Bounds:
    return Bounds(
        grace_seconds=float(raw.get("GraceS", 8)),
        revoke_seconds=raw.get("RevokeMs", 5000) / MILLISECONDS_PER_SECOND,
        strict_revocation=bool(raw.get("StrictRevoke", True)),
        retry_ratio=float(raw.get("RetryRatio", 0.1)),
        retry_window_seconds=float(raw.get("RetryWindowS", 10)),
        retry_slack=float(raw.get("RetrySlack", 0)),
        cold_overage=float(raw.get("ColdOverage", 1)),
        cold_slack=float(raw.get("ColdSlack", 0)),
        load_cap_factor=float(raw.get("CapFactor", 2)),
        directory_ttl_seconds=float(raw.get("ttl_max_s", 5)),
        exposure_ratio=_optional(raw, "ExposureRatio", float),
        exposure_slack=_optional(raw, "ExposureSlack", float),
        rollback_seconds=_optional(
            raw, "RollbackMs", lambda ms: ms / MILLISECONDS_PER_SECOND
        ),
    )
