"""Check the daemon's settings at start-up."""

from collections.abc import Callable, Iterator

from attrs import frozen

from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import ImproperlyConfigured

from .settings import Settings

MINIMUM_KEY_CHARACTERS = 16
LOG_LEVELS = ("debug", "info", "warning", "error")


@frozen
class CheckMessage:
    """Describe an invalid setting and how to correct it."""

    check_id: str
    message: str
    hint: str

    def __str__(self) -> str:
        return f"{self.check_id}: {self.message} (hint: {self.hint})"


SettingsCheck = Callable[[Settings], Iterator[CheckMessage]]
_checks: list[SettingsCheck] = []


def register(check: SettingsCheck) -> SettingsCheck:
    """Register a check to run at start-up; can be used as a decorator."""
    _checks.append(check)
    return check


def run_checks(settings: Settings) -> None:
    """Run every check on the settings.

    Raise an ExceptionGroup with an ImproperlyConfigured for each problem.
    """
    messages = [message for check in _checks for message in check(settings)]
    if messages:
        raise ExceptionGroup(
            "invalid settings",
            [
                ImproperlyConfigured(str(check_message), step="settings")
                for check_message in messages
            ],
        )


@register
def check_identity(settings: Settings) -> Iterator[CheckMessage]:
    """Require a daemon id and a zone."""
    for name in ("daemon_id", "zone"):
        if not getattr(settings, name):
            yield CheckMessage(
                "settings.E001",
                f"--{name} is empty",
                f"set --{name} to the value of this host",
            )


@register
def check_platform(settings: Settings) -> Iterator[CheckMessage]:
    """Require an HTTP address of the platform."""
    if not settings.platform.startswith(("http://", "https://")):
        yield CheckMessage(
            "settings.E002",
            f"--platform is {settings.platform!r}, not an HTTP address",
            "set it to the base address, such as http://10.0.0.1:8080",
        )


@register
def check_addresses(settings: Settings) -> Iterator[CheckMessage]:
    """Require the form ip:port for addresses; statsd may be empty."""
    for name in ("listen", "peer_listen", "statsd"):
        address = getattr(settings, name)
        if name == "statsd" and not address:
            continue
        try:
            Address.parse(address)
        except ValueError:
            yield CheckMessage(
                "settings.E003",
                f"--{name} is {address!r}, not an address",
                "use the form ip:port",
            )


@register
def check_keys(settings: Settings) -> Iterator[CheckMessage]:
    """Require link and token keys, each long enough not to be guessed."""
    for name in ("link_keys", "token_keys"):
        keys = getattr(settings, name)
        if not keys:
            yield CheckMessage(
                "settings.E004",
                f"--{name} is empty",
                "set the same keys on every daemon",
            )
        if any(len(key) < MINIMUM_KEY_CHARACTERS for key in keys):
            yield CheckMessage(
                "settings.E005",
                f"--{name} has a key of fewer than {MINIMUM_KEY_CHARACTERS} characters",
                "use a random key of 32 characters",
            )


@register
def check_times(settings: Settings) -> Iterator[CheckMessage]:
    """Require positive times and sizes."""
    for name in (
        "locate_ttl_seconds",
        "stop_timeout_seconds",
        "platform_timeout_seconds",
        "poll_interval_seconds",
        "default_deadline_seconds",
        "max_body_bytes",
        "max_header_bytes",
        "max_head_bytes",
        "header_timeout_seconds",
    ):
        if getattr(settings, name) <= 0:
            yield CheckMessage(
                "settings.E006",
                f"--{name} must be greater than 0",
                "omit it to use the default",
            )


@register
def check_capacity(settings: Settings) -> Iterator[CheckMessage]:
    """Require a capacity that is not negative."""
    for name in ("memory_mb", "max_descriptors"):
        if getattr(settings, name) < 0:
            yield CheckMessage(
                "settings.E008",
                f"--{name} is less than 0",
                "omit it if it is unknown",
            )


@register
def check_log_level(settings: Settings) -> Iterator[CheckMessage]:
    """Require a known log level."""
    if settings.log_level not in LOG_LEVELS:
        yield CheckMessage(
            "settings.E007",
            f"--log_level is {settings.log_level!r}, which is not a level",
            f"use one of {', '.join(LOG_LEVELS)}",
        )
