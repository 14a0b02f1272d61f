"""Error codes, the base exception, and the form in which errors are sent."""

from ._code import ErrorCode
from ._error import PomeloshiftError
from ._ran import Ran
from ._report import ErrorReport

__all__ = ["ErrorCode", "ErrorReport", "PomeloshiftError", "Ran"]
