"""Gather the commands of ``python -m teaselpond_standins``."""

import importlib
import pkgutil
from collections.abc import Callable

# A module of this package offers a command by holding a name that ends so.
COMMAND_SUFFIX = "Command"


def load_commands() -> dict[str, Callable[..., None]]:
    """Return each command by the name of the module that defines it."""
    commands = {}
    for module in pkgutil.iter_modules(__path__):
        loaded = importlib.import_module(f".{module.name}", __name__)
        for name, value in vars(loaded).items():
            if name.endswith(COMMAND_SUFFIX) and value.__module__ == loaded.__name__:
                commands[module.name.replace("_", "-")] = value().handle
    return commands
