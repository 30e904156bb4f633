"""Collect the commands of ``python -m teaselpond_standins``."""

import importlib
import pkgutil
from collections.abc import Callable

# Each class of this package whose name ends so is a command.
COMMAND_SUFFIX = "Command"


def load_commands() -> dict[str, Callable[..., None]]:
    """Return the commands by name."""
    commands = {}
    for module in pkgutil.iter_modules(__path__):
        loaded = importlib.import_module(f".{module.name}", __name__)
        for attribute, value in vars(loaded).items():
            if attribute.endswith(COMMAND_SUFFIX):
                command = value()
                commands[command.name] = command.__call__
    return commands
