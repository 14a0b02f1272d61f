"""A stand-in for the platform's append-only log service."""

from ._carrier import MemoryLog
from ._faults import LogFaults
from ._model import AppendAnswer, LogModel
from ._server import LogServer
from ._settings import LogSettings

__all__ = [
    "AppendAnswer",
    "LogFaults",
    "LogModel",
    "LogServer",
    "LogSettings",
    "MemoryLog",
]
