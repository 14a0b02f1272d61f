"""The errors with which a sidecar refuses attempts."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class AttemptUnknownError(PomeloshiftError):
    """The sidecar did not run this attempt and will not run it later."""

    code = ErrorCode.ATTEMPT_UNKNOWN
    ran = Ran.NO


class AttemptMayHaveRunError(PomeloshiftError):
    """The sidecar does not know whether this attempt was run."""

    code = ErrorCode.ATTEMPT_UNKNOWN
    ran = Ran.UNKNOWN


class AnswerDiscardedError(PomeloshiftError):
    """The attempt was run, but its response is no longer held in memory."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.YES


class RegistryFullError(PomeloshiftError):
    """The registry has reached its limit of running or remembered attempts."""

    code = ErrorCode.OVERLOADED
    ran = Ran.NO


class SuspectRunningError(PomeloshiftError):
    """Another request that may crash the backend server is running on it."""

    code = ErrorCode.OVERLOADED
    ran = Ran.NO


class NotRunningError(PomeloshiftError):
    """A frame or an end was reported for an attempt that is not running."""

    code = ErrorCode.ATTEMPT_UNKNOWN
