"""How much a process logs."""

from enum import Enum


class LogLevel(Enum):
    """The least severe events that are logged."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"
