"""Writes one line of key=value pairs for each event."""

import sys

from loguru import logger

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} {message}"


def configure_logging(level: str) -> None:
    """Sends log lines of ``level`` and above to standard error."""
    logger.remove()
    logger.add(
        sys.stderr, level=level, format=LINE_FORMAT, backtrace=False, diagnose=False
    )
