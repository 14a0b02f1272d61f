"""The commands of the program."""

import sys

from ._bench import BenchCommands
from ._standin import StandinCommands


class Commands:
    """Serves online and batch inference on one fleet.

    Run ``pomeloshift COMMAND --help`` for the arguments of a command.
    """

    def __init__(self) -> None:
        self.standin = StandinCommands()
        self.bench = BenchCommands()

    def entry(self, settings: str) -> None:
        """Runs an entry instance.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_entry

        sys.exit(run_entry(settings))

    def sidecar(self, settings: str) -> None:
        """Runs the sidecar of a backend server.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_sidecar

        sys.exit(run_sidecar(settings))

    def demo(self, json: bool = False, seed: int = 1) -> None:
        """Runs a whole deployment in one process and checks every promise.

        Args:
            json: print one JSON object in place of the report.
            seed: seed of the load.
        """
        from ..demo import run_demo

        sys.exit(run_demo(as_json=json, seed=seed))
