"""The failures of callers' online requests."""

from ...errors import ErrorCode, PomeloshiftError, Ran


class UnknownModelError(PomeloshiftError):
    """No model of that name is served."""

    code = ErrorCode.UNKNOWN_MODEL
    ran = Ran.NO


class UnknownServiceError(PomeloshiftError):
    """No plain service of that name is served."""

    code = ErrorCode.UNKNOWN_SERVICE
    ran = Ran.NO


class NotReadyError(PomeloshiftError):
    """This entry has no configuration yet."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class QuarantinedError(PomeloshiftError):
    """Equal requests have crashed backend servers."""

    code = ErrorCode.QUARANTINED
    ran = Ran.NO


class GuardUnavailableError(PomeloshiftError):
    """It cannot be made sure that the call runs at most once."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO
