"""Classifies the errors of attempts by where the entry may retry."""

from enum import Enum

from ..errors import ErrorCode, ErrorReport, Ran

# Errors that the request itself causes or that another server would return as well.
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
    """Whether and where a request may be retried.

    ``ELSEWHERE`` excludes the server of the failed attempt.
    """

    FINAL = "final"
    ANYWHERE = "anywhere"
    ELSEWHERE = "elsewhere"


def retry_scope(error: ErrorReport, *, idempotent: bool) -> RetryScope:
    """Returns where a request may be retried after an attempt failed with ``error``."""
    if error.code in FINAL_CODES:
        return RetryScope.FINAL
    if error.ran is not Ran.NO and not idempotent:
        return RetryScope.FINAL
    if error.code is ErrorCode.ATTEMPT_UNKNOWN and error.ran is Ran.NO:
        return RetryScope.ANYWHERE
    return RetryScope.ELSEWHERE


def combine_ran(first: Ran, second: Ran) -> Ran:
    """Returns whether a request was run, from the results of two attempts."""
    return max(first, second, key=_RANK.__getitem__)
