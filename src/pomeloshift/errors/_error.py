"""The base class of the exceptions that the package raises."""

from ._code import ErrorCode
from ._ran import Ran
from ._report import ErrorReport

HTTP_STATUS_BY_CODE = {
    ErrorCode.INVALID_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.INVALID_JSONL: 400,
    ErrorCode.INVALID_SETTINGS: 400,
    ErrorCode.INVALID_ANSWERS: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.IDEMPOTENCY_CONFLICT: 409,
    ErrorCode.CONFIG_CONFLICT: 409,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.NO_BACKEND_SERVER: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.QUARANTINED: 422,
    ErrorCode.BACKEND_SERVER_LOST: 502,
    ErrorCode.OUTCOME_UNKNOWN: 502,
    ErrorCode.ATTEMPT_UNKNOWN: 404,
    ErrorCode.LOG_UNAVAILABLE: 503,
    ErrorCode.LOG_RATE_LIMITED: 503,
    ErrorCode.LOG_EXPIRED: 410,
    ErrorCode.LEASE_LOST: 409,
    ErrorCode.FENCED: 409,
    ErrorCode.CANCELLED: 499,
    ErrorCode.ITEM_FAILED: 500,
    ErrorCode.PROTOCOL_ERROR: 502,
    ErrorCode.INTERNAL: 500,
}


class PomeloshiftError(Exception):
    """An error with a stable code.

    A subclass sets ``code`` and, where it can be proved, ``ran``: whether a backend
    server ran any part of the request:

        class UnknownModelError(PomeloshiftError):
            code = ErrorCode.UNKNOWN_MODEL
            ran = Ran.NO

    ``retry_after_s`` is the delay in seconds after which a retry may succeed, `None`
    where the delay is unknown or a retry would not help.
    """

    code = ErrorCode.INTERNAL
    ran = Ran.UNKNOWN

    def __init__(self, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s

    @property
    def http_status(self) -> int:
        """The HTTP status with which callers receive this error."""
        return HTTP_STATUS_BY_CODE[self.code]

    def report(self) -> ErrorReport:
        """Returns the error in the form that is sent to other processes and callers."""
        return ErrorReport(self.code, self.message, self.ran, self.retry_after_s)
