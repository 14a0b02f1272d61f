"""Entry point of the command line."""

import fire

from .. import __version__


class Commands:
    """Serves online and batch inference on one fleet."""

    def version(self) -> str:
        """Prints the version."""
        return __version__


def main() -> None:
    """Runs the command that the process's arguments name."""
    fire.Fire(Commands, name="pomeloshift")
