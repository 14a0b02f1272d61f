"""Sorts the errors that end a run of an item."""

from enum import Enum

from ..errors import ErrorCode, ErrorReport, Ran

PASSING_CODES = frozenset(
    {
        ErrorCode.RATE_LIMITED,
        ErrorCode.OVERLOADED,
        ErrorCode.DEADLINE_EXCEEDED,
        ErrorCode.NO_BACKEND_SERVER,
        ErrorCode.DRAINING,
        ErrorCode.NOT_READY,
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.ATTEMPT_UNKNOWN,
        ErrorCode.LOG_UNAVAILABLE,
        ErrorCode.LEASE_LOST,
        ErrorCode.FENCED,
        ErrorCode.CANCELLED,
        ErrorCode.PROTOCOL_ERROR,
        ErrorCode.INTERNAL,
    }
)
FIRST_ERROR_STATUS = 400
PASSING_STATUSES = frozenset({408, 429, 500, 502, 503, 504})


class OutcomeKind(Enum):
    """What becomes of an item whose run ended."""

    FINAL = "final"
    CRASHED = "crashed"
    NOT_RUN = "not_run"
    PASSING = "passing"


def outcome_kind(status: int, error: ErrorReport | None) -> OutcomeKind:
    """Tells whether an outcome settles its item or the item may run again."""
    if error is None:
        is_passing = status in PASSING_STATUSES
        return OutcomeKind.PASSING if is_passing else OutcomeKind.FINAL
    if error.code is ErrorCode.BACKEND_SERVER_LOST:
        return OutcomeKind.NOT_RUN if error.ran is Ran.NO else OutcomeKind.CRASHED
    if error.code not in PASSING_CODES:
        return OutcomeKind.FINAL
    return OutcomeKind.NOT_RUN if error.ran is Ran.NO else OutcomeKind.PASSING
