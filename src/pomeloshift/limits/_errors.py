"""The failures of requests that are refused before they run."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class RateLimitedError(PomeloshiftError):
    """The workspace sends more than its limits allow."""

    code = ErrorCode.RATE_LIMITED
    ran = Ran.NO


class OverloadedError(PomeloshiftError):
    """The request would wait longer than it can."""

    code = ErrorCode.OVERLOADED
    ran = Ran.NO


class DeadlineExceededError(PomeloshiftError):
    """The request waited until it could not be answered in time."""

    code = ErrorCode.DEADLINE_EXCEEDED
    ran = Ran.NO
