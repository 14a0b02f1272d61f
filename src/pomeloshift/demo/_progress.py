"""Shows on a terminal how far the demo is."""

import sys

STEPS = 8
BAR_WIDTH = 24


class Progress:
    """Draws a bar that each step moves on; draws nothing off a terminal."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled and sys.stderr.isatty()
        self._done = 0

    def show(self, step: str) -> None:
        """Moves the bar on and names the step that begins."""
        self._done = min(self._done + 1, STEPS)
        if not self._enabled:
            return
        filled = BAR_WIDTH * self._done // STEPS
        bar = "#" * filled + "." * (BAR_WIDTH - filled)
        end = "\n" if self._done == STEPS else ""
        sys.stderr.write(f"\r\x1b[K[{bar}] {step}{end}")
        sys.stderr.flush()
