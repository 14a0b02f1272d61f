"""Shows the progress of the demo on a terminal."""

import sys

STEPS = 8
BAR_WIDTH = 24


class Progress:
    """Draws a progress bar on stderr, if that is a terminal."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled and sys.stderr.isatty()
        self._done = 0

    def show(self, step: str) -> None:
        """Advances the bar by one step and shows the name of the step."""
        self._done = min(self._done + 1, STEPS)
        if not self._enabled:
            return
        filled = BAR_WIDTH * self._done // STEPS
        bar = "#" * filled + "." * (BAR_WIDTH - filled)
        end = "\n" if self._done == STEPS else ""
        sys.stderr.write(f"\r\x1b[K[{bar}] {step}{end}")
        sys.stderr.flush()
