"""Errors of claiming a non-idempotent call."""

from ...errors import ErrorCode, PomeloshiftError, Ran


class CallConflictError(PomeloshiftError):
    """The key was used with another call before, so this call was not run."""

    code = ErrorCode.IDEMPOTENCY_CONFLICT
    ran = Ran.NO


class CallOutcomeUnknownError(PomeloshiftError):
    """The call was claimed before, and it is unknown whether it completed."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class ClaimUnconfirmedError(PomeloshiftError):
    """The log did not confirm the claim, so the call was not run.

    The claim may still be in the log. A retry of the call is then rejected with
    ``outcome_unknown``.
    """

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO
