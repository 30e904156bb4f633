"""Check the daemon's settings at start-up."""

from collections.abc import Callable, Iterator

from attrs import frozen

from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import ImproperlyConfigured

from .settings import Settings

MINIMUM_KEY_LENGTH = 16
LOG_LEVELS = ("debug", "info", "warning", "error")


@frozen
class CheckMessage:
    """Tell what is wrong with a setting and how to mend it."""

    check_id: str
    message: str
    hint: str

    def __str__(self) -> str:
        return f"{self.check_id}: {self.message} (hint: {self.hint})"


SettingsCheck = Callable[[Settings], Iterator[CheckMessage]]
_checks: list[SettingsCheck] = []


def register(check: SettingsCheck) -> SettingsCheck:
    """Add a check to those that run at start-up."""
    _checks.append(check)
    return check


def run_checks(settings: Settings) -> None:
    """Run every check; raise an ExceptionGroup of ImproperlyConfigured."""
    messages = [message for check in _checks for message in check(settings)]
    if messages:
        raise ExceptionGroup(
            "settings are wrong",
            [ImproperlyConfigured(str(m), step="settings") for m in messages],
        )


@register
def check_identity(settings: Settings) -> Iterator[CheckMessage]:
    """Demand a name and a zone."""
    for name in ("daemon_id", "zone"):
        if not getattr(settings, name):
            yield CheckMessage(
                "settings.E001", f"--{name} is empty", f"set --{name} to this host's"
            )


@register
def check_platform(settings: Settings) -> Iterator[CheckMessage]:
    """Demand the platform's address."""
    if not settings.platform.startswith(("http://", "https://")):
        yield CheckMessage(
            "settings.E002",
            f"--platform is {settings.platform!r}",
            "give its base address, such as http://10.0.0.1:8080",
        )


@register
def check_addresses(settings: Settings) -> Iterator[CheckMessage]:
    """Demand ip:port where an address is meant."""
    for name in ("listen", "peer_listen", "statsd"):
        text = getattr(settings, name)
        if name == "statsd" and not text:
            continue
        try:
            Address.parse(text)
        except ValueError:
            yield CheckMessage(
                "settings.E003", f"--{name} is {text!r}", "write ip:port"
            )


@register
def check_keys(settings: Settings) -> Iterator[CheckMessage]:
    """Demand keys that cannot be guessed."""
    for name in ("link_keys", "token_keys"):
        keys = getattr(settings, name)
        if not keys:
            yield CheckMessage(
                "settings.E004", f"--{name} is empty", "give every daemon the same keys"
            )
        if any(len(key) < MINIMUM_KEY_LENGTH for key in keys):
            yield CheckMessage(
                "settings.E005",
                f"--{name} holds a key of under {MINIMUM_KEY_LENGTH} characters",
                "use a random one of 32 characters",
            )


@register
def check_times(settings: Settings) -> Iterator[CheckMessage]:
    """Demand positive times and sizes."""
    for name in (
        "locate_ttl_seconds",
        "stop_timeout_seconds",
        "platform_timeout_seconds",
        "poll_interval_seconds",
        "default_deadline_seconds",
        "max_body_bytes",
        "max_header_bytes",
    ):
        if getattr(settings, name) <= 0:
            yield CheckMessage(
                "settings.E006",
                f"--{name} is not above 0",
                "leave it out for a default",
            )


@register
def check_log_level(settings: Settings) -> Iterator[CheckMessage]:
    """Demand a known log level."""
    if settings.log_level not in LOG_LEVELS:
        yield CheckMessage(
            "settings.E007",
            f"--log_level is {settings.log_level!r}",
            f"use one of {', '.join(LOG_LEVELS)}",
        )
