"""The levels of log lines."""

from enum import Enum


class LogLevel(Enum):
    """The least severe level that a process logs."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"
