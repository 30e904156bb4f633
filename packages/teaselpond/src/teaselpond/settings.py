"""Define the daemon's settings and read them from flags and environment."""

import os
from collections.abc import Mapping
from typing import Any

import attrs
from attrs import frozen

from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import ImproperlyConfigured

ENVIRONMENT_PREFIX = "TEASELPOND_"


def _setting(default: Any, description: str, *, secret: bool = False) -> Any:
    return attrs.field(
        default=default, metadata={"description": description, "secret": secret}
    )


@frozen
class Settings:
    """Hold the daemon's settings; times are in seconds."""

    daemon_id: str = _setting("", "id of this host in the platform's list of hosts")
    zone: str = _setting("", "availability zone of this host")
    platform: str = _setting("", "base address of the platform, http://ip:port")
    listen: str = _setting("127.0.0.1:0", "ip:port that callers connect to")
    peer_listen: str = _setting("127.0.0.1:0", "ip:port that daemons connect to")
    link_keys: tuple[str, ...] = _setting(
        (),
        "comma-separated keys of links between daemons; the first one signs",
        secret=True,
    )
    token_keys: tuple[str, ...] = _setting(
        (), "comma-separated keys of callers' tokens; the first one signs", secret=True
    )
    operator_keys: tuple[str, ...] = _setting(
        (),
        "comma-separated operator keys; if empty, operators need no key",
        secret=True,
    )
    statsd: str = _setting(
        "", "ip:port of the statsd server; if empty, nothing is sent"
    )
    log_level: str = _setting("info", "debug, info, warning or error")
    locate_ttl_seconds: float = _setting(
        10.0, "seconds for which callers may cache a locate answer"
    )
    stop_timeout_seconds: float = _setting(
        600.0, "seconds that a planned stop waits for running streams"
    )
    platform_timeout_seconds: float = _setting(
        2.0, "timeout of a platform call in seconds"
    )
    poll_interval_seconds: float = _setting(
        1.0, "seconds between two load reports of an engine"
    )
    max_body_bytes: int = _setting(4_000_000, "maximum size of a request body in bytes")
    max_header_bytes: int = _setting(
        16_384, "maximum size of a request header in bytes"
    )
    max_head_bytes: int = _setting(
        65_536, "maximum size of all headers of a request in bytes"
    )
    header_timeout_seconds: float = _setting(
        5.0, "seconds in which the headers of a request must arrive"
    )
    memory_mb: int = _setting(
        0, "memory of this host in MiB; if 0, that of the machine"
    )
    max_descriptors: int = _setting(
        0, "file descriptors of this host; if 0, the limit of the process"
    )
    default_deadline_seconds: float = _setting(
        120.0, "deadline in seconds of a request that sets none"
    )

    def public(self) -> dict[str, Any]:
        """Return the settings that are not secret, by name."""
        return {
            field.name: getattr(self, field.name)
            for field in attrs.fields(type(self))
            if not field.metadata["secret"]
        }


def load_settings(flags: Mapping[str, Any], environment: Mapping[str, str]) -> Settings:
    """Return settings from flags, environment variables and defaults.

    Flags take precedence over environment variables. Raise an ExceptionGroup
    with an ImproperlyConfigured for each value that cannot be converted.
    """
    errors: list[ImproperlyConfigured] = []
    values: dict[str, Any] = {}
    for field in attrs.fields(Settings):
        raw = flags.get(field.name)
        if raw is None:
            raw = environment.get(ENVIRONMENT_PREFIX + field.name.upper())
        if raw is None:
            continue
        try:
            values[field.name] = _convert(raw, field.default)
        except ValueError:
            errors.append(
                ImproperlyConfigured(
                    f"--{field.name}: {raw!r} is not a "
                    f"{type(field.default).__name__}; {field.metadata['description']}",
                    step="settings",
                )
            )
    if errors:
        raise ExceptionGroup("invalid setting values", errors)
    return Settings(**values)


def settings_from_process(flags: Mapping[str, Any]) -> Settings:
    """Return settings from flags and this process's environment.

    Raise the errors of ``load_settings``.
    """
    return load_settings(flags, os.environ)


def parse_address(settings: Settings, name: str) -> Address:
    """Return a setting as an address; raise ImproperlyConfigured."""
    text = getattr(settings, name)
    try:
        return Address.parse(text)
    except ValueError as error:
        raise ImproperlyConfigured(
            f"--{name}: {text!r} is not ip:port", step="settings"
        ) from error


def _convert(raw: Any, default: Any) -> Any:
    if isinstance(default, tuple):
        parts = raw.split(",") if isinstance(raw, str) else raw
        if not isinstance(parts, list | tuple):
            parts = [parts]
        return tuple(str(part).strip() for part in parts if str(part).strip())
    if isinstance(default, bool):
        return str(raw).lower() in ("1", "true", "yes")
    return type(default)(raw)
