"""Errors of callers' online requests."""

from ...errors import ErrorCode, PomeloshiftError, Ran


class UnknownModelError(PomeloshiftError):
    """The configuration has no model of the requested name."""

    code = ErrorCode.UNKNOWN_MODEL
    ran = Ran.NO


class UnknownServiceError(PomeloshiftError):
    """The configuration has no plain service of the requested name."""

    code = ErrorCode.UNKNOWN_SERVICE
    ran = Ran.NO


class NotReadyError(PomeloshiftError):
    """This entry has no configuration yet."""

    code = ErrorCode.NOT_READY
    ran = Ran.NO


class QuarantinedError(PomeloshiftError):
    """The request is quarantined, since equal requests crashed backend servers."""

    code = ErrorCode.QUARANTINED
    ran = Ran.NO


class GuardUnavailableError(PomeloshiftError):
    """The call cannot be claimed, so it might run more than once."""

    code = ErrorCode.LOG_UNAVAILABLE
    ran = Ran.NO
