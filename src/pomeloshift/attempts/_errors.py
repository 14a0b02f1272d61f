"""The failures of running attempts."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class AttemptUnknownError(PomeloshiftError):
    """The sidecar has not run this attempt and refuses to run it from now on."""

    code = ErrorCode.ATTEMPT_UNKNOWN
    ran = Ran.NO


class AttemptUnsettledError(PomeloshiftError):
    """The sidecar cannot tell whether this attempt was run."""

    code = ErrorCode.ATTEMPT_UNKNOWN
    ran = Ran.UNKNOWN


class AttemptEndedError(PomeloshiftError):
    """The attempt was run, but its answer is no longer kept."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.YES


class RegistryFullError(PomeloshiftError):
    """The sidecar runs as many attempts as it can keep track of."""

    code = ErrorCode.OVERLOADED
    ran = Ran.NO


class SuspectRunningError(PomeloshiftError):
    """Another request that may crash the backend server is running on it."""

    code = ErrorCode.OVERLOADED
    ran = Ran.NO


class NotRunningError(PomeloshiftError):
    """A frame was produced for an attempt that is not running."""

    code = ErrorCode.ATTEMPT_UNKNOWN
