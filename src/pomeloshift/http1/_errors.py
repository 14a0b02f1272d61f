"""Failures of a call over HTTP."""

from ..errors import ErrorCode, PomeloshiftError, Ran


class ConnectError(PomeloshiftError):
    """No connection could be opened, so nothing was sent."""

    code = ErrorCode.NO_BACKEND_SERVER
    ran = Ran.NO


class ConnectionBrokenError(PomeloshiftError):
    """The connection ended before the whole answer had arrived."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN


class CallTimeoutError(PomeloshiftError):
    """The answer did not arrive in time."""

    code = ErrorCode.OUTCOME_UNKNOWN
    ran = Ran.UNKNOWN
