"""Run a stand-in, a drill or a measurement from the command line."""

import fire

from .commands import load_commands


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(load_commands(), name="teaselpond_standins")


if __name__ == "__main__":
    main()
