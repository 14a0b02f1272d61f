"""Reads, applies and publishes the configuration at an entry."""

from ._errors import ConfigNotReadyError, ConfigOutcomeUnknownError
from ._service import ConfigService
from ._timing import ConfigTiming

__all__ = [
    "ConfigNotReadyError",
    "ConfigOutcomeUnknownError",
    "ConfigService",
    "ConfigTiming",
]
