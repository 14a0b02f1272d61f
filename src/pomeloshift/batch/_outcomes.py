"""Classifies the outcomes of item runs."""

from enum import Enum

from ..errors import ErrorCode, ErrorReport, Ran

TRANSIENT_CODES = frozenset(
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
TRANSIENT_STATUSES = frozenset({408, 429, 500, 502, 503, 504})


class OutcomeKind(Enum):
    """How the outcome of a run affects its item.

    ``FINAL`` finishes the item. Of the others, which can be retried, ``CRASHED`` counts
    as a crash of the item, ``TRANSIENT`` as one of `OwnerSettings.max_tries` tries, and
    ``NOT_RUN`` is not counted.
    """

    FINAL = "final"
    CRASHED = "crashed"
    NOT_RUN = "not_run"
    TRANSIENT = "passing"


def outcome_kind(status: int, error: ErrorReport | None) -> OutcomeKind:
    """Returns whether an outcome finishes its item or the item is retried."""
    if error is None:
        is_transient = status in TRANSIENT_STATUSES
        return OutcomeKind.TRANSIENT if is_transient else OutcomeKind.FINAL
    if error.code is ErrorCode.BACKEND_SERVER_LOST:
        return OutcomeKind.NOT_RUN if error.ran is Ran.NO else OutcomeKind.CRASHED
    if error.code not in TRANSIENT_CODES:
        return OutcomeKind.FINAL
    return OutcomeKind.NOT_RUN if error.ran is Ran.NO else OutcomeKind.TRANSIENT
