"""Configures the log: one line of key=value pairs for each event."""

import os
import sys
from collections import deque
from typing import TextIO

from loguru import logger

# Some thousand lines, enough for the failures of one or two seconds under full load.
HELD_BYTES = 256 * 1024
WARNING_NO = 30  # loguru's number for the level

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} {message}"


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Writes log lines of ``level`` and above to ``stream``, by default to stderr."""
    logger.remove()
    logger.add(
        stream or sys.stderr,
        level=level,
        format=LINE_FORMAT,
        backtrace=False,
        diagnose=False,
    )


class NonBlockingStream:
    """A text stream on a file descriptor that drops lines instead of blocking.

    While the descriptor is full, loguru's lines of level warning and above are held,
    up to ``held_bytes`` bytes, and written before later lines. All other lines are
    dropped. ``dropped`` counts the dropped lines.
    """

    def __init__(self, descriptor: int, held_bytes: int = HELD_BYTES) -> None:
        self._descriptor = descriptor
        self._held_bytes = held_bytes
        self._held: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line; holds or drops it if the descriptor is full."""
        line = text.encode("utf-8", "replace")
        self.flush()
        written = 0 if self._held else self._send(line)
        if 0 < written < len(line):
            # The rest is always held, so that the reader gets complete lines.
            self._hold(line[written:])
        elif written == 0:
            fits = self._size + len(line) <= self._held_bytes
            if _is_warning(text) and fits:
                self._hold(line)
            else:
                self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Writes as many held bytes as the descriptor accepts."""
        while self._held:
            line = self._held[0]
            written = self._send(line)
            self._size -= written
            if written < len(line):
                self._held[0] = line[written:]
                return
            self._held.popleft()

    def _hold(self, line: bytes) -> None:
        self._held.append(line)
        self._size += len(line)

    def _send(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except OSError:
            # The reader is slow or has closed its end; requests must not wait for it.
            return 0


def _is_warning(text: str) -> bool:
    record = getattr(text, "record", None)
    return record is not None and bool(record["level"].no >= WARNING_NO)
