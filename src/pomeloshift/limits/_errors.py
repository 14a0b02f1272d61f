"""Errors of requests that are refused before they run."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class RateLimitedError(PomeloshiftError):
    """The workspace exceeds its request rate or its number of open requests."""

    code = ErrorCode.RATE_LIMITED
    ran = Ran.NO


class OverloadedError(PomeloshiftError):
    """The request would wait in the queue for longer than is allowed."""

    code = ErrorCode.OVERLOADED
    ran = Ran.NO


class DeadlineExceededError(PomeloshiftError):
    """The deadline of the request passed while it was queued."""

    code = ErrorCode.DEADLINE_EXCEEDED
    ran = Ran.NO
