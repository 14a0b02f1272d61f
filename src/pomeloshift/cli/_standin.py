"""Commands that run stand-ins for the systems that pomeloshift works with."""

import sys


class StandinCommands:
    """Runs a stand-in for the platform, a model engine or a plain service."""

    def engine(self, settings: str) -> None:
        """Runs the stand-in of a model engine.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("engine", settings))

    def log(self, settings: str) -> None:
        """Runs the stand-in of the platform's append-only log service.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("log", settings))

    def list(self, settings: str) -> None:
        """Runs the stand-in of the platform's instance list, which lags.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("list", settings))

    def weights(self, settings: str) -> None:
        """Runs the stand-in of the platform's rate-limited weight store.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("weights", settings))

    def service(self, settings: str) -> None:
        """Runs the stand-in of a plain service.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("service", settings))
