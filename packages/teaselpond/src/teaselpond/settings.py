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

    daemon_id: str = _setting("", "name of this host, as the platform lists it")
    zone: str = _setting("", "availability zone of this host")
    platform: str = _setting("", "base address of the platform, http://ip:port")
    listen: str = _setting("127.0.0.1:0", "ip:port that callers connect to")
    peer_listen: str = _setting("127.0.0.1:0", "ip:port that daemons connect to")
    link_keys: tuple[str, ...] = _setting(
        (), "comma-separated keys of the links; the first one signs", secret=True
    )
    token_keys: tuple[str, ...] = _setting(
        (), "comma-separated keys of callers' tokens; the first signs", secret=True
    )
    operator_keys: tuple[str, ...] = _setting(
        (),
        "comma-separated keys that operators' calls carry; none: open",
        secret=True,
    )
    statsd: str = _setting("", "ip:port of the statsd server; empty: none")
    log_level: str = _setting("info", "debug, info, warning or error")
    locate_ttl_seconds: float = _setting(
        10.0, "how long callers may keep a locate answer"
    )
    stop_timeout_seconds: float = _setting(
        600.0, "how long a planned stop waits for running streams"
    )
    platform_timeout_seconds: float = _setting(2.0, "time limit of a platform call")
    poll_interval_seconds: float = _setting(
        1.0, "time between two load reports of an engine"
    )
    max_body_bytes: int = _setting(4_000_000, "largest request body")
    max_header_bytes: int = _setting(16_384, "longest request header")
    default_deadline_seconds: float = _setting(
        120.0, "time limit of a request that names none"
    )

    def public(self) -> dict[str, Any]:
        """Return the settings that may be logged, by name."""
        return {
            field.name: getattr(self, field.name)
            for field in attrs.fields(type(self))
            if not field.metadata["secret"]
        }


def load_settings(flags: Mapping[str, Any], environment: Mapping[str, str]) -> Settings:
    """Merge flags over environment variables over defaults.

    Raise an ExceptionGroup of ImproperlyConfigured for all that is wrong.
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
        raise ExceptionGroup("settings cannot be read", errors)
    return Settings(**values)


def settings_from_process(flags: Mapping[str, Any]) -> Settings:
    """Read the settings of this process; raise as load_settings does."""
    return load_settings(flags, os.environ)


def parse_address(settings: Settings, name: str) -> Address:
    """Return the address that a setting holds; raise ImproperlyConfigured."""
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
