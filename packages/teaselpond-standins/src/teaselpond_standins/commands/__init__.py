"""Gather the commands of ``python -m teaselpond_standins``."""

import importlib
import pkgutil
from collections.abc import Callable

# A module of this package offers a command by holding a class named so.
COMMAND_SUFFIX = "Command"


def load_commands() -> dict[str, Callable[..., None]]:
    """Return each command by its name."""
    commands = {}
    for module in pkgutil.iter_modules(__path__):
        loaded = importlib.import_module(f".{module.name}", __name__)
        for attribute, value in vars(loaded).items():
            if attribute.endswith(COMMAND_SUFFIX):
                command = value()
                commands[command.name] = command.__call__
    return commands
