"""What an error of an attempt allows the entry to do next."""

from enum import Enum

from ..errors import ErrorCode, ErrorReport, Ran

# Errors that the request itself causes; another server would answer the same.
FINAL_CODES = frozenset(
    {
        ErrorCode.INVALID_REQUEST,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.UNKNOWN_MODEL,
        ErrorCode.UNKNOWN_SERVICE,
        ErrorCode.NOT_FOUND,
        ErrorCode.DEADLINE_EXCEEDED,
        ErrorCode.QUARANTINED,
        ErrorCode.CANCELLED,
        ErrorCode.IDEMPOTENCY_CONFLICT,
    }
)

_RANK = {Ran.NO: 0, Ran.UNKNOWN: 1, Ran.YES: 2}


class RetryScope(Enum):
    """Whether and where a request may be tried again."""

    FINAL = "final"
    ANYWHERE = "anywhere"
    ELSEWHERE = "elsewhere"


def retry_scope(error: ErrorReport, *, idempotent: bool) -> RetryScope:
    """Tells what may be done after an attempt ended with ``error``."""
    if error.code in FINAL_CODES:
        return RetryScope.FINAL
    if error.ran is not Ran.NO and not idempotent:
        return RetryScope.FINAL
    if error.code is ErrorCode.ATTEMPT_UNKNOWN and error.ran is Ran.NO:
        return RetryScope.ANYWHERE
    return RetryScope.ELSEWHERE


def worse(first: Ran, second: Ran) -> Ran:
    """Returns the statement that covers two attempts of one request."""
    return max(first, second, key=_RANK.__getitem__)
