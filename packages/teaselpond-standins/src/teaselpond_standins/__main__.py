"""Run a stand-in, or a drill of the whole, as ``teaselpond_standins``."""

import fire

from .commands import load_commands


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(load_commands(), name="teaselpond_standins")


if __name__ == "__main__":
    main()
