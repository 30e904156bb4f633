"""Define the settings of teaselpondctl and read them."""

import getpass
import os
from collections.abc import Mapping
from typing import Any

import attrs
from attrs import field, frozen

from teaselpond_model.contracts import Address

from .exceptions import CommandUsage

ENVIRONMENT_PREFIX = "TEASELPOND_"


def _setting(default: Any, description: str) -> Any:
    return field(default=default, metadata={"description": description})


@frozen
class Settings:
    """Hold the settings that all commands share."""

    platform: str = _setting("", "base address of the platform, http://ip:port")
    daemons: tuple[str, ...] = _setting(
        (), "comma-separated ip:port of daemons; by default, all that are listed"
    )
    operator_key: str = _setting("", "key that the daemons ask operators for")
    who: str = _setting("", "who is named in the history; by default, the user")
    timeout_seconds: float = _setting(5.0, "time limit of one call")
    json: bool = _setting(False, "print JSON for programs instead of tables")

    def author(self) -> str:
        """Return the operator's name for the configuration history."""
        if self.who:
            return self.who
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            # The user id has no entry in the password database.
            return f"uid-{os.getuid()}"

    def daemon_addresses(self) -> tuple[Address, ...]:
        """Return the addresses from ``daemons``.

        Raise CommandUsage if one of them is not ip:port.
        """
        try:
            return tuple(Address.parse(text) for text in self.daemons)
        except ValueError as error:
            raise CommandUsage(f"--daemons: {error}", step="settings") from error


def load_settings(flags: Mapping[str, Any], environment: Mapping[str, str]) -> Settings:
    """Read settings from flags, environment variables and defaults.

    A flag takes precedence over an environment variable. Raise CommandUsage
    if a value is invalid.
    """
    values: dict[str, Any] = {}
    for setting in attrs.fields(Settings):
        raw = flags.get(setting.name)
        if raw is None:
            raw = environment.get(ENVIRONMENT_PREFIX + setting.name.upper())
        if raw is not None:
            values[setting.name] = _convert(setting.name, raw, setting.default)
    return Settings(**values)


def settings_from_process(flags: Mapping[str, Any]) -> Settings:
    """Read settings from flags and the environment of this process.

    Raise CommandUsage if a value is invalid.
    """
    return load_settings(flags, os.environ)


def _convert(name: str, raw: Any, default: Any) -> Any:
    if isinstance(default, tuple):
        parts = raw if isinstance(raw, list | tuple) else str(raw).split(",")
        return tuple(str(part).strip() for part in parts if str(part).strip())
    if isinstance(default, bool):
        return str(raw).lower() in ("1", "true", "yes")
    try:
        return type(default)(raw)
    except ValueError as error:
        raise CommandUsage(f"--{name}: expected a number, got {raw!r}") from error
