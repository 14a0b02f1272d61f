"""A stand-in for the platform's append-only log service."""

from ._faults import LogFaults
from ._memory_log import MemoryLog
from ._model import AppendResult, LogModel
from ._server import LogServer
from ._settings import LogSettings

__all__ = [
    "AppendResult",
    "LogFaults",
    "LogModel",
    "LogServer",
    "LogSettings",
    "MemoryLog",
]
