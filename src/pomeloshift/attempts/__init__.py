"""Runs each attempt of a request at most once and delivers its answer in order."""

from ._errors import NotRunningError
from ._opened import Opened, OpenedKind
from ._registry import AttemptRegistry
from ._registry_config import RegistryConfig

__all__ = [
    "AttemptRegistry",
    "NotRunningError",
    "Opened",
    "OpenedKind",
    "RegistryConfig",
]
