"""Commands that run stand-ins for what surrounds the system."""

import sys


class StandinCommands:
    """Runs a stand-in for the platform, a model engine or a plain service."""

    def engine(self, settings: str) -> None:
        """Runs a model engine.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("engine", settings))

    def log(self, settings: str) -> None:
        """Runs the append-only log service.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("log", settings))

    def list(self, settings: str) -> None:
        """Runs the lagging list of live and leaving instances.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("list", settings))

    def weights(self, settings: str) -> None:
        """Runs the rate-limited weight store.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("weights", settings))

    def service(self, settings: str) -> None:
        """Runs a plain service.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_standin

        sys.exit(run_standin("service", settings))
