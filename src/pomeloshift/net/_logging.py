"""Writes one line of key=value pairs for each event."""

import os
import sys
from typing import TextIO

from loguru import logger

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} {message}"


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Sends log lines of ``level`` and above to a stream, by default standard error."""
    logger.remove()
    logger.add(
        stream or sys.stderr,
        level=level,
        format=LINE_FORMAT,
        backtrace=False,
        diagnose=False,
    )


class NonBlockingStream:
    """A text stream on a descriptor that drops lines rather than wait for a reader.

    ``dropped`` counts the lines that were left out.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line, unless the descriptor is full."""
        try:
            os.write(self._descriptor, text.encode("utf-8", "replace"))
        except OSError:
            # The reader is slow or gone; a request must not wait for it.
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Has nothing to do, since nothing is buffered."""
