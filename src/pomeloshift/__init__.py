"""A serving system for online and batch inference on one shared fleet."""

from ._version import __version__
from .errors import ErrorCode, PomeloshiftError, Ran

__all__ = ["ErrorCode", "PomeloshiftError", "Ran", "__version__"]
